#ifndef INCLUDE_PLACING_OBJECT_AFFINITY_CACHE_H_
#define INCLUDE_PLACING_OBJECT_AFFINITY_CACHE_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <vector>

#include "include/base/ids.h"

namespace toucanknot {

// Remembers to which servers this host sent requests for each object. Only a
// lookup cache: whether a server still has the object is decided by ServerLoad,
// so entries may be dropped. Does no I/O.
class ObjectAffinityCache {
 public:
  // Limits on servers per object and on objects.
  static constexpr size_t kMaxServers = 12;
  static constexpr size_t kMaxObjects = 100'000;

  void Note(uint64_t object, const ServerId& server);
  // The most recent servers (at most kMaxServers), oldest first.
  const std::vector<ServerId>& ServersOf(uint64_t object) const;

 private:
  boost::unordered_flat_map<uint64_t, std::vector<ServerId>> servers_;
};

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_OBJECT_AFFINITY_CACHE_H_
