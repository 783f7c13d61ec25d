#ifndef INCLUDE_MEMBERSHIP_RANK_H_
#define INCLUDE_MEMBERSHIP_RANK_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "include/base/ids.h"

namespace toucanknot {

// Orders hosts without asking anyone: all who see the same hosts find the same
// order, and who sees one host less finds the others in the same order.

// The rank by which hosts of a zone carry digests, watch the store, and are
// spoken to from other zones.
inline constexpr uint64_t kCarrierTag = 1;

// A number that is the same on every host.
uint64_t RankOf(std::string_view text, uint64_t tag);

// `hosts` in the order of their rank under `tag`.
std::vector<HostId> Ranked(std::vector<HostId> hosts, uint64_t tag);

// To whom `self` passes on what all of `hosts` shall get: the hosts form a
// tree by their rank under `tag`, each with up to `fan_out` children; who has
// it from outside sends it to the root, the first of Ranked(). Another `tag`
// makes another tree, so that the load goes round.
std::vector<HostId> RelayTargets(const std::vector<HostId>& hosts,
                                 const HostId& self,
                                 uint64_t tag,
                                 size_t fan_out);

}  // namespace toucanknot

#endif  // INCLUDE_MEMBERSHIP_RANK_H_
