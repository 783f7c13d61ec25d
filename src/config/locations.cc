#include "include/config/locations.h"

namespace toucanknot {

Scope LocationOfHost(const FleetConfig& config, const EntryHost& host) {
  Scope location;
  location.region = config.RegionOf(host.zone);
  location.zone = host.zone;
  location.host = host.id;
  return location;
}

Scope LocationOfService(const FleetConfig& config,
                        const EntryHost& host,
                        const ServiceId& service) {
  Scope location = LocationOfHost(config, host);
  location.service = service;
  return location;
}

Scope LocationOfServer(const FleetConfig& config,
                       const ServiceId& service,
                       const BackendServer& server) {
  Scope location;
  location.service = service;
  location.region = config.RegionOf(server.zone);
  location.zone = server.zone;
  location.server = server.id;
  return location;
}

Scope LocationOfRegion(const RegionId& region, const ServiceId& service) {
  Scope location;
  location.service = service;
  location.region = region;
  return location;
}

Scope LocationOfLink(const Link& link) {
  Scope location;
  location.region = link.from;
  return location;
}

}  // namespace toucanknot
