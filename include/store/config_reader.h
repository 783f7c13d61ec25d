#ifndef INCLUDE_STORE_CONFIG_READER_H_
#define INCLUDE_STORE_CONFIG_READER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "include/config/config_candidate.h"
#include "include/config/fleet_config.h"
#include "include/config/text_parts.h"
#include "include/store/root_value.h"
#include "include/store/store.h"

namespace toucanknot {

// The root and the revision at which it was read; revision 0 when there is no
// root yet.
struct RootSnapshot {
  RootValue root;
  uint64_t revision = 0;

  bool exists() const { return revision != 0; }
};

// The functions below throw the store's errors, and MalformedRootError when a
// stored value cannot be parsed.

RootSnapshot ReadRootSnapshot(Store& store);

// Fetches the configuration that `root` refers to, with one call to the store
// for each part that is missing in `known`, the text of an earlier version.
ConfigCandidate FetchConfigCandidate(Store& store,
                                     const RootValue& root,
                                     const TextParts& known = {});

// Reads and validates the configuration in the store; null when there is none
// yet. Throws InvalidConfigError too.
FleetConfigPtr ReadConfig(Store& store);

// Reads an immutable part and verifies its digest.
std::string ReadPart(Store& store, const std::string& digest);

// Writes an immutable part and returns its digest. Does nothing if the part
// exists, so that it can simply be repeated when a response was lost.
std::string WritePart(Store& store, const std::string& data);

}  // namespace toucanknot

#endif  // INCLUDE_STORE_CONFIG_READER_H_
