#include "src/http/lingering_close.h"

#include <algorithm>

namespace toucanknot {

LingeringClose::LingeringClose(const Limits& limits,
                               Instant write_began_at,
                               Instant now)
    : limits_(limits), write_began_at_(write_began_at), progress_at_(now) {}

bool LingeringClose::IsOver(std::optional<int64_t> unacknowledged,
                            Instant received_at,
                            Instant now,
                            bool stopping) {
  if (unacknowledged != unacknowledged_) {
    unacknowledged_ = unacknowledged;
    progress_at_ = now;
    interval_ = kMinInterval;
  }
  if (unacknowledged != 0) {
    delivered_at_.reset();
    const bool stalled = now - progress_at_ >= limits_.stall;
    return stalled && (unacknowledged || !stopping);
  }
  if (!delivered_at_)
    delivered_at_ = now;
  if (stopping)
    return false;
  if (now - *delivered_at_ >= limits_.total)
    return true;
  const Duration quiet =
      std::clamp(*delivered_at_ - write_began_at_, kMinQuiet, kMaxQuiet);
  return now - std::max(*delivered_at_, received_at) >= quiet;
}

Duration LingeringClose::NextInterval(bool stopping) {
  if (stopping && delivered_at_)
    return limits_.stall;
  const Duration interval = std::min(interval_, limits_.stall);
  interval_ = std::min(interval_ * 2, stopping ? kStopInterval : kMaxInterval);
  return interval;
}

}  // namespace toucanknot
