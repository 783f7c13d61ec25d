#ifndef BENCH_STEERING_SCENARIO_H_
#define BENCH_STEERING_SCENARIO_H_

#include <optional>
#include <string>
#include <vector>

namespace toucanknot::bench {

// The fault injected between kFaultStartMs and kFaultEndMs.
enum class Fault {
  kNone,
  kHost,
  kZone,
  kRegion,
  // The two zones of the first region cannot reach each other.
  kPartition,
  // Servers report that they are idle; one in ten is ten times as slow, one in
  // ten fails at once but reports that it is healthy.
  kMisleading,
  // The servers of the first region are cold at the start.
  kCold,
  // The load is kBurstLoad for kBurstMs.
  kBurst,
};

// One scenario of the benchmark.
struct Scenario {
  std::string name;
  // Offered load as a share of the capacity of all slots.
  double load = 0;
  Fault fault = Fault::kNone;
  // The delay of load reports of servers and peers.
  int lag_ms = 0;
  // One server of each service signals at kLeaveMs that it leaves.
  bool server_leaves = false;
  // Callers retry refused and failed requests.
  bool callers_retry = false;
};

inline constexpr int kWarmMs = 5'000;
inline constexpr int kFaultStartMs = 10'000;
inline constexpr int kFaultEndMs = 25'000;
inline constexpr int kLeaveMs = 30'000;
inline constexpr int kRunMs = 40'000;
inline constexpr double kBurstLoad = 2;
inline constexpr int kBurstMs = 5'000;

const std::vector<Scenario>& Scenarios();

}  // namespace toucanknot::bench

#endif  // BENCH_STEERING_SCENARIO_H_
