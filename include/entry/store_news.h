#ifndef INCLUDE_ENTRY_STORE_NEWS_H_
#define INCLUDE_ENTRY_STORE_NEWS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "include/base/clock.h"
#include "include/base/ids.h"

namespace toucanknot {

// A change of one key of the store. Keys and values are opaque here.
struct StoreChange {
  std::string key;
  uint64_t revision = 0;
  bool removed = false;
  // Empty if the key was removed, or if the value is too large for a datagram
  // and must be read from the store.
  std::optional<std::string> value;

  bool operator==(const StoreChange&) const = default;
};

// What a host that watches the store sends to the other hosts of its zone, in
// one datagram.
struct StoreNews {
  HostId host;
  Incarnation incarnation = 0;
  // The copy of the store that the revisions belong to: one more each time that
  // the store came back from an older copy. 0 if it is not known.
  uint64_t era = 0;
  // `changes` leads from the state at revision `before` to the one at
  // `revision`.
  uint64_t before = 0;
  uint64_t revision = 0;
  std::vector<StoreChange> changes;
  // If set, the store had no changes after `revision` this long ago.
  std::optional<Duration> age;
  // The sender has lost the store and does not know its state.
  bool lost = false;
};

}  // namespace toucanknot

#endif  // INCLUDE_ENTRY_STORE_NEWS_H_
