#ifndef SOAK_CANCEL_TIMER_H_
#define SOAK_CANCEL_TIMER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>

#include "include/base/clock.h"

namespace toucanknot::soak {

// Cancels the operations of a socket after a time, for as long as this object
// lives.
class CancelTimer {
 public:
  CancelTimer(boost::asio::io_context& loop,
              boost::asio::ip::tcp::socket& socket,
              Duration after)
      : timer_(loop, std::chrono::milliseconds(after.ms())),
        expired_(std::make_shared<bool>(false)) {
    // The handler may already be queued when this object is destroyed.
    timer_.async_wait([&socket, expired = std::weak_ptr<bool>(expired_)](
                          const boost::system::error_code& ec) {
      const std::shared_ptr<bool> flag = expired.lock();
      if (ec || !flag)
        return;
      *flag = true;
      socket.cancel();
    });
  }

  bool expired() const { return *expired_; }

 private:
  boost::asio::steady_timer timer_;
  const std::shared_ptr<bool> expired_;
};

}  // namespace toucanknot::soak

#endif  // SOAK_CANCEL_TIMER_H_
