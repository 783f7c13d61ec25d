#include "include/placing/zone_distances.h"

#include <algorithm>

namespace toucanknot {
namespace {

// Weights of a sample below and above the estimate: a slow sample may come from
// a lost packet or a busy server, a fast one cannot be wrong.
constexpr double kWeightBelow = 0.5;
constexpr double kWeightAbove = 0.05;
// A sample counts as at most this multiple of the estimate plus kSlackMs.
constexpr double kMaxToEstimate = 2;
constexpr double kSlackMs = 2;

}  // namespace

void ZoneDistances::OnConnected(const ZoneId& zone, Duration took) {
  const auto sample = static_cast<double>(std::max<int64_t>(took.ms(), 0));
  const auto [it, first] = rtt_ms_.try_emplace(zone, sample);
  if (first)
    return;
  double& rtt_ms = it->second;
  const double capped = std::min(sample, rtt_ms * kMaxToEstimate + kSlackMs);
  rtt_ms += (capped - rtt_ms) * (capped < rtt_ms ? kWeightBelow : kWeightAbove);
}

double ZoneDistances::RttMs(const ZoneId& zone, double fallback_ms) const {
  const auto it = rtt_ms_.find(zone);
  return it == rtt_ms_.end() ? fallback_ms : it->second;
}

}  // namespace toucanknot
