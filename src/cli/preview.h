#ifndef SRC_CLI_PREVIEW_H_
#define SRC_CLI_PREVIEW_H_

#include <boost/json/fwd.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "include/config/config_diff.h"
#include "include/config/fleet_config.h"

namespace toucanknot {

// One tunable that changes, with every place where it does so alike.
struct TunableChange {
  std::string key;
  std::string before;
  std::string after;
  // "tracker at entry-1", "region khomas, tracker", "server tracker-01".
  std::vector<std::string> places;
};

// What a change of configuration means for steering.
struct Preview {
  std::vector<ConfigDifference> differences;
  std::vector<TunableChange> tunables;
  // Backend servers and entry hosts that take work now and would not, and the
  // other way round.
  std::vector<std::string> stop;
  std::vector<std::string> start;
};

// Compares what the two configurations resolve to at every place at
// `unix_ms`.
Preview PreviewChange(const FleetConfig& before,
                      const FleetConfig& after,
                      int64_t unix_ms);

// For people and for programs.
std::string DescribePreview(const Preview& preview);
boost::json::value PreviewJson(const Preview& preview);

// The list of differences as JSON.
boost::json::value DifferencesJson(const std::vector<ConfigDifference>& list);

}  // namespace toucanknot

#endif  // SRC_CLI_PREVIEW_H_
