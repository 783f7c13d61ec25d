#ifndef INCLUDE_ROUTING_ROUTE_TABLE_H_
#define INCLUDE_ROUTING_ROUTE_TABLE_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "include/routing/route_config.h"

namespace toucanknot {

// The routes of the newest version, found by host name and path. Never goes
// back to an older version. Not thread-safe.
class RouteTable {
 public:
  // Takes `config` if it is newer than what is in force; returns whether it
  // was.
  bool Apply(RouteConfigPtr config);

  // The version in force; 0 while there is none.
  uint64_t version() const { return config_ ? config_->version : 0; }
  // Null while there is none.
  const RouteConfigPtr& config() const { return config_; }

  // The route with the longest prefix of `path` under `host_name` (a port in
  // it is ignored); null when there is none. Lives as long as config().
  const Route* Find(std::string_view host_name, std::string_view path) const;

  // The service for the next request of `route`, so that the targets get their
  // shares in every short run of requests.
  const ServiceId& NextTarget(const Route& route);

 private:
  // The smooth weighted round robin of a route with several targets.
  struct Turn {
    std::vector<RouteTarget> targets;
    std::vector<double> credit;
  };

  RouteConfigPtr config_;
  // Host name to prefix to route.
  std::map<std::string, std::map<std::string, const Route*>, std::less<>>
      by_host_;
  std::map<std::string, Turn> turns_;
};

}  // namespace toucanknot

#endif  // INCLUDE_ROUTING_ROUTE_TABLE_H_
