#include "include/placing/rate_owners.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace toucanknot {
namespace {

// Requests a second per owner. Each owner may exceed its share by one request
// in a sliding second, so a few busy owners keep the sum closer to the rate
// than many idle ones.
constexpr double kRatePerOwner = 2;

uint64_t Rank(uint64_t host, uint32_t server) {
  return XXH3_64bits_withSeed(&server, sizeof server, host);
}

}  // namespace

std::optional<int64_t> RateOwners::Preceding(uint32_t server,
                                             const RegionId& region) const {
  const auto self =
      std::find_if(hosts_.begin(), hosts_.end(),
                   [&](const FleetHost& it) { return it.key == self_; });
  if (self == hosts_.end())
    return std::nullopt;
  const auto order = [&](const FleetHost& it) {
    return std::tuple(it.region != region, Rank(it.key, server), it.key);
  };
  return std::count_if(hosts_.begin(), hosts_.end(), [&](const FleetHost& it) {
    return order(it) < order(*self);
  });
}

bool RateOwners::IsAmongFirst(uint32_t server,
                              const RegionId& region,
                              double hosts) const {
  if (hosts >= static_cast<double>(hosts_.size()))
    return true;
  const std::optional<int64_t> preceding = Preceding(server, region);
  return !preceding || static_cast<double>(*preceding) < std::floor(hosts);
}

double RateOwners::RateFor(uint32_t server,
                           const RegionId& region,
                           double rate) const {
  const std::optional<int64_t> preceding = Preceding(server, region);
  // The other hosts do not know a host that is not listed: they share the rate
  // without it.
  if (!preceding)
    return 0;
  const auto owners =
      std::max<int64_t>(1, static_cast<int64_t>(rate / kRatePerOwner));
  if (*preceding >= owners)
    return 0;
  const auto sharing =
      std::min<int64_t>(owners, static_cast<int64_t>(hosts_.size()));
  return rate / static_cast<double>(sharing);
}

}  // namespace toucanknot
