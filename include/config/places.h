#ifndef INCLUDE_CONFIG_PLACES_H_
#define INCLUDE_CONFIG_PLACES_H_

#include "include/config/fleet_config.h"

namespace toucanknot {

// The places at which tunables are resolved. Whoever calls
// FleetConfig::Resolve() takes one of these, so that an exception never misses
// its place for want of a part; TunableSpec::place says which one a tunable is
// read at.

// An entry host: region, zone, host.
Scope PlaceOfHost(const FleetConfig& config, const EntryHost& host);

// A service at an entry host: service, region, zone, host.
Scope PlaceOfService(const FleetConfig& config,
                     const EntryHost& host,
                     const ServiceId& service);

// A backend server: service, region, zone, server; the region and zone are the
// server's own.
Scope PlaceOfServer(const FleetConfig& config,
                    const ServiceId& service,
                    const BackendServer& server);

// A service in a region: service, region.
Scope PlaceOfRegion(const RegionId& region, const ServiceId& service);

// A link, by the region it leads from.
Scope PlaceOfLink(const Link& link);

}  // namespace toucanknot

#endif  // INCLUDE_CONFIG_PLACES_H_
