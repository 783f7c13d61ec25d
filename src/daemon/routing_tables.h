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

// The configuration of one service, resolved for this entry host.
struct ServiceEntry {
  Service service;
  // The effective tunables of this service on this host.
  Tunables tunables;
  // Shared between configurations: its state survives a change.
  std::shared_ptr<SharedDispatcher> dispatcher;
  std::unordered_map<ServerId, Endpoint> servers;

  // Whether such a request may be run more than once.
  bool IsIdempotent(std::string_view method, std::string_view path) const;
  // Whether a response with `status` guarantees that the backend server did not
  // run the request.
  bool GuaranteesNotRun(int status) const;
};

using ServiceEntryPtr = std::shared_ptr<const ServiceEntry>;

// The active configuration of one entry host, indexed for request handling.
// Immutable; a configuration change replaces it as a whole.
struct RoutingTables {
  FleetConfigPtr config;
  // The tunables of this host, independent of a service.
  Tunables tunables;
  std::map<std::string, ServiceEntryPtr, std::less<>> services;
  std::unordered_map<HostId, EntryHost> hosts;

  // Null when there is no such service.
  ServiceEntryPtr Find(std::string_view service) const;
};

using RoutingTablesPtr = std::shared_ptr<const RoutingTables>;

// Returns the dispatcher of a service, creating it if there is none.
using DispatcherSource =
    std::function<std::shared_ptr<SharedDispatcher>(const ServiceId& service)>;

// Builds the tables for `host` in `zone`, with the exceptions active at
// `unix_ms`.
RoutingTablesPtr BuildRoutingTables(const FleetConfigPtr& config,
                                    const HostId& host,
                                    const ZoneId& zone,
                                    int64_t unix_ms,
                                    const DispatcherSource& dispatchers);

}  // namespace toucanknot

#endif  // SRC_DAEMON_ROUTING_TABLES_H_
