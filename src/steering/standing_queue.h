#ifndef SRC_STEERING_STANDING_QUEUE_H_
#define SRC_STEERING_STANDING_QUEUE_H_

#include "include/base/clock.h"

namespace toucanknot {

// Tells a queue that absorbs a burst from one that stands. A wait that stays
// long serves nobody: as many are refused either way, and those that are
// served are served late. So a long wait is allowed for a while only.
class StandingQueue {
 public:
  // How long a wait is above `mean_ms` times kTargetMeans before it stands.
  static constexpr Duration kPatience{1'000};
  static constexpr double kTargetMeans = 5;

  // Whether one more request would wait too long in a queue that stands.
  // `wait_ms`: its expected wait; `mean_ms`: the mean time of an answer.
  bool Refuses(double wait_ms, double mean_ms, Instant now) {
    const double target_ms = kTargetMeans * mean_ms;
    if (wait_ms <= target_ms)
      last_short_ = now;
    if (now - last_short_ > kPatience)
      stands_ = true;
    else if (wait_ms < target_ms * kDrained)
      stands_ = false;
    return stands_ && wait_ms > target_ms;
  }

 private:
  // A queue no longer stands once its wait is below this part of the target.
  static constexpr double kDrained = 0.25;

  // When the wait was last short; a queue that was never asked is short.
  Instant last_short_;
  bool stands_ = false;
};

}  // namespace toucanknot

#endif  // SRC_STEERING_STANDING_QUEUE_H_
