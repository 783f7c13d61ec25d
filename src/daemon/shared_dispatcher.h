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

// One service's dispatcher, shared by the workers: holds its lock, and wakes
// the requests that it let wait. The lock is a leaf: nothing else is locked
// while it is held, but for what the dispatcher's hooks lock.
class SharedDispatcher {
 public:
  explicit SharedDispatcher(std::unique_ptr<Dispatcher> dispatcher);

  // Decides where `item` goes. Waits while the dispatcher lets it wait; kWait
  // is never returned. To be called on `loop`. Cancelling the wait withdraws
  // the item; the answer is then a refusal, unless a decision on it was
  // already on its way, whose attempt the caller must finish. The coroutine
  // that waits must have set throw_if_cancelled(false) if it can be cancelled.
  boost::asio::awaitable<DispatchDecision> Place(boost::asio::io_context& loop,
                                                 DispatchRequest item);
  // An attempt has ended.
  void Finish(const AttemptResult& result);

  // Feeds the dispatcher; `update` runs under the lock.
  void Update(const std::function<void(Dispatcher&, Instant now)>& update);
  // Wakes what may go on. To be called every few milliseconds.
  void Tick();

  PeerLoad OwnLoad() const;
  std::string Explain() const;

 private:
  using Waiter = OneShot<DispatchDecision>;

  // Delivers decisions on waiting items. Under the lock.
  void AdvanceLocked(Instant now);
  boost::asio::awaitable<DispatchDecision> AwaitTurn(
      std::shared_ptr<Waiter> waiter,
      DispatchRequest item);

  mutable std::mutex mutex_;
  const std::unique_ptr<Dispatcher> dispatcher_;
  std::unordered_map<uint64_t, std::shared_ptr<Waiter>> waiters_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_SHARED_DISPATCHER_H_
