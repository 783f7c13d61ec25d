#ifndef SRC_DAEMON_IDEMPOTENT_RUNNER_H_
#define SRC_DAEMON_IDEMPOTENT_RUNNER_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>

#include "src/daemon/call.h"
#include "src/daemon/sender.h"

namespace toucanknot {

// Serves requests that may run more than once: retries what failed, within
// the service's retry budget and the request's deadline.
class IdempotentRunner {
 public:
  // Takes one retry from a service's budget; false when it is spent.
  using TakeRetry = std::function<bool(const ServiceEntry& entry)>;

  IdempotentRunner(WorkerPool& workers,
                   Sender& sender,
                   std::atomic<uint64_t>& next_item,
                   TakeRetry take_retry);

  boost::asio::awaitable<HttpResponse> Serve(CallPtr call);

 private:
  WorkerPool& workers_;
  Sender& sender_;
  std::atomic<uint64_t>& next_item_;
  const TakeRetry take_retry_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_IDEMPOTENT_RUNNER_H_
