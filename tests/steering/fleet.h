#ifndef TESTS_STEERING_FLEET_H_
#define TESTS_STEERING_FLEET_H_

#include <memory>
#include <string>
#include <vector>

#include "include/config/fleet_config.h"

namespace toucanknot {

// Two regions "r0" and "r1" with one zone each, two hosts each ("r0-h0"...),
// and a service "s" with `servers` servers of `slots` slots in each region
// ("r0-b0"...).
inline std::shared_ptr<FleetConfig> SmallFleet(int servers = 2, int slots = 2) {
  auto config = std::make_shared<FleetConfig>();
  config->version = 1;
  Service service{.id = ServiceId("s"), .work_class = "lookup"};
  for (const std::string r : {"r0", "r1"}) {
    const ZoneId zone(r + "-z");
    config->regions.push_back({RegionId(r), {zone}});
    for (int i = 0; i < 2; ++i) {
      config->hosts.push_back(
          {.id = HostId(r + "-h" + std::to_string(i)), .zone = zone});
    }
    for (int i = 0; i < servers; ++i) {
      service.servers.push_back({.id = ServerId(r + "-b" + std::to_string(i)),
                                 .zone = zone,
                                 .slots = slots,
                                 .max_connections = 100});
    }
  }
  const RegionId r0("r0");
  const RegionId r1("r1");
  config->links = {{r0, r1, 300, Duration(20)}, {r1, r0, 300, Duration(20)}};
  config->services = {service};
  config->refusal_order = {"lookup"};
  return config;
}

inline std::vector<HostId> HostsOf(const FleetConfig& config) {
  std::vector<HostId> hosts;
  for (const EntryHost& it : config.hosts)
    hosts.push_back(it.id);
  return hosts;
}

}  // namespace toucanknot

#endif  // TESTS_STEERING_FLEET_H_
