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
#include "include/entry/store_news.h"
#include "include/placing/peer_loads.h"
#include "src/entry/datagram_rate_limiter.h"

namespace toucanknot {

// Encodes a load sheet as the payload of one datagram.
std::string EncodeSheet(const LoadSheet& sheet);
// Returns nothing when `bytes` are not a valid load sheet.
std::optional<LoadSheet> DecodeSheet(std::string_view bytes);

// Sends this host's load sheet to the other hosts in datagrams, and receives
// theirs. Lost datagrams are made up for by the next ones. Used on one loop.
class LoadExchange {
 public:
  // Sheets are sent in rounds, less often to hosts of other regions, which
  // share fewer backend servers with this one. While slots are scarce, outdated
  // figures cost requests, so sheets are sent more often; otherwise bandwidth
  // is saved.
  static constexpr Duration kRound{100};
  static constexpr int kNearRounds = 2;
  static constexpr int kFarRounds = 6;
  static constexpr int kNearRoundsCrowded = 1;
  static constexpr int kFarRoundsCrowded = 2;
  // Notices go to all hosts outside of these limits, no more often than this.
  static constexpr int kNoticeRounds = 3;
  // So do the usages of workspaces with a cap: caps hold only as far as hosts
  // know of each other's runs.
  static constexpr int kUsageRounds = 5;
  // Bandwidth for sheets, out of a host's 15 kB a second for control traffic.
  // It is multiplied by kCrowdedFactor while slots are scarce, since outdated
  // figures cost more then. Above the limit, each host gets sheets less often.
  static constexpr double kNearBytesPerSecond = 8'500;
  static constexpr double kFarBytesPerSecond = 6'000;
  static constexpr double kCrowdedFactor = 6;

  struct Hooks {
    std::function<LoadSheet()> own_sheet;
    // What all hosts should learn at once, if there is anything.
    std::function<std::optional<LoadSheet>()> notice;
    // The usages of workspaces, if any has a cap.
    std::function<std::optional<LoadSheet>()> usage;
    // Whether slots are scarce.
    std::function<bool()> crowded;
    std::function<void(const LoadSheet&)> on_sheet;
    std::function<void(const StoreNews&)> on_store_news;
    // The other hosts: those of the own region if `near`, else those of other
    // regions.
    std::function<std::vector<Endpoint>(bool near)> peers;
  };

  LoadExchange(boost::asio::io_context& loop, Endpoint listen, Hooks hooks);

  // Binds the socket and starts sending and receiving. Throws
  // boost::system::system_error.
  void Start();
  // Sends `news` to `peers` at once.
  void SendStoreNews(const std::vector<Endpoint>& peers, const StoreNews& news);

 private:
  boost::asio::awaitable<void> ReceiveLoop();
  boost::asio::awaitable<void> SendLoop();
  void SendTo(const std::vector<Endpoint>& peers, const std::string& bytes);

  boost::asio::io_context& loop_;
  const Endpoint listen_;
  const Hooks hooks_;
  boost::asio::ip::udp::socket socket_;
  DatagramRateLimiter near_limiter_;
  DatagramRateLimiter far_limiter_;
  std::array<char, 8 << 10> buffer_{};
};

}  // namespace toucanknot

#endif  // SRC_ENTRY_LOAD_EXCHANGE_H_
