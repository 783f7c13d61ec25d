#ifndef INCLUDE_PLACING_FLEET_DEMAND_H_
#define INCLUDE_PLACING_FLEET_DEMAND_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <vector>

#include "include/base/clock.h"
#include "include/placing/fleet_host.h"
#include "include/placing/peer_loads.h"

namespace toucanknot {

// Demand for each service from the callers of this host's zone, of its region
// and of all regions, computed from the load sheets that hosts send each other.
// All hosts of a region arrive at nearly the same figures, so that they keep
// the same objects in it. A host that has sent no sheet is assumed to have a
// share of the callers in proportion to its capacity. Does no I/O. Not
// thread-safe.
class FleetDemand {
 public:
  // How long a host's report is used.
  static constexpr Duration kReportLifetime{15'000};

  // Average number of slots needed.
  struct Slots {
    double zone = 0;
    double region = 0;
    double all = 0;
  };

  // `self` describes this host, whether or not the store lists it.
  explicit FleetDemand(FleetHost self);

  void SetHosts(std::vector<FleetHost> hosts);
  void OnLoadSheet(const LoadSheet& sheet, Instant now);
  // Recomputes the sums from the reports. Call several times a second.
  void Update(Instant now);

  // Demand for a service (its ServiceKey()) of which this host's callers need
  // `own` slots.
  Slots SlotsFor(uint32_t service, double own) const;

 private:
  struct HostReport {
    Instant at;
    Incarnation incarnation = 0;
    uint64_t sequence = 0;
    std::vector<LoadSheet::Demand> demands;
  };
  // Sums of the reported demand, and the share of the capacity held by this
  // host and the hosts that reported.
  struct Sums {
    boost::unordered_flat_map<uint32_t, Slots> reported;
    Slots reported_share;
  };

  FleetHost self_;
  std::vector<FleetHost> hosts_;
  boost::unordered_flat_map<uint64_t, HostReport> reports_;
  Sums sums_;
};

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_FLEET_DEMAND_H_
