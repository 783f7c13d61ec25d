#include "src/daemon/recent_latency.h"

#include <algorithm>

namespace toucanknot {

void RecentLatency::Add(Duration took) {
  samples_[added_++ % kMaxSamples] = took;
  if (added_ < kMinSamples || added_ % kRefreshInterval != 0)
    return;
  auto sorted = samples_;
  const size_t n = std::min(added_, kMaxSamples);
  const auto it = sorted.begin() + (n * 95 - 1) / 100;
  std::nth_element(sorted.begin(), it, sorted.begin() + n);
  p95_ = *it;
}

}  // namespace toucanknot
