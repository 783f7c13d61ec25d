#ifndef INCLUDE_LIMITS_SLOW_START_H_
#define INCLUDE_LIMITS_SLOW_START_H_

#include "include/base/clock.h"

namespace toucanknot {

// The share of its full load that a region (or server) gets while it is away,
// comes back and warms up. Going away takes effect at once; coming back needs
// `settle` of uninterrupted good signs, then the share grows in a straight
// line over `warmup`. Each return shortly after the one before doubles the
// settling time, so that a region that flaps is not believed faster and
// faster.
class SlowStart {
 public:
  struct Options {
    Duration settle{3'000};
    Duration max_settle{60'000};
    Duration warmup{10'000};
    // The share right after settling; above 0, or it could never warm up.
    double first_share = 0.1;
  };

  // Starts at full share.
  explicit SlowStart(Options options);

  // What the host believes now; call on every change and at every tick.
  void Update(bool available, Instant now);
  // Starts again at the first share, for something that starts cold.
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
