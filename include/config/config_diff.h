#ifndef INCLUDE_CONFIG_CONFIG_DIFF_H_
#define INCLUDE_CONFIG_CONFIG_DIFF_H_

#include <string>
#include <vector>

#include "include/config/fleet_config.h"

namespace toucanknot {

// One member that differs between two configurations, as JSON text; empty on
// the side where it is absent.
struct ConfigDifference {
  // Such as "services.orders.servers.s-1.slots".
  std::string path;
  std::string before;
  std::string after;

  bool operator==(const ConfigDifference&) const = default;
};

// The changes that turn `before` into `after`, sorted by path. Array members
// are matched by id, so order is ignored, except for the order of exceptions,
// which decides which of them takes precedence.
std::vector<ConfigDifference> DiffConfigs(const FleetConfig& before,
                                          const FleetConfig& after);

// Human-readable form, one line per difference: "path: before -> after".
std::string DescribeDifferences(const std::vector<ConfigDifference>& list);

}  // namespace toucanknot

#endif  // INCLUDE_CONFIG_CONFIG_DIFF_H_
