#ifndef BENCH_CONFIG_SIZED_FLEET_H_
#define BENCH_CONFIG_SIZED_FLEET_H_

#include "include/config/fleet_config.h"

namespace toucanknot::bench {

// A valid configuration with `hosts` entry hosts and as many backend servers,
// spread over 21 regions with 76 zones (fewer when there are fewer hosts), ten
// services and `exceptions` exceptions of one server or zone each.
FleetConfig SizedFleet(int hosts, int exceptions);

}  // namespace toucanknot::bench

#endif  // BENCH_CONFIG_SIZED_FLEET_H_
