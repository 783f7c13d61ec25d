#ifndef INCLUDE_CONFIG_LOCATIONS_H_
#define INCLUDE_CONFIG_LOCATIONS_H_

#include "include/config/fleet_config.h"

namespace toucanknot {

// The locations at which tunables are resolved. Arguments of
// FleetConfig::Resolve() are made with these functions, so that no part that an
// exception may match on is missing; TunableSpec::location says at which kind
// of location a tunable is read.

// An entry host: region, zone, host.
Scope LocationOfHost(const FleetConfig& config, const EntryHost& host);

// A service at an entry host: service, region, zone, host.
Scope LocationOfService(const FleetConfig& config,
                        const EntryHost& host,
                        const ServiceId& service);

// A backend server: service, region, zone, server; the region and zone are the
// server's own.
Scope LocationOfServer(const FleetConfig& config,
                       const ServiceId& service,
                       const BackendServer& server);

// A service in a region: service, region.
Scope LocationOfRegion(const RegionId& region, const ServiceId& service);

// A link, identified by the region where it starts.
Scope LocationOfLink(const Link& link);

}  // namespace toucanknot

#endif  // INCLUDE_CONFIG_LOCATIONS_H_
