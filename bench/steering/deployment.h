#ifndef BENCH_STEERING_DEPLOYMENT_H_
#define BENCH_STEERING_DEPLOYMENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "include/config/fleet_config.h"

namespace toucanknot::bench {

// The properties of a service's requests.
struct Traffic {
  ServiceId service;
  double mean_ms = 0;
  int64_t request_bytes = 0;
  int64_t response_bytes = 0;
  Duration deadline;
};

// A modelled installation: its fleet and its traffic.
struct Deployment {
  std::string name;
  std::shared_ptr<FleetConfig> config;
  std::vector<Traffic> traffic;
  int64_t same_zone_us = 0;
  int64_t between_zones_us = 0;
  int64_t to_client_us = 0;
};

// Throws Error for a name that is not "haufiku" or "quetzal".
Deployment MakeDeployment(const std::string& name);

}  // namespace toucanknot::bench

#endif  // BENCH_STEERING_DEPLOYMENT_H_
