#include "include/placing/demand.h"

#include <algorithm>
#include <cmath>

namespace toucanknot {
namespace {

// Time constant of the average, in ms.
constexpr double kFadeMs = 12'000;
// Minimum time span to average over, in ms.
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
  // Shortly after the start, average over the elapsed time only.
  const double span = kFadeMs * (1 - Faded(now - since_));
  return work_ * Faded(now - at_) / std::max(span, kShortestSpanMs);
}

}  // namespace toucanknot
