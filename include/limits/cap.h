#ifndef INCLUDE_LIMITS_CAP_H_
#define INCLUDE_LIMITS_CAP_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "include/base/enum_names.h"
#include "include/base/ids.h"

namespace toucanknot {

// What a cap limits, with the unit that it is counted in.
enum class CapKind {
  // Requests at once at the backend servers of one service in one region.
  kRegionSlots,
  // All traffic over one direction of a link, in kbit/s.
  kLink,
};

inline constexpr EnumNames<CapKind, 2> kCapKindNames{{"region-slots", "link"}};

// Names one cap.
struct CapId {
  CapKind kind = CapKind::kRegionSlots;
  std::string name;

  auto operator<=>(const CapId&) const = default;

  // "region-slots/khomas/tracker", "link/khomas/erongo".
  std::string ToString() const;
};

CapId RegionSlotsCap(const RegionId& region, const ServiceId& service);
CapId LinkCap(const RegionId& from, const RegionId& to);

// A cap and the entry hosts that divide it between them.
struct Cap {
  CapId id;
  int64_t total = 0;
  std::vector<HostId> members;

  // The part of `total` that `host` owns while nobody hands out anything. The
  // parts of all members add up to `total`; a host that is no member owns 0.
  int64_t StaticShare(const HostId& host) const;
};

}  // namespace toucanknot

#endif  // INCLUDE_LIMITS_CAP_H_
