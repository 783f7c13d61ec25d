#ifndef INCLUDE_PLACING_FLEET_DEMAND_H_
#define INCLUDE_PLACING_FLEET_DEMAND_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <vector>

#include "include/base/clock.h"
#include "include/placing/fleet_host.h"
#include "include/placing/peer_loads.h"

namespace toucanknot {

// What the callers of this host's zone, of its region and of all regions ask of
// each service, from what the hosts tell each other in their sheets: all hosts
// of a region come to about the same figures, so that they keep the same
// objects in it. A host that has not been heard of is taken to have its part of
// the callers, by its capacity. Does no I/O. Not thread-safe.
class FleetDemand {
 public:
  // What a host told counts for this long.
  static constexpr Duration kMemory{15'000};

  // Slots that are needed on average.
  struct Slots {
    double zone = 0;
    double region = 0;
    double all = 0;
  };

  // `self` is the seat of this host, whether the store lists it or not.
  explicit FleetDemand(FleetHost self);

  void SetHosts(std::vector<FleetHost> hosts);
  void OnSheet(const LoadSheet& sheet, Instant now);
  // Adds up what was told. Call several times a second.
  void Update(Instant now);

  // The figures for a service (its ServiceKey()) of which this host's callers
  // need `own` slots.
  Slots Of(uint32_t service, double own) const;

 private:
  struct Told {
    Instant at;
    Incarnation incarnation = 0;
    uint64_t sequence = 0;
    std::vector<LoadSheet::Demand> demands;
  };
  // What hosts told, and the part of the capacity that they and this host are.
  struct Sums {
    boost::unordered_flat_map<uint32_t, Slots> told;
    Slots heard_part;
  };

  FleetHost self_;
  std::vector<FleetHost> hosts_;
  boost::unordered_flat_map<uint64_t, Told> told_;
  Sums sums_;
};

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_FLEET_DEMAND_H_
