#ifndef SRC_PEER_WATCHDOG_H_
#define SRC_PEER_WATCHDOG_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

#include "include/base/clock.h"

namespace toucanknot {

// Closes a socket that makes no progress in time, which ends the operation
// that waits on it. The owner keeps both alive while armed handlers run.
class Watchdog {
 public:
  explicit Watchdog(boost::asio::ip::tcp::socket& socket);

  // Starts the time anew. `owner` is held until the time is up or changed.
  void Arm(Duration limit, std::shared_ptr<void> owner);
  void Disarm();

 private:
  boost::asio::ip::tcp::socket& socket_;
  boost::asio::steady_timer timer_;
};

}  // namespace toucanknot

#endif  // SRC_PEER_WATCHDOG_H_
