#ifndef INCLUDE_CONFIG_PLACES_H_
#define INCLUDE_CONFIG_PLACES_H_

#include "include/config/fleet_config.h"

namespace toucanknot {

// The locations at which tunables are resolved. Arguments of
// FleetConfig::Resolve() are made with these functions, so that no part that an
// exception may match on is missing; TunableSpec::place says at which kind of
// location a tunable is read.

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

// A link, identified by the region where it starts.
Scope PlaceOfLink(const Link& link);

}  // namespace toucanknot

#endif  // INCLUDE_CONFIG_PLACES_H_
