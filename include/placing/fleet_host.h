#ifndef INCLUDE_PLACING_FLEET_HOST_H_
#define INCLUDE_PLACING_FLEET_HOST_H_

#include <cstdint>

#include "include/base/ids.h"

namespace toucanknot {

// An entry host that serves requests. `key` is its HostKey().
struct FleetHost {
  uint64_t key = 0;
  RegionId region;
  ZoneId zone;
  // Requests a second that it can carry, approximately. Its share of the
  // callers is proportional to this.
  double capacity = 1;

  bool operator==(const FleetHost&) const = default;
};

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_FLEET_HOST_H_
