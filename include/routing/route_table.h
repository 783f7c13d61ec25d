#ifndef INCLUDE_ROUTING_ROUTE_TABLE_H_
#define INCLUDE_ROUTING_ROUTE_TABLE_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "include/routing/route_config.h"

namespace toucanknot {

// Looks up routes of the newest configuration version by host name and path.
// Never returns to an older version. Not thread-safe.
class RouteTable {
 public:
  // Applies `config` if it supersedes the current one. Returns whether it did.
  bool Apply(RouteConfigPtr config);

  // The current version; 0 while there is no configuration.
  ConfigVersion version() const {
    return config_ ? config_->version : ConfigVersion();
  }
  // Null while there is none.
  const RouteConfigPtr& config() const { return config_; }

  // The route with the longest prefix of `path` under `host_name` (a port in it
  // is ignored); null when there is none. Valid as long as config().
  const Route* Find(std::string_view host_name, std::string_view path) const;

  // The regions in which requests for `host_name` may run, if all of its routes
  // are bound to regions; else empty.
  std::vector<RegionId> HomesOf(std::string_view host_name) const;

  // Selects the service for the next request of `route`, so that even short
  // sequences of requests are split by weight.
  const ServiceId& NextTarget(const Route& route);
  // The service that NextTarget() would select now.
  const ServiceId& PeekTarget(const Route& route) const;

 private:
  // State of the smooth weighted round robin of a route with several targets.
  struct RoundRobin {
    std::vector<RouteTarget> targets;
    std::vector<double> credit;

    // Index of the next target; moves on to it.
    size_t Next();
  };

  RouteConfigPtr config_;
  // Host name to prefix to route.
  std::map<std::string, std::map<std::string, const Route*>, std::less<>>
      by_host_;
  std::map<std::string, RoundRobin> round_robins_;
};

}  // namespace toucanknot

#endif  // INCLUDE_ROUTING_ROUTE_TABLE_H_
