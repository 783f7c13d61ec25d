#ifndef SRC_DAEMON_LOOKUP_TABLE_H_
#define SRC_DAEMON_LOOKUP_TABLE_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "include/config/fleet_config.h"

namespace toucanknot {

// The answers to look-ups, made ready ahead: a look-up only picks one.
// Immutable; a change of configuration or of the hosts that serve makes a new
// one.
class LookupTable {
 public:
  // What the answers are made from.
  struct Source {
    FleetConfigPtr config;
    // Hosts that serve, the best ones first for a caller near this host.
    // Hosts with the same rank share callers evenly.
    struct Ranked {
      EntryHost host;
      int rank = 0;
    };
    std::vector<Ranked> hosts;
    // For how long callers may use an answer.
    Duration lifetime;
  };

  explicit LookupTable(const Source& source);

  // The JSON answer for `service`, number `turn` of those that differ in the
  // order of hosts with the same rank. Null when there is no such service.
  const std::string* Find(std::string_view service, uint64_t turn) const;
  // Hosts named in answers.
  size_t host_count() const { return host_count_; }

 private:
  using Answers = std::vector<std::string>;

  std::map<std::string, Answers, std::less<>> services_;
  size_t host_count_ = 0;
};

using LookupTablePtr = std::shared_ptr<const LookupTable>;

}  // namespace toucanknot

#endif  // SRC_DAEMON_LOOKUP_TABLE_H_
