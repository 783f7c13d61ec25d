#ifndef INCLUDE_ENTRY_HOST_CHOICE_H_
#define INCLUDE_ENTRY_HOST_CHOICE_H_

#include <string_view>
#include <vector>

#include "include/base/endpoint.h"
#include "include/base/ids.h"
#include "include/entry/host_record.h"

namespace toucanknot {

// An entry host that takes callers.
struct HostCandidate {
  const HostRecord* record = nullptr;
  RegionId region;
};

// Who asks for a host.
struct CallerLocation {
  RegionId region;
  ZoneId zone;
  // What tells callers apart: the IP number.
  std::string_view address;
};

// Addresses given to a caller: one for when the other fails. More would even
// the shares of strong and weak hosts out.
inline constexpr size_t kCallerAddresses = 2;

// The hosts that a caller is to use. Those of its availability zone, so that
// neither its requests nor their answers cross zones, as long as the zone has
// its fair part of the region's capacity: of the callers of a zone with less, a
// part goes to all of the region, and none is lost to a zone that has few hosts
// or none. Without a host in the region, those of all regions serve.
//
// Each caller gets the same hosts while there are no others (rendezvous
// hashing), and hosts get callers by their capacities. `zones_in_region` counts
// also those without a host. Answers callers that all come at once as well as
// a quiet day: it knows no load.
std::vector<Endpoint> ChooseHosts(const std::vector<HostCandidate>& hosts,
                                  const CallerLocation& caller,
                                  int zones_in_region);

}  // namespace toucanknot

#endif  // INCLUDE_ENTRY_HOST_CHOICE_H_
