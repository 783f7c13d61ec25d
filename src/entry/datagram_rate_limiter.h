#ifndef SRC_ENTRY_DATAGRAM_RATE_LIMITER_H_
#define SRC_ENTRY_DATAGRAM_RATE_LIMITER_H_

#include <cstddef>
#include <vector>

#include "include/base/clock.h"
#include "include/base/endpoint.h"

namespace toucanknot {

// Limits the bytes a second of datagrams to a group of hosts, however many
// there are. When a round to all of them would exceed the limit, it goes to
// some of them, and the next round continues with the next ones. Does no I/O.
class DatagramRateLimiter {
 public:
  // Bytes that network headers add to a datagram.
  static constexpr double kHeaderBytes = 28;

  // Selects the hosts of `peers` that may get a datagram of `bytes` now. Unused
  // allowance is saved for up to one second.
  std::vector<Endpoint> SelectPeers(const std::vector<Endpoint>& peers,
                                    size_t bytes,
                                    double bytes_per_second,
                                    Instant now);

 private:
  double allowance_ = 0;
  Instant last_;
  size_t next_ = 0;
};

}  // namespace toucanknot

#endif  // SRC_ENTRY_DATAGRAM_RATE_LIMITER_H_
