#ifndef SRC_DAEMON_SHARED_DISPATCHER_H_
#define SRC_DAEMON_SHARED_DISPATCHER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "include/base/clock.h"
#include "include/steering/dispatcher.h"
#include "src/http/one_shot.h"

namespace toucanknot {

// One service's dispatcher, shared by the workers. Thread-safe; wakes the
// requests that wait for a decision. No other lock is taken while its lock is
// held, except by the dispatcher's hooks.
class SharedDispatcher {
 public:
  explicit SharedDispatcher(std::unique_ptr<Dispatcher> dispatcher);

  // Decides where `item` goes. Suspends while the dispatcher queues it; never
  // returns kWait. Must be called on `loop`. Cancelling the wait withdraws the
  // item; the result is then a refusal, unless the decision had already been
  // made, in which case the caller must Finish() its attempt. A coroutine that
  // can be cancelled must have set throw_if_cancelled(false).
  boost::asio::awaitable<DispatchDecision> Place(boost::asio::io_context& loop,
                                                 DispatchRequest item);
  // Reports the end of an attempt.
  void Finish(const AttemptResult& result);

  // Runs `update` on the dispatcher under the lock, then delivers decisions.
  void Update(const std::function<void(Dispatcher&, Instant now)>& update);
  // Delivers decisions that are due. Must be called every few milliseconds.
  void Tick();

  PeerLoad OwnLoad() const;
  std::string Explain() const;

 private:
  using Waiter = OneShot<DispatchDecision>;

  // Delivers decisions on waiting items. `mutex_` must be held.
  void AdvanceLocked(Instant now);
  boost::asio::awaitable<DispatchDecision> AwaitDecision(
      std::shared_ptr<Waiter> waiter,
      DispatchRequest item);

  mutable std::mutex mutex_;
  const std::unique_ptr<Dispatcher> dispatcher_;
  std::unordered_map<uint64_t, std::shared_ptr<Waiter>> waiters_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_SHARED_DISPATCHER_H_
