#ifndef INCLUDE_PLACING_RATE_OWNERS_H_
#define INCLUDE_PLACING_RATE_OWNERS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "include/base/ids.h"
#include "include/placing/fleet_host.h"

namespace toucanknot {

// Selects the hosts that may send requests to a backend server that accepts
// only a few requests a second from all hosts together, because it is cold or
// names a limit. One from each host is too many in a large fleet. So a few
// hosts own it, chosen by rendezvous hashing over the hosts listed in the
// store, and share its rate. If hosts disagree about the list, a server
// receives at most twice its rate for two different views. Does no I/O. Not
// thread-safe.
class RateOwners {
 public:
  // `self` is the key of this host.
  explicit RateOwners(uint64_t self) : self_(self) {}

  void SetHosts(std::vector<FleetHost> hosts) { hosts_ = std::move(hosts); }

  // Requests a second that this host may send to `server` (its ServerKey()) in
  // `region`, given the `rate` that the server can handle from all hosts; 0 if
  // this host does not own it. Hosts of the same region rank first, since their
  // callers are near.
  double RateFor(uint32_t server, const RegionId& region, double rate) const;
  // Whether this host is one of the first `hosts` hosts to own `server`. True
  // if the store does not list this host: the others leave it out.
  bool IsAmongFirst(uint32_t server,
                    const RegionId& region,
                    double hosts) const;

 private:
  // The number of hosts that precede this one; nothing if it is not listed.
  std::optional<int64_t> Preceding(uint32_t server,
                                   const RegionId& region) const;

  const uint64_t self_;
  std::vector<FleetHost> hosts_;
};

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_RATE_OWNERS_H_
