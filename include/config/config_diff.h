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

// What has to be changed in `before` to get `after`, by path. Members of
// arrays are matched by their ids, so that order alone is no difference but
// for exceptions' order, which decides who wins.
std::vector<ConfigDifference> DiffConfigs(const FleetConfig& before,
                                          const FleetConfig& after);

// The same for people, a line each: "path: before -> after".
std::string DescribeDifferences(const std::vector<ConfigDifference>& list);

}  // namespace toucanknot

#endif  // INCLUDE_CONFIG_CONFIG_DIFF_H_
