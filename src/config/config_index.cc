#include "src/config/config_index.h"

namespace toucanknot {

ConfigIndex::ConfigIndex(const FleetConfig& config) {
  for (const Region& region : config.regions) {
    regions_.emplace(region.id, &region);
    for (const ZoneId& it : region.zones)
      zones_.emplace(it, region.id);
  }
  for (const EntryHost& it : config.hosts)
    hosts_.emplace(it.id, &it);
  for (const Service& service : config.services) {
    for (const BackendServer& it : service.servers)
      servers_.emplace(it.id, Server{&service, &it});
  }
}

RegionId ConfigIndex::RegionOf(const ZoneId& zone) const {
  const auto it = zones_.find(zone);
  return it == zones_.end() ? RegionId() : it->second;
}

const EntryHost* ConfigIndex::FindHost(const HostId& id) const {
  const auto it = hosts_.find(id);
  return it == hosts_.end() ? nullptr : it->second;
}

const ConfigIndex::Server* ConfigIndex::FindServer(const ServerId& id) const {
  const auto it = servers_.find(id);
  return it == servers_.end() ? nullptr : &it->second;
}

Scope ConfigIndex::LocationOf(const EntryHost& host) const {
  Scope location;
  location.region = RegionOf(host.zone);
  location.zone = host.zone;
  location.host = host.id;
  return location;
}

Scope ConfigIndex::LocationOf(const ServiceId& service,
                              const BackendServer& server) const {
  Scope location;
  location.service = service;
  location.region = RegionOf(server.zone);
  location.zone = server.zone;
  location.server = server.id;
  return location;
}

}  // namespace toucanknot
