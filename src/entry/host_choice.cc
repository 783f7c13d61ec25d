#include "include/entry/host_choice.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "include/placing/peer_loads.h"
#include "include/placing/service_view.h"

namespace toucanknot {
namespace {

using Hosts = std::vector<const HostRecord*>;

double CapacityOf(const Hosts& hosts) {
  double sum = 0;
  for (const HostRecord* it : hosts)
    sum += static_cast<double>(it->capacity);
  return sum;
}

uint64_t HashOf(std::string_view caller, uint64_t seed) {
  return XXH3_64bits_withSeed(caller.data(), caller.size(), seed);
}

// The fraction of a zone's callers that its own hosts serve.
double ZoneShare(const Hosts& in_zone,
                 const Hosts& in_region,
                 int zones_in_region) {
  // With fewer hosts, a caller would have no second host when the first one
  // fails.
  if (in_zone.size() < kCallerAddresses)
    return 0;
  return CapacityOf(in_zone) * zones_in_region / CapacityOf(in_region);
}

}  // namespace

std::vector<Endpoint> ChooseHosts(const std::vector<HostCandidate>& hosts,
                                  const CallerLocation& caller,
                                  int zones_in_region) {
  Hosts all;
  Hosts in_region;
  Hosts in_zone;
  for (const HostCandidate& it : hosts) {
    const auto& homes = caller.homes;
    if (homes.empty() ||
        std::find(homes.begin(), homes.end(), it.region) != homes.end()) {
      all.push_back(it.record);
    }
    if (it.region != caller.region)
      continue;
    in_region.push_back(it.record);
    if (it.record->zone == caller.zone)
      in_zone.push_back(it.record);
  }
  const Hosts* from = in_region.empty() ? &all : &in_region;
  const uint64_t zone_hash = HashOf(caller.zone.str(), 0);
  if (HashToUnitInterval(HashOf(caller.address, zone_hash)) <
      ZoneShare(in_zone, in_region, zones_in_region)) {
    from = &in_zone;
  }
  std::vector<std::pair<double, Endpoint>> order;
  for (const HostRecord* it : *from) {
    const uint64_t hash = HashOf(caller.address, HostKey(it->host));
    order.emplace_back(
        -std::log(HashToUnitInterval(hash)) / static_cast<double>(it->capacity),
        it->callers);
  }
  std::sort(order.begin(), order.end());
  std::vector<Endpoint> addresses;
  for (size_t i = 0; i < order.size() && i < kCallerAddresses; ++i)
    addresses.push_back(order[i].second);
  return addresses;
}

}  // namespace toucanknot
