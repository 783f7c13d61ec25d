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

// Parses and validates a configuration (JSON with comments; the format is
// described in docs/CONFIGURATION.md). The result's version is `version` if
// given, else the text's "version" member, else 0; its digest is that of the
// canonical text. Throws InvalidConfigError listing every problem found;
// `source` names the text in the error. The result depends on the arguments
// alone, so that all hosts and operators agree on it.
FleetConfigPtr ParseFleetConfig(std::string_view text,
                                const std::string& source,
                                std::optional<uint64_t> version = {});

// The same without computing the digest, for callers that already have it.
FleetConfig ReadFleetConfig(std::string_view text, const std::string& source);

// The canonical text: no version, no comments, and only those defaults that
// differ from the built-in ones. Parsing it gives an equal configuration, which
// serializes to the same text.
std::string WriteFleetConfig(const FleetConfig& config);

// The canonical text with the version as its first member, so that an edited
// copy states which version it was made from.
std::string WriteVersionedConfig(const FleetConfig& config);

// Validates properties that involve more than one member: related values,
// references, duplicates, and regions and services that cannot be reached.
std::vector<Problem> CheckFleetConfig(const FleetConfig& config);

}  // namespace toucanknot

#endif  // INCLUDE_CONFIG_CONFIG_TEXT_H_
