#include "include/limits/budget_messages.h"

namespace toucanknot {
namespace {

constexpr int64_t kMillion = 1'000'000;

}  // namespace

Duration BudgetTimes::AtLeast(Duration d) const {
  const int64_t slow = kMillion - drift_ppm;
  return Duration((d.ms() * (kMillion + drift_ppm) + slow - 1) / slow + 1);
}

Duration BudgetTimes::AtMost(Duration d) const {
  return Duration(d.ms() * (kMillion - drift_ppm) / (kMillion + drift_ppm) - 1);
}

}  // namespace toucanknot
