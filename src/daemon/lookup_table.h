#ifndef SRC_DAEMON_LOOKUP_TABLE_H_
#define SRC_DAEMON_LOOKUP_TABLE_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "include/config/fleet_config.h"

namespace toucanknot {

// The responses to look-ups, serialized in advance so that a look-up only
// selects one. Immutable; rebuilt when the configuration or the set of serving
// hosts changes.
class LookupTable {
 public:
  // The input from which the responses are built.
  struct Source {
    FleetConfigPtr config;
    // Serving hosts, best first for a caller near this host. Hosts with the
    // same rank share callers evenly.
    struct Ranked {
      EntryHost host;
      int rank = 0;
    };
    std::vector<Ranked> hosts;
    // How long callers may use a response.
    Duration lifetime;
  };

  explicit LookupTable(const Source& source);

  // The JSON response for `service`. `rotation` selects one of the orders of
  // hosts with the same rank. Null when the service does not exist.
  const std::string* Find(std::string_view service, uint64_t rotation) const;
  // The number of hosts listed in each response.
  size_t host_count() const { return host_count_; }

 private:
  using Responses = std::vector<std::string>;

  std::map<std::string, Responses, std::less<>> services_;
  size_t host_count_ = 0;
};

using LookupTablePtr = std::shared_ptr<const LookupTable>;

}  // namespace toucanknot

#endif  // SRC_DAEMON_LOOKUP_TABLE_H_
