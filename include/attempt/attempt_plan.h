#ifndef INCLUDE_ATTEMPT_ATTEMPT_PLAN_H_
#define INCLUDE_ATTEMPT_ATTEMPT_PLAN_H_

#include <functional>
#include <optional>
#include <vector>

#include "include/base/clock.h"
#include "include/base/enum_names.h"
#include "include/base/ids.h"
#include "include/base/verdict.h"
#include "include/steering/dispatcher.h"

namespace toucanknot {

// Next step for the owner of an AttemptPlan.
enum class AttemptStep {
  // Start attempt `attempt`, with `time_left` as its deadline.
  kSend,
  // Cancel the running attempt `attempt`; do not report its end.
  kCancel,
  // Deliver the response of `attempt` to the caller. The request is finished.
  kDeliver,
  // Send the caller an error with `verdict`. The request is finished.
  kGiveUp,
};

inline constexpr EnumNames<AttemptStep, 4> kAttemptStepNames{
    {"send", "cancel", "deliver", "give-up"}};

struct AttemptAction {
  AttemptStep step = AttemptStep::kSend;
  // Counts from 1 within the request.
  int attempt = 0;
  Duration time_left;
  // For kDeliver and kGiveUp.
  Verdict verdict = Verdict::kUnknown;
  // For kGiveUp: how the last attempt ended.
  AttemptEnd end = AttemptEnd::kTimedOut;
};

// Takes one unit from the retry or hedge budget at `now`. Returns false when
// the budget is exhausted.
using TryAcquireFn = std::function<bool(Instant now)>;

// Plans the attempts of one idempotent request: retries, hedges, and the one
// response that the caller gets. The first complete successful response wins
// and cancels the other attempts. An error response of a backend server is kept
// while another attempt may succeed, and delivered if none does. Does no I/O.
// Not thread-safe.
class AttemptPlan {
 public:
  struct Options {
    // Deadline of the caller.
    Instant deadline = Instant::Never();
    // Maximum number of attempts, including hedges.
    int max_attempts = 3;
    // Whether to retry after a complete error response.
    bool retry_failed = true;
    // After this many broken connections, the request itself is suspected to
    // cause them, and no further attempt starts.
    int max_broken = 2;
    // Minimum time left for starting an attempt.
    Duration min_time_left{5};
    // Delay after which a second attempt starts in parallel to the first; if
    // absent, there is no hedge.
    std::optional<Duration> hedge_after;
    // Called before every retry, except when nothing had been sent. If absent,
    // there are no retries.
    TryAcquireFn take_retry;
    // Called before a hedge. If absent, there are no hedges.
    TryAcquireFn take_hedge;
  };

  explicit AttemptPlan(Options options);

  // Returns the first actions.
  std::vector<AttemptAction> Start(Instant now);
  // Records that attempt `attempt` was sent to `server`.
  void OnSent(int attempt, const ServerId& server);
  // Handles the end of attempt `attempt`. `not_run` means that the server
  // guarantees that it did not run the request. Ignored for attempts that are
  // no longer running.
  std::vector<AttemptAction> OnEnd(int attempt,
                                   AttemptEnd end,
                                   bool not_run,
                                   Instant now);
  // Starts hedges and enforces the deadline. Call at NextWake().
  std::vector<AttemptAction> OnTime(Instant now);
  // Cancels all running attempts, since the caller disconnected.
  std::vector<AttemptAction> OnCallerGone();

  Instant NextWake() const;
  bool finished() const { return finished_; }
  // Numbers of the running attempts.
  const std::vector<int>& running() const { return running_; }
  // Servers of earlier attempts; the next one should avoid them.
  const std::vector<ServerId>& servers() const { return servers_; }

 private:
  bool IsRunning(int attempt) const;
  bool MayStart(Instant now) const;
  bool MayRetry(AttemptEnd end, Instant now);
  AttemptAction StartAttempt(Instant now);
  std::vector<AttemptAction> Deliver(int attempt, Verdict verdict);
  std::vector<AttemptAction> GiveUp(AttemptEnd end);
  std::vector<AttemptAction> CancelAll();

  Options options_;
  int started_ = 0;
  int broken_ = 0;
  std::vector<int> running_;
  std::vector<ServerId> servers_;
  std::optional<Instant> hedge_at_;
  // The last attempt with an error response (0 if none), and whether the server
  // guarantees that it did not run the request.
  int failed_attempt_ = 0;
  bool failed_not_run_ = false;
  // Whether some attempt may have run without giving a response.
  bool may_have_run_ = false;
  bool finished_ = false;
};

}  // namespace toucanknot

#endif  // INCLUDE_ATTEMPT_ATTEMPT_PLAN_H_
