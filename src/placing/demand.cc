#include "include/placing/demand.h"

#include <algorithm>
#include <cmath>

namespace toucanknot {
namespace {

// Time constant of the average, in ms.
constexpr double kTimeConstantMs = 12'000;
// Minimum time span to average over, in ms.
constexpr double kMinSpanMs = 500;

double Decay(Duration age) {
  return std::exp(-static_cast<double>(age.ms()) / kTimeConstantMs);
}

}  // namespace

void Demand::Add(double ms, Instant now) {
  if (started_at_ == Instant())
    started_at_ = now;
  slot_ms_ = slot_ms_ * Decay(now - updated_at_) + ms;
  updated_at_ = now;
}

double Demand::Slots(Instant now) const {
  // Shortly after the start, average over the elapsed time only.
  const double span = kTimeConstantMs * (1 - Decay(now - started_at_));
  return slot_ms_ * Decay(now - updated_at_) / std::max(span, kMinSpanMs);
}

}  // namespace toucanknot
