#include "soak/crash_limit.h"

#include <fmt/format.h>

#include "soak/fault_history.h"

namespace toucanknot::soak {
namespace {

// After so many crashes it is known which request causes them.
constexpr size_t kCrashesUntilKnown = 3;

}  // namespace

void CrashLimit::OnCrash(const std::string& target,
                         const std::string& host,
                         bool in_touch,
                         Instant now) {
  std::vector<Instant>& crashes = crashes_[target];
  if (crashes.size() < kCrashesUntilKnown) {
    crashes.push_back(now);
    return;
  }
  if (now - crashes.back() <= FaultHistory::kSettleTime || !in_touch)
    return;
  if (++late_crashes_[target] == kMaxLateCrashes + 1) {
    checker_.Report(InvariantViolation::kCrashedTooMany,
                    fmt::format("{} from {} ran {} ms after its third crash",
                                target, host, (now - crashes.back()).ms()));
  }
}

}  // namespace toucanknot::soak
