#include "src/entry/datagram_rate_limiter.h"

#include <algorithm>

namespace toucanknot {

std::vector<Endpoint> DatagramRateLimiter::SelectPeers(
    const std::vector<Endpoint>& peers,
    size_t bytes,
    double bytes_per_second,
    Instant now) {
  const double saved = bytes_per_second * (now - last_).seconds();
  allowance_ = std::min(allowance_ + saved, bytes_per_second);
  last_ = now;
  const double cost = static_cast<double>(bytes) + kHeaderBytes;
  const size_t n =
      std::min(peers.size(), static_cast<size_t>(allowance_ / cost));
  allowance_ -= static_cast<double>(n) * cost;
  std::vector<Endpoint> out;
  out.reserve(n);
  for (size_t i = 0; i < n; ++i)
    out.push_back(peers[next_++ % peers.size()]);
  return out;
}

}  // namespace toucanknot
