#ifndef SRC_ENTRY_DATAGRAM_RATE_LIMITER_H_
#define SRC_ENTRY_DATAGRAM_RATE_LIMITER_H_

#include <cstddef>
#include <vector>

#include "include/base/clock.h"
#include "include/base/endpoint.h"

namespace toucanknot {

// Holds the datagrams to a group of hosts under a number of bytes a second,
// however many hosts there are: where a round to all of them would take more,
// it goes to some, the next ones in the next round. Does no I/O.
class DatagramRateLimiter {
 public:
  // What the network adds to a datagram, in bytes.
  static constexpr double kHeaderBytes = 28;

  // The hosts of `peers` that a datagram of `bytes` may go to now. What is not
  // used is saved up for a second.
  std::vector<Endpoint> Take(const std::vector<Endpoint>& peers,
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
