#ifndef INCLUDE_PLACING_FLEET_HOST_H_
#define INCLUDE_PLACING_FLEET_HOST_H_

#include <cstdint>

#include "include/base/ids.h"

namespace toucanknot {

// An entry host that takes requests. `key` is its HostKey().
struct FleetHost {
  uint64_t key = 0;
  RegionId region;
  ZoneId zone;
  // Requests a second that it can carry, roughly: the part of the callers that
  // it has.
  double capacity = 1;

  bool operator==(const FleetHost&) const = default;
};

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_FLEET_HOST_H_
