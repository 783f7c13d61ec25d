#ifndef INCLUDE_ROUTING_ROUTE_CONFIG_H_
#define INCLUDE_ROUTING_ROUTE_CONFIG_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "include/base/clock.h"
#include "include/base/enum_names.h"
#include "include/base/ids.h"
#include "include/routing/config_version.h"

namespace toucanknot {

// Whether a request may be sent to a backend server again after it may have
// run there.
enum class RequestKind { kIdempotent, kNonIdempotent };

inline constexpr EnumNames<RequestKind, 2> kRequestKindNames{
    {"idempotent", "non-idempotent"}};

// A region that no host or server is in: where regions were named and cannot be
// read, requests run nowhere rather than everywhere.
inline const RegionId kNoRegion{"?"};

// One service of a route and its share of the route's requests.
struct RouteTarget {
  ServiceId service;
  // Relative to the weights of the route's other targets; above 0.
  double weight = 1;

  bool operator==(const RouteTarget&) const = default;
};

// Routing and requirements of requests for one host name and path prefix.
struct Route {
  std::string name;
  // Lower case, without a port.
  std::string host_name;
  // Begins and ends with a slash.
  std::string prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  // Maximum time from the request to the response.
  Duration timeout;
  // A response within this time has full value for the caller.
  Duration target_latency;
  // 0 is the most urgent.
  int priority = 0;
  // Maximum number of backend servers that one request is sent to.
  int attempts = 1;
  // Whether requests for an object are faster on a server that handled it
  // recently.
  bool sticky = false;
  // At least one.
  std::vector<RouteTarget> targets;
  // Regions in which the request may run; empty means all.
  std::vector<RegionId> allowed_regions;
  // Whether requests need no API key, although the configuration has
  // workspaces.
  bool is_public = false;
  // Whether responses are large (downloads). Such requests are idempotent.
  bool large_responses = false;

  bool operator==(const Route&) const = default;
};

// Settings of a service, made by an operator.
struct ServiceOptions {
  std::string health_path;
  // Connections that one backend server accepts from all callers together.
  int max_connections = 0;
  // How long a backend server stays cold after its start.
  Duration cold_start;
  // Requests a second that a cold backend server can handle; 0 means unlimited.
  double cold_rate = 0;

  bool operator==(const ServiceOptions&) const = default;
};

// A customer of the installation, known by the API keys of its callers.
struct Workspace {
  WorkspaceId id;
  // Secrets: they never appear in logs, metrics, errors or messages.
  std::vector<std::string> api_keys;
  // Takes precedence over the priority of the route.
  std::optional<int> priority;
  // Usage cap over all hosts: requests a second, and the size of a burst above
  // that. A rate of 0 means no cap.
  double rate = 0;
  double burst = 0;
  // Regions in which its requests may run; empty means all.
  std::vector<RegionId> allowed_regions;

  bool operator==(const Workspace&) const = default;
};

// Limits on requests of callers.
struct CallerLimits {
  uint32_t max_header_bytes = 16 << 10;
  uint64_t max_body_bytes = 64 << 20;
  // Maximum time from the first byte of a request to the end of its header.
  Duration header_timeout{10'000};
  // Maximum time for which a connection may be idle between requests.
  Duration idle_timeout{75'000};

  bool operator==(const CallerLimits&) const = default;
};

// One complete version of the routes and services.
struct RouteConfig {
  // Increases with each version. If the operator's text has none that can be
  // read, that of the version before, and `version_is_assumed`.
  ConfigVersion version;
  bool version_is_assumed = false;
  std::vector<Route> routes;
  std::map<ServiceId, ServiceOptions> services;
  // Whether requests need an API key, except on public routes: the operator's
  // text has a table of workspaces, whatever the table holds.
  bool keys_required = false;
  // No key occurs twice.
  std::vector<Workspace> workspaces;
  CallerLimits limits;
};

using RouteConfigPtr = std::shared_ptr<const RouteConfig>;

// Whether `next`, which was read later, takes the place of `current`; null if
// there is none. An older version never does.
bool Supersedes(const RouteConfig& next, const RouteConfig* current);

}  // namespace toucanknot

#endif  // INCLUDE_ROUTING_ROUTE_CONFIG_H_
