#ifndef SOAK_CRASH_LIMIT_H_
#define SOAK_CRASH_LIMIT_H_

#include <map>
#include <string>
#include <vector>

#include "include/base/clock.h"
#include "soak/invariant_checker.h"

namespace toucanknot::soak {

// Checks that requests that crash servers run no more once that is known.
class CrashLimit {
 public:
  // Runs of such a request later than FaultHistory::kSettleTime after the third
  // of them.
  static constexpr int kMaxLateCrashes = 3;

  explicit CrashLimit(InvariantChecker& checker) : checker_(checker) {}

  // A run of the request for `target`, sent by `host`, crashed its server.
  // `in_touch`: whether the time bound holds for the host.
  void OnCrash(const std::string& target,
               const std::string& host,
               bool in_touch,
               Instant now);

 private:
  InvariantChecker& checker_;
  // For each target, the first crashes, and the number of those after it was
  // known.
  std::map<std::string, std::vector<Instant>> crashes_;
  std::map<std::string, int> late_crashes_;
};

}  // namespace toucanknot::soak

#endif  // SOAK_CRASH_LIMIT_H_
