#ifndef INCLUDE_MEMBERSHIP_ZONE_TABLE_H_
#define INCLUDE_MEMBERSHIP_ZONE_TABLE_H_

#include <map>
#include <vector>

#include "include/base/clock.h"
#include "include/base/ids.h"
#include "include/peer/messages.h"

namespace toucanknot {

// The newest digest of every other zone, whoever carried it.
class ZoneTable {
 public:
  // Takes `digest` if it was made later than the one that is known. Returns
  // whether it changes which hosts are excluded.
  bool Merge(const ZoneDigest& digest, Instant now);

  // Null when nothing was heard of the zone. The age is that at its arrival.
  const ZoneDigest* Find(const ZoneId& zone) const;
  // When the zone's digest was made; long ago if there is none.
  Instant MadeAt(const ZoneId& zone) const;

  // All digests that were made at or after `oldest`, with their age at `now`.
  std::vector<ZoneDigest> Since(Instant oldest, Instant now) const;

 private:
  struct Entry {
    ZoneDigest digest;
    Instant made;
  };
  std::map<ZoneId, Entry> zones_;
};

}  // namespace toucanknot

#endif  // INCLUDE_MEMBERSHIP_ZONE_TABLE_H_
