#ifndef SRC_HTTP_WAKE_UP_H_
#define SRC_HTTP_WAKE_UP_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace toucanknot {

// Lets one coroutine wait until another one on the same loop notifies it. The
// waiting coroutine must check its condition before and after each Wait();
// Notify() has no effect while no coroutine waits.
class WakeUp {
 public:
  explicit WakeUp(const boost::asio::any_io_executor& executor)
      : timer_(executor) {}

  boost::asio::awaitable<void> Wait() {
    timer_.expires_at(boost::asio::steady_timer::time_point::max());
    co_await timer_.async_wait(
        boost::asio::as_tuple(boost::asio::use_awaitable));
  }
  void Notify() { timer_.cancel(); }

 private:
  boost::asio::steady_timer timer_;
};

}  // namespace toucanknot

#endif  // SRC_HTTP_WAKE_UP_H_
