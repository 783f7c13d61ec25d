#ifndef BENCH_CONFIG_SIZED_FLEET_H_
#define BENCH_CONFIG_SIZED_FLEET_H_

#include "include/config/fleet_config.h"

namespace toucanknot::bench {

// A valid configuration with `hosts` entry hosts and as many backend servers in
// 21 regions and 76 zones (fewer when there are fewer hosts), ten services, and
// `exceptions` exceptions, each for one server or zone.
FleetConfig SizedFleet(int hosts, int exceptions);

}  // namespace toucanknot::bench

#endif  // BENCH_CONFIG_SIZED_FLEET_H_
