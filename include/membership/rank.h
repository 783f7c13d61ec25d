#ifndef INCLUDE_MEMBERSHIP_RANK_H_
#define INCLUDE_MEMBERSHIP_RANK_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "include/base/ids.h"

namespace toucanknot {

// Orders hosts without coordination: all hosts that see the same set of hosts
// compute the same order, and a missing host does not change the order of the
// others.

// The tag of the rank by which hosts of a zone carry digests, watch the store,
// and are contacted from other zones.
inline constexpr uint64_t kCarrierTag = 1;

// The rank of `text`, a hash that is the same on every host.
uint64_t RankOf(std::string_view text, uint64_t tag);

// `hosts` sorted by their rank under `tag`.
std::vector<HostId> SortedByRank(std::vector<HostId> hosts, uint64_t tag);

// The hosts to which `self` relays what all of `hosts` should get. The hosts
// form a tree by their rank under `tag`, each with up to `fan_out` children; a
// host that got it from outside sends it to the root, the first of
// SortedByRank(). A different `tag` gives a different tree, which spreads the
// load.
std::vector<HostId> RelayTargets(const std::vector<HostId>& hosts,
                                 const HostId& self,
                                 uint64_t tag,
                                 size_t fan_out);

}  // namespace toucanknot

#endif  // INCLUDE_MEMBERSHIP_RANK_H_
