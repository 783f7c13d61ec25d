#ifndef SRC_CLI_PREVIEW_H_
#define SRC_CLI_PREVIEW_H_

#include <boost/json/fwd.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "include/config/config_diff.h"
#include "include/config/fleet_config.h"

namespace toucanknot {

// A change of one tunable, with all places where it changes in the same way.
struct TunableChange {
  std::string key;
  std::string before;
  std::string after;
  // For example "tracker at entry-1", "region khomas, tracker" or
  // "server tracker-01".
  std::vector<std::string> places;
};

// The effects of a configuration change on steering.
struct Preview {
  std::vector<ConfigDifference> differences;
  std::vector<TunableChange> tunables;
  // Backend servers and entry hosts that would stop, or start, receiving
  // requests.
  std::vector<std::string> stop;
  std::vector<std::string> start;
};

// Compares the effective tunables of the two configurations at every place, at
// the time `unix_ms`.
Preview PreviewChange(const FleetConfig& before,
                      const FleetConfig& after,
                      int64_t unix_ms);

// Format the preview as text and as JSON.
std::string DescribePreview(const Preview& preview);
boost::json::value PreviewJson(const Preview& preview);

// Formats the list of differences as JSON.
boost::json::value DifferencesJson(const std::vector<ConfigDifference>& list);

}  // namespace toucanknot

#endif  // SRC_CLI_PREVIEW_H_
