#ifndef SOAK_SOAK_RUN_H_
#define SOAK_SOAK_RUN_H_

#include <string>
#include <vector>

#include "soak/soak_fleet.h"

namespace toucanknot::soak {

struct SoakReport {
  uint64_t seed = 0;
  int faults = 0;
  InvariantChecker::Counts counts;
  // The part of the callers' requests that was served, over the whole run and
  // after the last fault.
  double served = 0;
  double served_after = 0;
  int64_t most_resident_bytes = 0;
  // Broken promises, a line each.
  std::vector<std::string> breaches;
};

// Plays one seed: starts the fleet, lets the faults of its plan happen while
// callers call, waits until it has had time to recover, and ends it.
SoakReport RunSoak(const SoakOptions& options);

// The report as one line of JSON.
std::string WriteReport(const SoakReport& report);

}  // namespace toucanknot::soak

#endif  // SOAK_SOAK_RUN_H_
