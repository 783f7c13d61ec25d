#include "include/placing/local_fill.h"

#include <algorithm>

namespace toucanknot {

double MaxLocalFill(double extra_rtt_ms, double service_ms) {
  // Objects keep their requests at few servers, so slots are hardly shared:
  // with one queue for each (M/M/1), the wait at the fill f is f / (1 - f)
  // service times.
  const double wait = std::max(0.0, extra_rtt_ms) / std::max(1.0, service_ms);
  return wait / (1 + wait);
}

}  // namespace toucanknot
