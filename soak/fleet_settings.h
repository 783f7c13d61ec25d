#ifndef SOAK_FLEET_SETTINGS_H_
#define SOAK_FLEET_SETTINGS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "include/base/clock.h"
#include "include/base/endpoint.h"
#include "include/base/ids.h"
#include "include/routing/route_config.h"
#include "soak/invariant_checker.h"

namespace toucanknot::soak {

// After this a draining server receives no more requests, and upon SIGTERM a
// host has exited.
inline constexpr Duration kDrainLimit{2'500};
inline constexpr Duration kGracePeriod{6'000};

// The path prefix of the route that exists only in this configuration version.
std::string VersionPath(uint64_t version);

// Loopback addresses from 127.0.1.1 on, 200 for each value of the third octet.
std::string HostIp(int i);

// All routes of a configuration version.
std::vector<Route> SoakRoutes(uint64_t version);

// What the settings of a host say.
struct HostSettingsInput {
  HostId id;
  ZoneId zone;
  RegionId region;
  std::map<ZoneId, RegionId> zones;
  // It listens at this address on five ports from `first_port` on.
  std::string ip;
  uint16_t first_port = 0;
  Endpoint store;
  InvariantChecker::Budget budget;
};

// The text of a host's settings file.
std::string HostSettings(const HostSettingsInput& input);

}  // namespace toucanknot::soak

#endif  // SOAK_FLEET_SETTINGS_H_
