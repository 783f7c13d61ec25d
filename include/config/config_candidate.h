#ifndef INCLUDE_CONFIG_CONFIG_CANDIDATE_H_
#define INCLUDE_CONFIG_CONFIG_CANDIDATE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "include/config/fleet_config.h"

namespace toucanknot {

// A configuration as it travels between store, hosts and operators.
struct ConfigCandidate {
  uint64_t version = 0;
  // DigestOf(text), which every receiver compares before it reads the text.
  std::string digest;
  std::string text;
  // Digests of the parts of the clients' blocks.
  std::vector<std::string> client_parts;

  bool operator==(const ConfigCandidate&) const = default;
};

// The offer of a configuration that is to become `version`.
ConfigCandidate MakeConfigCandidate(const FleetConfig& config,
                                    uint64_t version);

// Checks digest and configuration whole and returns the configuration with the
// offer's version and digest. Throws InvalidConfigError.
FleetConfigPtr CheckConfigCandidate(const ConfigCandidate& offer);

// As JSON: what a host's admin listener gives to `config restore --from-host`.
// ReadConfigCandidate() throws InvalidConfigError naming `source`.
std::string WriteConfigCandidate(const ConfigCandidate& offer);
ConfigCandidate ReadConfigCandidate(std::string_view text,
                                    const std::string& source);

}  // namespace toucanknot

#endif  // INCLUDE_CONFIG_CONFIG_CANDIDATE_H_
