#include "include/membership/zone_table.h"

namespace toucanknot {
namespace {

constexpr Instant kLongAgo{-Duration::Max().ms()};

}  // namespace

bool ZoneTable::Merge(const ZoneDigest& digest, Instant now) {
  const Instant made = now - digest.age;
  const auto [it, is_new] = zones_.try_emplace(digest.zone);
  Entry& entry = it->second;
  if (!is_new && made <= entry.made)
    return false;
  const bool changed = entry.digest.excluded != digest.excluded;
  entry = {digest, made};
  return changed;
}

const ZoneDigest* ZoneTable::Find(const ZoneId& zone) const {
  const auto it = zones_.find(zone);
  return it == zones_.end() ? nullptr : &it->second.digest;
}

Instant ZoneTable::MadeAt(const ZoneId& zone) const {
  const auto it = zones_.find(zone);
  return it == zones_.end() ? kLongAgo : it->second.made;
}

std::vector<ZoneDigest> ZoneTable::Since(Instant oldest, Instant now) const {
  std::vector<ZoneDigest> digests;
  for (const auto& [zone, entry] : zones_) {
    if (entry.made < oldest)
      continue;
    digests.push_back(entry.digest);
    digests.back().age = now - entry.made;
  }
  return digests;
}

}  // namespace toucanknot
