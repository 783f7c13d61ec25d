#ifndef SRC_ENTRY_LOAD_EXCHANGE_H_
#define SRC_ENTRY_LOAD_EXCHANGE_H_

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "include/base/endpoint.h"
#include "include/placing/peer_loads.h"
#include "src/entry/datagram_rate_limiter.h"

namespace toucanknot {

// The sheet as the bytes of one datagram.
std::string EncodeSheet(const LoadSheet& sheet);
// Nothing when `bytes` are no sheet.
std::optional<LoadSheet> DecodeSheet(std::string_view bytes);

// Sends this host's sheet to the others in datagrams, and takes theirs. Lost
// ones are made good by the next. Used on one loop.
class LoadExchange {
 public:
  // A round of sheets. While slots are short, what a host does not know of the
  // others costs requests, and sheets are frequent; else bytes are saved. Hosts
  // of the own region share most backend servers with this one.
  static constexpr Duration kRound{100};
  static constexpr int kNearRounds = 2;
  static constexpr int kFarRounds = 6;
  static constexpr int kNearRoundsCrowded = 1;
  static constexpr int kFarRoundsCrowded = 2;
  // What sheets may take of a host's 15 kB a second for control. While slots
  // are short, several times of it: what a host does not know then costs more.
  // Beyond, each host is told less often.
  static constexpr double kNearBytesPerSecond = 8'500;
  static constexpr double kFarBytesPerSecond = 6'000;
  static constexpr double kCrowdedTimes = 6;

  struct Hooks {
    std::function<LoadSheet()> own_sheet;
    // Whether slots are short.
    std::function<bool()> crowded;
    std::function<void(const LoadSheet&)> on_sheet;
    // The other hosts; `near` tells which of the two groups.
    std::function<std::vector<Endpoint>(bool near)> peers;
  };

  LoadExchange(boost::asio::io_context& loop, Endpoint listen, Hooks hooks);

  // Binds and begins. Throws boost::system::system_error.
  void Start();

 private:
  boost::asio::awaitable<void> ReceiveLoop();
  boost::asio::awaitable<void> SendLoop();
  void SendTo(const std::vector<Endpoint>& peers, const std::string& bytes);

  boost::asio::io_context& loop_;
  const Endpoint listen_;
  const Hooks hooks_;
  boost::asio::ip::udp::socket socket_;
  DatagramRateLimiter near_pacer_;
  DatagramRateLimiter far_pacer_;
  std::array<char, 8 << 10> buffer_{};
};

}  // namespace toucanknot

#endif  // SRC_ENTRY_LOAD_EXCHANGE_H_
