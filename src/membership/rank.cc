#include "include/membership/rank.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace toucanknot {

uint64_t RankOf(std::string_view text, uint64_t tag) {
  return XXH64(text.data(), text.size(), tag);
}

std::vector<HostId> SortedByRank(std::vector<HostId> hosts, uint64_t tag) {
  std::vector<std::pair<uint64_t, HostId>> order;
  order.reserve(hosts.size());
  for (HostId& it : hosts) {
    const uint64_t rank = RankOf(it.str(), tag);
    order.emplace_back(rank, std::move(it));
  }
  std::sort(order.begin(), order.end());
  for (size_t i = 0; i < order.size(); ++i)
    hosts[i] = std::move(order[i].second);
  return hosts;
}

std::vector<HostId> RelayTargets(const std::vector<HostId>& hosts,
                                 const HostId& self,
                                 uint64_t tag,
                                 size_t fan_out) {
  const std::vector<HostId> order = SortedByRank(hosts, tag);
  std::vector<HostId> targets;
  const auto at = std::find(order.begin(), order.end(), self);
  if (at == order.end())
    return targets;
  const size_t first = (at - order.begin()) * fan_out + 1;
  for (size_t i = first; i < std::min(first + fan_out, order.size()); ++i)
    targets.push_back(order[i]);
  return targets;
}

}  // namespace toucanknot
