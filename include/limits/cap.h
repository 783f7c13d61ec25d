#ifndef INCLUDE_LIMITS_CAP_H_
#define INCLUDE_LIMITS_CAP_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "include/base/enum_names.h"
#include "include/base/ids.h"

namespace toucanknot {

// The resource that a cap limits, and its unit.
enum class CapKind {
  // Concurrent requests at the backend servers of one service in one region.
  kRegionSlots,
  // The traffic over one direction of a link, in kbit/s.
  kLink,
};

inline constexpr EnumNames<CapKind, 2> kCapKindNames{{"region-slots", "link"}};

// Identifies a cap.
struct CapId {
  CapKind kind = CapKind::kRegionSlots;
  std::string name;

  auto operator<=>(const CapId&) const = default;

  // For example "region-slots/khomas/tracker" or "link/khomas/erongo".
  std::string ToString() const;
};

CapId RegionSlotsCap(const RegionId& region, const ServiceId& service);
CapId LinkCap(const RegionId& from, const RegionId& to);

// A limit that a set of entry hosts shares.
struct Cap {
  CapId id;
  int64_t total = 0;
  std::vector<HostId> members;

  // The share of `total` that `host` owns without any loans or grants. The
  // shares of all members add up to `total`; a host that is not a member owns
  // 0.
  int64_t StaticShare(const HostId& host) const;
};

}  // namespace toucanknot

#endif  // INCLUDE_LIMITS_CAP_H_
