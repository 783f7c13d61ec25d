#ifndef INCLUDE_PLACING_ZONE_DISTANCES_H_
#define INCLUDE_PLACING_ZONE_DISTANCES_H_

#include <map>

#include "include/base/clock.h"
#include "include/base/ids.h"

namespace toucanknot {

// Round-trip times from this host to the availability zones, learned from how
// long connections to their backend servers take to open. Does no I/O. Not
// thread-safe.
class ZoneDistances {
 public:
  // Records that a connection to a server in `zone` was opened within `took`.
  void OnConnected(const ZoneId& zone, Duration took);
  // Round-trip time in ms, or `fallback_ms` as long as none is known.
  double RttMs(const ZoneId& zone, double fallback_ms) const;

 private:
  std::map<ZoneId, double> rtt_ms_;
};

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_ZONE_DISTANCES_H_
