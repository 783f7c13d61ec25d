#include "include/placing/object_affinity_cache.h"

#include <algorithm>

namespace toucanknot {

void ObjectAffinityCache::Note(uint64_t object, const ServerId& server) {
  if (servers_.size() >= kMaxObjects && !servers_.contains(object))
    servers_.clear();
  std::vector<ServerId>& servers = servers_[object];
  if (std::find(servers.begin(), servers.end(), server) != servers.end())
    return;
  if (servers.size() >= kMaxServers)
    servers.erase(servers.begin());
  servers.push_back(server);
}

const std::vector<ServerId>& ObjectAffinityCache::ServersOf(
    uint64_t object) const {
  static const std::vector<ServerId> none;
  const auto it = servers_.find(object);
  return it == servers_.end() ? none : it->second;
}

}  // namespace toucanknot
