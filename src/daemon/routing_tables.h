#ifndef SRC_DAEMON_ROUTING_TABLES_H_
#define SRC_DAEMON_ROUTING_TABLES_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "include/base/endpoint.h"
#include "include/base/ids.h"
#include "include/config/fleet_config.h"
#include "src/daemon/shared_dispatcher.h"

namespace toucanknot {

// What one entry host needs of one service, resolved for its place.
struct ServiceEntry {
  Service service;
  // For this service at this host.
  Tunables tunables;
  // Outlives configurations: its state is kept over a change.
  std::shared_ptr<SharedDispatcher> desk;
  std::unordered_map<ServerId, Endpoint> servers;

  // Whether the request may be run more than once.
  bool IsIdempotent(std::string_view method, std::string_view path) const;
  // Whether a backend server says by `status` that it did not run a request.
  bool PromisesNotRun(int status) const;
};

using ServiceEntryPtr = std::shared_ptr<const ServiceEntry>;

// The configuration in force at one entry host, in the shape that requests
// need. Immutable; a change of configuration swaps the whole.
struct RoutingTables {
  FleetConfigPtr config;
  // For this host, without regard to a service.
  Tunables tunables;
  std::map<std::string, ServiceEntryPtr, std::less<>> services;
  std::unordered_map<HostId, EntryHost> hosts;

  // Nothing when there is no such service.
  ServiceEntryPtr Find(std::string_view service) const;
};

using RoutingTablesPtr = std::shared_ptr<const RoutingTables>;

// Gives the desk of a service: the one there is, or a new one.
using DispatcherSource =
    std::function<std::shared_ptr<SharedDispatcher>(const ServiceId& service)>;

// Builds the tables of `host`, which lies in `zone`.
RoutingTablesPtr BuildRoutingTables(const FleetConfigPtr& config,
                                    const HostId& host,
                                    const ZoneId& zone,
                                    int64_t unix_ms,
                                    const DispatcherSource& desks);

}  // namespace toucanknot

#endif  // SRC_DAEMON_ROUTING_TABLES_H_
