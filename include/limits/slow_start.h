#ifndef INCLUDE_LIMITS_SLOW_START_H_
#define INCLUDE_LIMITS_SLOW_START_H_

#include "include/base/clock.h"

namespace toucanknot {

// The share of its full load that a region (or server) gets while it is
// unavailable, recovers and warms up. Unavailability takes effect at once.
// Recovery requires that it is available without interruption for `settle`;
// then the share grows linearly over `warmup`. Each failure shortly after a
// recovery doubles the settling time, so that a flapping region gets traffic
// less and less often.
class SlowStart {
 public:
  struct Options {
    Duration settle{3'000};
    Duration max_settle{60'000};
    Duration warmup{10'000};
    // The share right after settling; must be above 0, since a region without
    // traffic cannot warm up.
    double first_share = 0.1;
  };

  // Starts with the full share.
  explicit SlowStart(Options options);

  // Sets the availability as observed by the host; call on every change and
  // periodically.
  void Update(bool available, Instant now);
  // Restarts the warm-up at the first share, for a cold start.
  void RestartCold(Instant now);

  // From 0 (gets nothing) to 1.
  double Share(Instant now) const;
  bool settling() const { return phase_ == Phase::kSettling; }
  Duration settle() const { return settle_; }

 private:
  enum class Phase { kAway, kSettling, kServing };

  Options options_;
  Phase phase_ = Phase::kServing;
  // When the phase began; Share() counts from it.
  Instant since_;
  bool full_ = true;
  Duration settle_;
};

}  // namespace toucanknot

#endif  // INCLUDE_LIMITS_SLOW_START_H_
