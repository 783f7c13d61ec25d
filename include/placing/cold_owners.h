#ifndef INCLUDE_PLACING_COLD_OWNERS_H_
#define INCLUDE_PLACING_COLD_OWNERS_H_

#include <cstdint>
#include <vector>

#include "include/base/ids.h"
#include "include/placing/fleet_host.h"

namespace toucanknot {

// Which hosts send requests to a backend server while it is cold. A cold server
// bears a few requests a second from all hosts together; one from each host is
// too many where there are many hosts. So a few hosts own it, by rendezvous
// hashing over the hosts that the store lists, and share its rate. Two
// different views of the hosts at worst double what it gets. Does no I/O. Not
// thread-safe.
class ColdOwners {
 public:
  // `self` is the key of this host.
  explicit ColdOwners(uint64_t self) : self_(self) {}

  void SetHosts(std::vector<FleetHost> hosts) { hosts_ = std::move(hosts); }

  // Requests a second that this host may send to `server` (its ServerKey()) in
  // `region`, when it bears `rate` of all hosts: 0 for a host that does not own
  // it. Hosts of the region come first, since their callers are near.
  double RateFor(uint32_t server, const RegionId& region, double rate) const;

 private:
  const uint64_t self_;
  std::vector<FleetHost> hosts_;
};

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_COLD_OWNERS_H_
