#ifndef INCLUDE_MEMBERSHIP_ZONE_TABLE_H_
#define INCLUDE_MEMBERSHIP_ZONE_TABLE_H_

#include <map>
#include <vector>

#include "include/base/clock.h"
#include "include/base/ids.h"
#include "include/peer/messages.h"

namespace toucanknot {

// The newest digest of every other zone, from whichever host it came.
class ZoneTable {
 public:
  // Stores `digest` if it is newer than the known one. Returns whether it
  // changes which hosts are excluded.
  bool Merge(const ZoneDigest& digest, Instant now);

  // Null when there is no digest of the zone. Its age is that on arrival.
  const ZoneDigest* Find(const ZoneId& zone) const;
  // When the zone's digest was made; far in the past if there is none.
  Instant MadeAt(const ZoneId& zone) const;

  // All digests made at or after `oldest`, with their age at `now`.
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
