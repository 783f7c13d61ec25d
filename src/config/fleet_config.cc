#include "include/config/fleet_config.h"

#include <algorithm>

#include "include/config/json_text.h"
#include "include/config/tunable_table.h"

namespace toucanknot {
namespace {

template <typename T>
bool PartMatches(const std::optional<T>& wanted, const std::optional<T>& part) {
  return !wanted || wanted == part;
}

template <typename List, typename Pred>
auto FindIn(const List& list, Pred pred) -> const typename List::value_type* {
  const auto it = std::find_if(list.begin(), list.end(), pred);
  return it == list.end() ? nullptr : &*it;
}

}  // namespace

bool Scope::Matches(const Scope& location) const {
  return PartMatches(service, location.service) &&
         PartMatches(region, location.region) &&
         PartMatches(zone, location.zone) && PartMatches(host, location.host) &&
         PartMatches(server, location.server);
}

Tunables FleetConfig::Resolve(const Scope& location, int64_t unix_ms) const {
  Tunables resolved = defaults;
  for (const ConfigException& it : exceptions) {
    if (!it.InForce(unix_ms) || !it.scope.Matches(location))
      continue;
    for (const TunableValue& value : it.values) {
      const TunableSpec* spec = FindTunable(value.key);
      if (spec)
        SetTunable(*spec, ParseJson(value.json, it.id), resolved);
    }
  }
  return resolved;
}

std::optional<int64_t> FleetConfig::NextExceptionEnd(int64_t unix_ms) const {
  std::optional<int64_t> next;
  for (const ConfigException& it : exceptions) {
    if (it.ends_unix_ms && it.InForce(unix_ms) &&
        (!next || *it.ends_unix_ms < *next))
      next = it.ends_unix_ms;
  }
  return next;
}

const Service* FleetConfig::FindService(const ServiceId& id) const {
  return FindIn(services, [&](const Service& s) { return s.id == id; });
}

const EntryHost* FleetConfig::FindHost(const HostId& id) const {
  return FindIn(hosts, [&](const EntryHost& h) { return h.id == id; });
}

const Link* FleetConfig::FindLink(const RegionId& from,
                                  const RegionId& to) const {
  return FindIn(links,
                [&](const Link& l) { return l.from == from && l.to == to; });
}

RegionId FleetConfig::RegionOf(const ZoneId& zone) const {
  const Region* region = FindIn(regions, [&](const Region& r) {
    return std::find(r.zones.begin(), r.zones.end(), zone) != r.zones.end();
  });
  return region ? region->id : RegionId();
}

}  // namespace toucanknot
