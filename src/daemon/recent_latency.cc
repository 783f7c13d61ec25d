#include "src/daemon/recent_latency.h"

#include <algorithm>

namespace toucanknot {

void RecentLatency::Add(Duration took) {
  samples_[added_++ % kKept] = took;
  if (added_ < kLeastSamples || added_ % kRefresh != 0)
    return;
  auto sorted = samples_;
  const size_t n = std::min(added_, kKept);
  const auto it = sorted.begin() + (n * 95 - 1) / 100;
  std::nth_element(sorted.begin(), it, sorted.begin() + n);
  p95_ = *it;
}

}  // namespace toucanknot
