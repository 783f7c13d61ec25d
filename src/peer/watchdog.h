#ifndef SRC_PEER_WATCHDOG_H_
#define SRC_PEER_WATCHDOG_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

#include "include/base/clock.h"

namespace toucanknot {

// Closes a socket that makes no progress within a time limit, which aborts its
// pending operations. The owner must outlive pending handlers; Arm() holds a
// reference to it.
class Watchdog {
 public:
  explicit Watchdog(boost::asio::ip::tcp::socket& socket);

  // Restarts the timer. Holds `owner` until the timer expires or is changed.
  void Arm(Duration limit, std::shared_ptr<void> owner);
  void Disarm();

 private:
  boost::asio::ip::tcp::socket& socket_;
  boost::asio::steady_timer timer_;
};

}  // namespace toucanknot

#endif  // SRC_PEER_WATCHDOG_H_
