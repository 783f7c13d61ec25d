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

// What the owner of an AttemptPlan does next.
enum class AttemptStep {
  // Start attempt `attempt`, with `time_left` as its deadline.
  kSend,
  // Cancel the running attempt `attempt`; its end is not reported.
  kCancel,
  // The caller gets the answer of `attempt`. The request is finished.
  kDeliver,
  // The caller gets an error with `verdict`. The request is finished.
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

// Whether the budget of retries, or of hedges, allows another one at `now`; a
// true answer spends it.
using TryAcquireFn = std::function<bool(Instant now)>;

// The attempts of one idempotent request: retries, hedges, and the one answer
// that the caller gets. The first whole answer wins and cancels the others. An
// error of a backend server is kept while another attempt may do better, and
// delivered if none does. Does no I/O. Not thread-safe.
class AttemptPlan {
 public:
  struct Options {
    // The caller's.
    Instant deadline = Instant::Never();
    // Attempts in all, hedges included.
    int max_attempts = 3;
    // Whether to try again after an error that is a whole answer.
    bool retry_failed = true;
    // After so many broken connections the request itself is the suspect.
    int max_broken = 2;
    // No attempt starts with less time left than this.
    Duration least_time{5};
    // A second attempt starts beside the first one after this long; absent: no
    // hedge.
    std::optional<Duration> hedge_after;
    // Asked before every retry, but not when nothing had been sent. Absent: no
    // retry.
    TryAcquireFn take_retry;
    // Asked before a hedge. Absent: no hedge.
    TryAcquireFn take_hedge;
  };

  explicit AttemptPlan(Options options);

  // The first actions.
  std::vector<AttemptAction> Start(Instant now);
  // Attempt `attempt` was sent to `server`.
  void OnSent(int attempt, const ServerId& server);
  // Attempt `attempt` ended. `not_run`: the other side promises that it did
  // not run it. Ends of attempts that do not run any more change nothing.
  std::vector<AttemptAction> OnEnd(int attempt,
                                   AttemptEnd end,
                                   bool not_run,
                                   Instant now);
  // Call at NextWake(): hedges and the deadline.
  std::vector<AttemptAction> OnTime(Instant now);
  // The caller is gone: what runs is cancelled.
  std::vector<AttemptAction> OnCallerGone();

  Instant NextWake() const;
  bool finished() const { return finished_; }
  // Attempts that run now.
  const std::vector<int>& running() const { return running_; }
  // Where attempts went: the next one had better go elsewhere.
  const std::vector<ServerId>& servers() const { return servers_; }

 private:
  bool IsRunning(int attempt) const;
  bool MayStart(Instant now) const;
  bool MayRetry(AttemptEnd end, Instant now);
  AttemptAction StartOne(Instant now);
  std::vector<AttemptAction> Deliver(int attempt, Verdict verdict);
  std::vector<AttemptAction> GiveUp(AttemptEnd end);
  std::vector<AttemptAction> CancelAll();

  Options options_;
  int started_ = 0;
  int broken_ = 0;
  std::vector<int> running_;
  std::vector<ServerId> servers_;
  std::optional<Instant> hedge_at_;
  // An attempt whose answer is an error of the backend server, and whether it
  // promises not to have run.
  int failed_attempt_ = 0;
  bool failed_not_run_ = false;
  // Some attempt may have run without an answer.
  bool may_have_run_ = false;
  bool finished_ = false;
};

}  // namespace toucanknot

#endif  // INCLUDE_ATTEMPT_ATTEMPT_PLAN_H_
