#include "include/placing/demand.h"

#include <algorithm>
#include <cmath>

namespace toucanknot {
namespace {

// The time over which the demand of a host is averaged, in ms.
constexpr double kFadeMs = 12'000;
// Demand is averaged over this many ms at least.
constexpr double kShortestSpanMs = 500;

double Faded(Duration age) {
  return std::exp(-static_cast<double>(age.ms()) / kFadeMs);
}

}  // namespace

void Demand::Add(double ms, Instant now) {
  if (since_ == Instant())
    since_ = now;
  work_ = work_ * Faded(now - at_) + ms;
  at_ = now;
}

double Demand::Slots(Instant now) const {
  // The first seconds have no past.
  const double span = kFadeMs * (1 - Faded(now - since_));
  return work_ * Faded(now - at_) / std::max(span, kShortestSpanMs);
}

}  // namespace toucanknot
