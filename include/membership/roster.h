#ifndef INCLUDE_MEMBERSHIP_ROSTER_H_
#define INCLUDE_MEMBERSHIP_ROSTER_H_

#include <map>
#include <memory>
#include <vector>

#include "include/base/ids.h"
#include "include/config/fleet_config.h"

namespace toucanknot {

// The hosts that a configuration names, by zone and region. Immutable.
class Roster {
 public:
  struct Zone {
    ZoneId id;
    RegionId region;
    // Sorted by id.
    std::vector<HostId> hosts;
  };

  explicit Roster(const FleetConfig& config);

  // Sorted by id.
  const std::vector<Zone>& zones() const { return zones_; }
  size_t host_count() const { return zone_of_.size(); }

  // Null when the zone or host is unknown.
  const Zone* FindZone(const ZoneId& id) const;
  const Zone* ZoneOf(const HostId& host) const;

  // `from`, then the other regions by the one-way latency of the link to them;
  // regions without a link come last.
  std::vector<RegionId> RegionsFrom(const RegionId& from) const;

 private:
  std::vector<Zone> zones_;
  // Index into zones_.
  std::map<HostId, size_t> zone_of_;
  std::map<RegionId, std::map<RegionId, Duration>> one_way_;
};

using RosterPtr = std::shared_ptr<const Roster>;

}  // namespace toucanknot

#endif  // INCLUDE_MEMBERSHIP_ROSTER_H_
