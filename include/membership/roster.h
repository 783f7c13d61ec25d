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
    // In the order of their ids.
    std::vector<HostId> hosts;
  };

  explicit Roster(const FleetConfig& config);

  // In the order of their ids.
  const std::vector<Zone>& zones() const { return zones_; }
  size_t host_count() const { return zone_of_.size(); }

  // Null when there is none.
  const Zone* FindZone(const ZoneId& id) const;
  const Zone* ZoneOf(const HostId& host) const;

  // `from`, then the other regions by the one-way time of the link to them,
  // those without a link last.
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
