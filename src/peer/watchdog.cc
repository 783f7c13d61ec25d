#include "src/peer/watchdog.h"

#include <chrono>
#include <memory>
#include <utility>

namespace toucanknot {

Watchdog::Watchdog(boost::asio::ip::tcp::socket& socket)
    : socket_(socket), timer_(socket.get_executor()) {}

void Watchdog::Arm(Duration limit, std::shared_ptr<void> owner) {
  timer_.expires_after(std::chrono::milliseconds(limit.ms()));
  timer_.async_wait(
      [this, owner = std::move(owner)](boost::system::error_code ec) {
        if (ec || timer_.expiry() > std::chrono::steady_clock::now())
          return;
        socket_.close(ec);
      });
}

void Watchdog::Disarm() {
  timer_.expires_at(std::chrono::steady_clock::time_point::max());
}

}  // namespace toucanknot
