#ifndef INCLUDE_CONFIG_CONFIG_TEXT_H_
#define INCLUDE_CONFIG_CONFIG_TEXT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "include/base/error.h"
#include "include/config/fleet_config.h"

namespace toucanknot {

// Reads a configuration, JSON with comments as docs/CONFIGURATION.md describes
// it, and checks it whole. The result's version is `version` if given, else
// the text's "version" member, else 0; its digest is that of the canonical
// text. Throws InvalidConfigError with every fault found; `source` is what the
// error calls the text. The outcome depends on the arguments alone, so that
// every host and operator comes to the same.
FleetConfigPtr ParseFleetConfig(std::string_view text,
                                const std::string& source,
                                std::optional<uint64_t> version = {});

// The same without the digest, for who has one already.
FleetConfig ReadFleetConfig(std::string_view text, const std::string& source);

// The canonical text: no version, no comments, and of the defaults those that
// differ from the built-in ones. Reading it gives an equal configuration and
// the same text again.
std::string WriteFleetConfig(const FleetConfig& config);

// The canonical text with the version as its first member, so that who changes
// a copy of it states which version the copy was made from.
std::string WriteVersionedConfig(const FleetConfig& config);

// Faults that need more than one member to be seen: sums, references,
// duplicates, regions and services that nothing can reach.
std::vector<Problem> CheckFleetConfig(const FleetConfig& config);

}  // namespace toucanknot

#endif  // INCLUDE_CONFIG_CONFIG_TEXT_H_
