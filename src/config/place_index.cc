#include "src/config/place_index.h"

namespace toucanknot {

PlaceIndex::PlaceIndex(const FleetConfig& config) {
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

RegionId PlaceIndex::RegionOf(const ZoneId& zone) const {
  const auto it = zones_.find(zone);
  return it == zones_.end() ? RegionId() : it->second;
}

const EntryHost* PlaceIndex::FindHost(const HostId& id) const {
  const auto it = hosts_.find(id);
  return it == hosts_.end() ? nullptr : it->second;
}

const PlaceIndex::Server* PlaceIndex::FindServer(const ServerId& id) const {
  const auto it = servers_.find(id);
  return it == servers_.end() ? nullptr : &it->second;
}

Scope PlaceIndex::PlaceOf(const EntryHost& host) const {
  Scope place;
  place.region = RegionOf(host.zone);
  place.zone = host.zone;
  place.host = host.id;
  return place;
}

Scope PlaceIndex::PlaceOf(const ServiceId& service,
                          const BackendServer& server) const {
  Scope place;
  place.service = service;
  place.region = RegionOf(server.zone);
  place.zone = server.zone;
  place.server = server.id;
  return place;
}

}  // namespace toucanknot
