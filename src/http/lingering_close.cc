#include "src/http/lingering_close.h"

#include <algorithm>

namespace toucanknot {

LingeringClose::LingeringClose(const Limits& limits,
                               Instant write_began_at,
                               Instant now)
    : limits_(limits), write_began_at_(write_began_at), progress_at_(now) {}

bool LingeringClose::IsOver(int64_t unacknowledged,
                            Instant received_at,
                            Instant now) {
  if (unacknowledged != unacknowledged_) {
    unacknowledged_ = unacknowledged;
    progress_at_ = now;
    interval_ = kMinInterval;
  }
  if (unacknowledged > 0) {
    delivered_at_.reset();
    return now - progress_at_ >= limits_.stall;
  }
  if (!delivered_at_)
    delivered_at_ = now;
  if (now - *delivered_at_ >= limits_.total)
    return true;
  const Duration quiet =
      std::clamp(*delivered_at_ - write_began_at_, kMinQuiet, kMaxQuiet);
  return now - std::max(*delivered_at_, received_at) >= quiet;
}

Duration LingeringClose::NextInterval() {
  const Duration interval = interval_;
  interval_ = std::min(interval_ * 2, kMaxInterval);
  return interval;
}

}  // namespace toucanknot
