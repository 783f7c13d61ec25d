#include "include/config/places.h"

namespace toucanknot {

Scope PlaceOfHost(const FleetConfig& config, const EntryHost& host) {
  Scope place;
  place.region = config.RegionOf(host.zone);
  place.zone = host.zone;
  place.host = host.id;
  return place;
}

Scope PlaceOfService(const FleetConfig& config,
                     const EntryHost& host,
                     const ServiceId& service) {
  Scope place = PlaceOfHost(config, host);
  place.service = service;
  return place;
}

Scope PlaceOfServer(const FleetConfig& config,
                    const ServiceId& service,
                    const BackendServer& server) {
  Scope place;
  place.service = service;
  place.region = config.RegionOf(server.zone);
  place.zone = server.zone;
  place.server = server.id;
  return place;
}

Scope PlaceOfRegion(const RegionId& region, const ServiceId& service) {
  Scope place;
  place.service = service;
  place.region = region;
  return place;
}

Scope PlaceOfLink(const Link& link) {
  Scope place;
  place.region = link.from;
  return place;
}

}  // namespace toucanknot
