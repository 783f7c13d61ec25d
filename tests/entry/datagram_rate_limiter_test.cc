#include "src/entry/datagram_rate_limiter.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>

namespace toucanknot {
namespace {

std::vector<Endpoint> Peers(int n) {
  std::vector<Endpoint> peers;
  for (int i = 0; i < n; ++i)
    peers.push_back({"10.0.0.1", static_cast<uint16_t>(i + 1)});
  return peers;
}

}  // namespace

TEST_CASE("few hosts get a datagram in each round") {
  DatagramRateLimiter limiter;
  const auto peers = Peers(3);
  limiter.SelectPeers(peers, 100, 9'000, Instant(1'000'000));
  for (int round = 1; round <= 50; ++round) {
    const Instant now(1'000'000 + round * 100);
    CHECK(limiter.SelectPeers(peers, 100, 9'000, now) == peers);
  }
}

TEST_CASE("many hosts share the bandwidth and take turns") {
  constexpr double kBytesPerSecond = 9'000;
  constexpr size_t kBytes = 180;
  const int hosts = GENERATE(99, 320);
  DatagramRateLimiter limiter;
  const auto peers = Peers(hosts);
  std::map<uint16_t, int> received;
  double bytes = 0;
  constexpr int kRounds = 600;
  for (int round = 0; round < kRounds; ++round) {
    const Instant now(1'000'000 + round * 100);
    for (const Endpoint& it :
         limiter.SelectPeers(peers, kBytes, kBytesPerSecond, now)) {
      ++received[it.port];
      bytes += kBytes + DatagramRateLimiter::kHeaderBytes;
    }
  }
  // Up to one second of allowance may have been saved at first.
  CHECK(bytes <= kBytesPerSecond * (kRounds / 10 + 1));
  CHECK(bytes > kBytesPerSecond * kRounds / 10 * 0.9);
  CHECK(static_cast<int>(received.size()) == hosts);
  for (const auto& [port, n] : received)
    CHECK(std::abs(n - received.begin()->second) <= 1);
}

TEST_CASE("no hosts, and a long pause") {
  DatagramRateLimiter limiter;
  CHECK(limiter.SelectPeers({}, 100, 9'000, Instant(1'000'000)).empty());
  // An hour saves no more than a second does.
  CHECK(
      limiter.SelectPeers(Peers(1'000), 100, 9'000, Instant(4'600'000)).size() <
      100);
}

}  // namespace toucanknot
