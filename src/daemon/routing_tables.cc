#include "src/daemon/routing_tables.h"

#include <algorithm>

namespace toucanknot {

bool ServiceEntry::IsIdempotent(std::string_view method,
                                std::string_view path) const {
  if (method == "GET" || method == "HEAD")
    return true;
  for (const std::string& it : service.idempotent_requests) {
    const size_t space = it.find(' ');
    const std::string_view text(it);
    if (text.substr(0, space) == method &&
        path.starts_with(text.substr(space + 1))) {
      return true;
    }
  }
  return false;
}

bool ServiceEntry::GuaranteesNotRun(int status) const {
  const auto& list = service.not_run_statuses;
  return std::find(list.begin(), list.end(), status) != list.end();
}

ServiceEntryPtr RoutingTables::Find(std::string_view service) const {
  const auto it = services.find(service);
  return it == services.end() ? nullptr : it->second;
}

RoutingTablesPtr BuildRoutingTables(const FleetConfigPtr& config,
                                    const HostId& host,
                                    const ZoneId& zone,
                                    int64_t unix_ms,
                                    const DispatcherSource& dispatchers) {
  auto tables = std::make_shared<RoutingTables>();
  tables->config = config;
  Scope scope;
  scope.host = host;
  scope.zone = zone;
  scope.region = config->RegionOf(zone);
  tables->tunables = config->Resolve(scope, unix_ms);
  for (const EntryHost& it : config->hosts)
    tables->hosts[it.id] = it;
  for (const Service& it : config->services) {
    auto entry = std::make_shared<ServiceEntry>();
    entry->service = it;
    scope.service = it.id;
    entry->tunables = config->Resolve(scope, unix_ms);
    entry->dispatcher = dispatchers(it.id);
    for (const BackendServer& server : it.servers)
      entry->servers[server.id] = server.address;
    tables->services[it.id.str()] = std::move(entry);
  }
  return tables;
}

}  // namespace toucanknot
