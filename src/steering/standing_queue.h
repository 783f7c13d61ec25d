#ifndef SRC_STEERING_STANDING_QUEUE_H_
#define SRC_STEERING_STANDING_QUEUE_H_

#include "include/base/clock.h"

namespace toucanknot {

// Distinguishes a queue that absorbs a burst from a standing queue. A
// persistently long wait is useless: it does not reduce the number of refusals,
// and the requests that are served are served late. A long wait is thus allowed
// for a limited time only.
class StandingQueue {
 public:
  // How long the wait may exceed `mean_ms` times kTargetWaitMeans before the
  // queue counts as standing.
  static constexpr Duration kGracePeriod{300};
  static constexpr double kTargetWaitMeans = 5;

  // Whether to refuse one more request, since it would wait too long in a
  // standing queue. `wait_ms`: its expected wait; `mean_ms`: the mean response
  // time.
  bool ShouldRefuse(double wait_ms, double mean_ms, Instant now) {
    const double target_ms = kTargetWaitMeans * mean_ms;
    if (wait_ms <= target_ms)
      last_short_ = now;
    if (now - last_short_ > kGracePeriod)
      is_standing_ = true;
    else if (wait_ms < target_ms * kDrainedRatio)
      is_standing_ = false;
    return is_standing_ && wait_ms > target_ms;
  }

 private:
  // The queue is no longer standing once the wait is below this share of the
  // target.
  static constexpr double kDrainedRatio = 0.25;

  // When the wait was last short.
  Instant last_short_;
  bool is_standing_ = false;
};

}  // namespace toucanknot

#endif  // SRC_STEERING_STANDING_QUEUE_H_
