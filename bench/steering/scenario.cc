#include "bench/steering/scenario.h"

namespace toucanknot::bench {

const std::vector<Scenario>& Scenarios() {
  static const std::vector<Scenario> scenarios{
      {.name = "steady-60", .load = 0.6},
      {.name = "steady-90", .load = 0.9},
      {.name = "steady-120", .load = 1.2},
      {.name = "host-lost", .load = 0.6, .fault = Fault::kHost},
      {.name = "host-lost-90", .load = 0.9, .fault = Fault::kHost},
      {.name = "zone-lost", .load = 0.6, .fault = Fault::kZone},
      {.name = "region-lost", .load = 0.6, .fault = Fault::kRegion},
      {.name = "lag-5s", .load = 0.9, .lag_ms = 5'000},
      {.name = "misleading", .load = 0.6, .fault = Fault::kMisleading},
      {.name = "cold-region", .load = 0.6, .fault = Fault::kCold},
      {.name = "partition", .load = 0.6, .fault = Fault::kPartition},
      {.name = "leaving", .load = 0.6, .server_leaves = true},
      {.name = "leaving-lag",
       .load = 0.6,
       .lag_ms = 5'000,
       .server_leaves = true},
      {.name = "burst",
       .load = 0.8,
       .fault = Fault::kBurst,
       .callers_retry = true},
  };
  return scenarios;
}

}  // namespace toucanknot::bench
