#ifndef INCLUDE_ENTRY_HOST_CHOICE_H_
#define INCLUDE_ENTRY_HOST_CHOICE_H_

#include <string_view>
#include <vector>

#include "include/base/endpoint.h"
#include "include/base/ids.h"
#include "include/entry/host_record.h"

namespace toucanknot {

// An entry host that accepts callers.
struct HostCandidate {
  const HostRecord* record = nullptr;
  RegionId region;
};

// Location of a caller that asks for a host.
struct CallerLocation {
  RegionId region;
  ZoneId zone;
  // IP address; distinguishes callers.
  std::string_view address;
  // Regions to which the requests for the caller's host name are bound; empty
  // if they are not bound.
  std::vector<RegionId> homes = {};
};

// Number of addresses given to a caller: the second is for when the first
// fails. More addresses would weaken the weighting by capacity.
inline constexpr size_t kCallerAddresses = 2;

// Selects the hosts that a caller should use. Prefers those of its availability
// zone, so that neither requests nor responses cross zones, as long as the zone
// has its fair share of the region's capacity. If it has less, some of its
// callers are spread over the whole region, so that no caller is lost to a zone
// with few hosts or none. If the region has no host, those of all regions are
// used, or those of the home regions if the caller has any: other hosts could
// only pass its requests on to there.
//
// Each caller gets the same hosts while the set of hosts is unchanged
// (rendezvous hashing), and hosts get callers in proportion to their capacity.
// `zones_in_region` also counts zones without a host. The result does not
// depend on load, so it is the same for a burst of callers as on a quiet day.
std::vector<Endpoint> ChooseHosts(const std::vector<HostCandidate>& hosts,
                                  const CallerLocation& caller,
                                  int zones_in_region);

}  // namespace toucanknot

#endif  // INCLUDE_ENTRY_HOST_CHOICE_H_
