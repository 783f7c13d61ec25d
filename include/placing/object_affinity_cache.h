#ifndef INCLUDE_PLACING_OBJECT_AFFINITY_CACHE_H_
#define INCLUDE_PLACING_OBJECT_AFFINITY_CACHE_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <vector>

#include "include/base/ids.h"

namespace toucanknot {

// The servers that this host sent requests for each object to. A cache of what
// is also in the servers' figures, so it may forget. Does no I/O.
class ObjectAffinityCache {
 public:
  // Servers remembered for an object, and objects.
  static constexpr size_t kMostServers = 12;
  static constexpr size_t kMostObjects = 100'000;

  void Note(uint64_t object, const ServerId& server);
  // Those of the last kMostServers, the oldest first.
  const std::vector<ServerId>& ServersOf(uint64_t object) const;

 private:
  boost::unordered_flat_map<uint64_t, std::vector<ServerId>> servers_;
};

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_OBJECT_AFFINITY_CACHE_H_
