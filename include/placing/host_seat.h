#ifndef INCLUDE_PLACING_HOST_SEAT_H_
#define INCLUDE_PLACING_HOST_SEAT_H_

#include <cstdint>

#include "include/base/ids.h"

namespace toucanknot {

// An entry host that takes requests. `key` is its HostKey().
struct HostSeat {
  uint64_t key = 0;
  RegionId region;
  ZoneId zone;
  // Requests a second that it can carry, roughly: the part of the callers that
  // it has.
  double capacity = 1;

  bool operator==(const HostSeat&) const = default;
};

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_HOST_SEAT_H_
