#include "bench/steering/measures.h"

#include <algorithm>

namespace toucanknot::bench {

double ServiceMeasures::Percentile(double q) {
  if (latencies_us.empty())
    return 0;
  const auto last = static_cast<double>(latencies_us.size() - 1);
  const auto nth = latencies_us.begin() + static_cast<int64_t>(last * q);
  std::nth_element(latencies_us.begin(), nth, latencies_us.end());
  return static_cast<double>(*nth) / 1000;
}

}  // namespace toucanknot::bench
