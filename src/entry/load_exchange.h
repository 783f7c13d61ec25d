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

namespace toucanknot {

// The sheet as the bytes of one datagram.
std::string EncodeSheet(const LoadSheet& sheet);
// Nothing when `bytes` are no sheet.
std::optional<LoadSheet> DecodeSheet(std::string_view bytes);

// Sends this host's sheet to the others in datagrams, and takes theirs. Lost
// ones are made good by the next. Used on one loop.
class LoadExchange {
 public:
  // Hosts that share backend servers with this one hear of each change within
  // kNearEvery, the others within kFarEvery: bytes between regions are dear.
  static constexpr Duration kNearEvery{100};
  static constexpr Duration kFarEvery{500};

  struct Hooks {
    std::function<LoadSheet()> own_sheet;
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
  std::array<char, 8 << 10> buffer_{};
};

}  // namespace toucanknot

#endif  // SRC_ENTRY_LOAD_EXCHANGE_H_
