#ifndef SOAK_SOAK_RUN_H_
#define SOAK_SOAK_RUN_H_

#include <map>
#include <string>
#include <vector>

#include "soak/soak_fleet.h"

namespace toucanknot::soak {

struct SoakReport {
  uint64_t seed = 0;
  int faults = 0;
  InvariantChecker::Counts counts;
  std::map<std::string, int> uploads;
  // Share of the callers' requests that were served: while the faults were
  // injected, and after the recovery time.
  double served = 0;
  double served_after = 0;
  int64_t max_resident_bytes = 0;
  std::map<InvariantViolation, int> violation_counts;
  // Violated invariants, one line each.
  std::vector<std::string> violations;
};

// Runs one seed: starts the fleet, injects the faults of its plan while callers
// send requests, gives it time to recover, and stops it.
SoakReport RunSoak(const SoakOptions& options);

// The report as one line of JSON.
std::string WriteReport(const SoakReport& report);

}  // namespace toucanknot::soak

#endif  // SOAK_SOAK_RUN_H_
