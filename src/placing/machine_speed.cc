#include "include/placing/machine_speed.h"

#include <algorithm>
#include <cmath>

namespace toucanknot {
namespace {

// How fast a report is assumed to fade as long as responses do not show it.
constexpr double kAssumedFadeMs = 250;
// Weight of that assumption, as the sum of squares of the deviations of the
// responses that outweigh it.
constexpr double kAssumptionWeight = 2;
// What each response leaves of the weight of earlier ones, so that some
// hundreds count.
constexpr double kMemory = 0.996;
// One stuck response must not decide what reports are worth.
constexpr double kMaxDeviation = 4;

}  // namespace

MachineSpeed::MachineSpeed() {
  Duration age = kFirstAge;
  for (Slope& it : slopes_) {
    const double worth =
        std::exp(-static_cast<double>(age.ms()) * 0.75 / kAssumedFadeMs);
    it = {worth * kAssumptionWeight, kAssumptionWeight};
    age = age * 2;
  }
}

size_t MachineSpeed::IndexOf(Duration age) {
  size_t index = 0;
  for (Duration it = kFirstAge; index < kAges && age >= it; it = it * 2)
    ++index;
  return index;
}

double MachineSpeed::WorthAt(Duration age) const {
  const size_t index = IndexOf(age);
  if (index >= kAges)
    return 0;
  const Slope& slope = slopes_[index];
  return std::clamp(slope.products / slope.squares, 0.0, 1.0);
}

double MachineSpeed::FactorAt(const std::optional<Report>& report,
                              Instant start) const {
  if (!report)
    return 1;
  return 1 + (report->work_ratio - 1) * WorthAt(start - report->at);
}

void MachineSpeed::OnResponse(const std::optional<Report>& report,
                              Instant start,
                              double ratio) {
  if (!report)
    return;
  const size_t index = IndexOf(start - report->at);
  if (index >= kAges)
    return;
  const double reported =
      std::clamp(report->work_ratio - 1, -1.0, kMaxDeviation);
  const double seen = std::clamp(ratio - 1, -1.0, kMaxDeviation);
  Slope& slope = slopes_[index];
  slope.products = slope.products * kMemory + reported * seen;
  // Bounded below: reports of exactly 1 say nothing about their worth.
  slope.squares = std::max(slope.squares * kMemory + reported * reported, 0.01);
}

}  // namespace toucanknot
