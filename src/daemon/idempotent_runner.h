#ifndef SRC_DAEMON_IDEMPOTENT_RUNNER_H_
#define SRC_DAEMON_IDEMPOTENT_RUNNER_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "src/daemon/crash_admission.h"
#include "src/daemon/sender.h"
#include "src/daemon/service_request.h"

namespace toucanknot {

// Serves requests that may run more than once: retries failed attempts and
// hedges slow ones, within the service's budgets and the request's deadline.
// The first complete response wins; the attempts still running are cancelled.
class IdempotentRunner {
 public:
  struct Hooks {
    // Take one retry, or one hedge, from a service's budget; false when the
    // budget is exhausted.
    std::function<bool(const ServiceEntry& entry)> try_acquire_retry;
    std::function<bool(const ServiceEntry& entry)> try_acquire_hedge;
    // The delay after which a request is hedged; empty for no hedging.
    std::function<std::optional<Duration>(const ServiceEntry& entry)>
        hedge_after;
  };

  IdempotentRunner(WorkerPool& workers,
                   Sender& sender,
                   CrashAdmission& crash_admission,
                   std::atomic<uint64_t>& next_item,
                   Hooks hooks);

  // Must be called on a worker.
  boost::asio::awaitable<HttpResponse> Serve(ServiceRequestPtr service_request);

 private:
  struct Attempt;
  struct Race;
  using AttemptPtr = std::shared_ptr<Attempt>;
  using RacePtr = std::shared_ptr<Race>;

  RacePtr MakeRace(ServiceRequestPtr service_request);
  void StartAttempt(const RacePtr& race, int number);
  boost::asio::awaitable<void> RunAttempt(RacePtr race, AttemptPtr attempt);

  WorkerPool& workers_;
  Sender& sender_;
  CrashAdmission& crash_admission_;
  std::atomic<uint64_t>& next_item_;
  const Hooks hooks_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_IDEMPOTENT_RUNNER_H_
