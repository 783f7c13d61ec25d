#include "include/limits/slow_start.h"

#include <algorithm>

namespace toucanknot {

SlowStart::SlowStart(Options options)
    : options_(options), settle_(options.settle) {}

void SlowStart::Update(bool available, Instant now) {
  if (!available) {
    if (phase_ == Phase::kServing) {
      const bool flapped = !full_ && now - since_ < options_.max_settle;
      settle_ = flapped ? std::min(settle_ * 2, options_.max_settle)
                        : options_.settle;
    }
    phase_ = Phase::kAway;
    full_ = false;
    return;
  }
  if (phase_ == Phase::kAway) {
    phase_ = Phase::kSettling;
    since_ = now;
  }
  if (phase_ == Phase::kSettling && now - since_ >= settle_)
    RestartCold(now);
}

void SlowStart::RestartCold(Instant now) {
  phase_ = Phase::kServing;
  full_ = false;
  since_ = now;
}

double SlowStart::Share(Instant now) const {
  if (phase_ != Phase::kServing)
    return 0;
  if (full_ || options_.warmup.ms() <= 0)
    return 1;
  const double done = static_cast<double>((now - since_).ms()) /
                      static_cast<double>(options_.warmup.ms());
  return std::clamp(options_.first_share + (1 - options_.first_share) * done,
                    0.0, 1.0);
}

}  // namespace toucanknot
