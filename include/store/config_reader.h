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

// The root as it was read. Revision 0: there is none yet.
struct RootSnapshot {
  RootValue root;
  uint64_t revision = 0;

  bool exists() const { return revision != 0; }
};

// These ask the store and throw its errors, and MalformedRootError when what
// is there cannot be read.

RootSnapshot ReadRootSnapshot(Store& store);

// The configuration that `root` stands for; one more call for each part that
// `known`, the text of an earlier version, lacks.
ConfigCandidate FetchConfigCandidate(Store& store,
                                     const RootValue& root,
                                     const TextParts& known = {});

// The configuration in force in the store, checked whole; nothing when there
// is none yet. Throws InvalidConfigError besides.
FleetConfigPtr ReadConfig(Store& store);

// An immutable part, checked against its digest.
std::string ReadPart(Store& store, const std::string& digest);

// Writes an immutable part and returns its digest. A part that is there
// already is left alone, so that a lost answer needs no more than a repeat.
std::string WritePart(Store& store, const std::string& data);

}  // namespace toucanknot

#endif  // INCLUDE_STORE_CONFIG_READER_H_
