#include "include/limits/cap.h"

#include <algorithm>

namespace toucanknot {

std::string CapId::ToString() const {
  return std::string(kCapKindNames.Name(kind)) + "/" + name;
}

CapId RegionSlotsCap(const RegionId& region, const ServiceId& service) {
  return {CapKind::kRegionSlots, region.str() + "/" + service.str()};
}

CapId LinkCap(const RegionId& from, const RegionId& to) {
  return {CapKind::kLink, from.str() + "/" + to.str()};
}

int64_t Cap::StaticShare(const HostId& host) const {
  if (std::find(members.begin(), members.end(), host) == members.end())
    return 0;
  const auto n = static_cast<int64_t>(members.size());
  // The first members by name get the remainder, so that the result does not
  // depend on the order of the list.
  const auto rank = std::count_if(members.begin(), members.end(),
                                  [&](const HostId& it) { return it < host; });
  return total / n + (rank < total % n ? 1 : 0);
}

}  // namespace toucanknot
