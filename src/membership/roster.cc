#include "include/membership/roster.h"

#include <algorithm>
#include <utility>

namespace toucanknot {

Roster::Roster(const FleetConfig& config) {
  std::map<ZoneId, Zone> zones;
  for (const Region& region : config.regions) {
    auto& one_way = one_way_[region.id];
    for (const Region& other : config.regions)
      one_way[other.id] = Duration::Max();
    one_way[region.id] = Duration(-1);
    for (const ZoneId& it : region.zones)
      zones[it] = Zone{it, region.id, {}};
  }
  for (const Link& it : config.links) {
    if (one_way_.contains(it.from) && it.from != it.to)
      one_way_[it.from][it.to] = it.one_way;
  }
  for (const EntryHost& it : config.hosts) {
    if (const auto zone = zones.find(it.zone); zone != zones.end())
      zone->second.hosts.push_back(it.id);
  }
  for (auto& [id, zone] : zones) {
    std::sort(zone.hosts.begin(), zone.hosts.end());
    for (const HostId& it : zone.hosts)
      zone_of_[it] = zones_.size();
    zones_.push_back(std::move(zone));
  }
}

const Roster::Zone* Roster::FindZone(const ZoneId& id) const {
  const auto it =
      std::lower_bound(zones_.begin(), zones_.end(), id,
                       [](const Zone& z, const ZoneId& i) { return z.id < i; });
  return it != zones_.end() && it->id == id ? &*it : nullptr;
}

const Roster::Zone* Roster::ZoneOf(const HostId& host) const {
  const auto it = zone_of_.find(host);
  return it == zone_of_.end() ? nullptr : &zones_[it->second];
}

std::vector<RegionId> Roster::RegionsFrom(const RegionId& from) const {
  std::vector<std::pair<Duration, RegionId>> order;
  if (const auto it = one_way_.find(from); it != one_way_.end()) {
    for (const auto& [region, one_way] : it->second)
      order.emplace_back(one_way, region);
  }
  std::sort(order.begin(), order.end());
  std::vector<RegionId> regions;
  regions.reserve(order.size());
  for (const auto& [one_way, region] : order)
    regions.push_back(region);
  return regions;
}

}  // namespace toucanknot
