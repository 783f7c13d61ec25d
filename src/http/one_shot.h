#ifndef SRC_HTTP_ONE_SHOT_H_
#define SRC_HTTP_ONE_SHOT_H_

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <utility>

#include "include/base/clock.h"

namespace toucanknot {

// A value that is set once, by any thread, and awaited by one coroutine on the
// loop passed to the constructor.
template <typename T>
class OneShot : public std::enable_shared_from_this<OneShot<T>> {
 public:
  explicit OneShot(boost::asio::io_context& loop) : loop_(loop), timer_(loop) {}

  // Sets the value; later calls have no effect. Thread-safe.
  void Set(T value) {
    boost::asio::post(loop_, [self = this->shared_from_this(),
                              v = std::move(value)]() mutable {
      if (self->value_)
        return;
      self->value_ = std::move(v);
      self->timer_.cancel();
    });
  }

  // Waits for the value; returns nullopt when it is not set by `until`.
  boost::asio::awaitable<std::optional<T>> Wait(Instant until) {
    if (!value_) {
      if (until == Instant::Never()) {
        timer_.expires_at(std::chrono::steady_clock::time_point::max());
      } else {
        const Duration left = until - SteadyNow();
        timer_.expires_after(
            std::chrono::milliseconds(std::max<int64_t>(left.ms(), 0)));
      }
      co_await timer_.async_wait(
          boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    co_return value_;
  }

 private:
  boost::asio::io_context& loop_;
  boost::asio::steady_timer timer_;
  std::optional<T> value_;
};

// Suspends the coroutine for `d`.
inline boost::asio::awaitable<void> SleepFor(Duration d) {
  boost::asio::steady_timer timer(
      co_await boost::asio::this_coro::executor,
      std::chrono::milliseconds(std::max<int64_t>(d.ms(), 0)));
  co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

}  // namespace toucanknot

#endif  // SRC_HTTP_ONE_SHOT_H_
