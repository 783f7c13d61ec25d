#ifndef INCLUDE_CONFIG_CONFIG_CANDIDATE_H_
#define INCLUDE_CONFIG_CONFIG_CANDIDATE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "include/config/fleet_config.h"

namespace toucanknot {

// A serialized configuration as exchanged between store, hosts and operators.
struct ConfigCandidate {
  uint64_t version = 0;
  // DigestOf(text); every receiver verifies it before parsing the text.
  std::string digest;
  std::string text;
  // Digests of the parts of the client map (address blocks of clients).
  std::vector<std::string> client_parts;

  bool operator==(const ConfigCandidate&) const = default;
};

// Serializes `config` as the candidate for `version`.
ConfigCandidate MakeConfigCandidate(const FleetConfig& config,
                                    uint64_t version);

// Verifies the digest, parses and validates the text, and returns the
// configuration with the candidate's version and digest. Throws
// InvalidConfigError.
FleetConfigPtr CheckConfigCandidate(const ConfigCandidate& candidate);

// Serialize and parse a candidate as JSON, the format in which a host's admin
// listener serves it to `config restore --from-host`. ReadConfigCandidate()
// throws InvalidConfigError naming `source`.
std::string WriteConfigCandidate(const ConfigCandidate& candidate);
ConfigCandidate ReadConfigCandidate(std::string_view text,
                                    const std::string& source);

}  // namespace toucanknot

#endif  // INCLUDE_CONFIG_CONFIG_CANDIDATE_H_
