#ifndef SRC_DAEMON_IDEMPOTENT_RUNNER_H_
#define SRC_DAEMON_IDEMPOTENT_RUNNER_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "src/daemon/call.h"
#include "src/daemon/crash_admission.h"
#include "src/daemon/sender.h"

namespace toucanknot {

// Serves requests that may run more than once: retries failed attempts and
// hedges slow ones, within the service's budgets and the request's deadline.
// The first complete response wins; the attempts still running are cancelled.
class IdempotentRunner {
 public:
  struct Hooks {
    // Take one retry, or one hedge, from a service's budget; false when the
    // budget is exhausted.
    std::function<bool(const ServiceEntry& entry)> take_retry;
    std::function<bool(const ServiceEntry& entry)> take_hedge;
    // The delay after which a request is hedged; empty for no hedging.
    std::function<std::optional<Duration>(const ServiceEntry& entry)>
        hedge_after;
  };

  IdempotentRunner(WorkerPool& workers,
                   Sender& sender,
                   CrashAdmission& gate,
                   std::atomic<uint64_t>& next_item,
                   Hooks hooks);

  // Must be called on a worker.
  boost::asio::awaitable<HttpResponse> Serve(ServiceRequestPtr call);

 private:
  struct Attempt;
  struct Race;
  using AttemptPtr = std::shared_ptr<Attempt>;
  using RacePtr = std::shared_ptr<Race>;

  RacePtr MakeRace(ServiceRequestPtr call);
  void StartAttempt(const RacePtr& race, int number);
  boost::asio::awaitable<void> RunAttempt(RacePtr race, AttemptPtr attempt);

  WorkerPool& workers_;
  Sender& sender_;
  CrashAdmission& gate_;
  std::atomic<uint64_t>& next_item_;
  const Hooks hooks_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_IDEMPOTENT_RUNNER_H_
