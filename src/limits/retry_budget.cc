#include "include/limits/retry_budget.h"

#include <algorithm>

namespace toucanknot {

RetryBudget::RetryBudget(double ratio, int64_t floor, Duration window)
    : ratio_(ratio),
      floor_(floor),
      bucket_ms_(std::max<int64_t>(window.ms() / kBuckets, 1)) {}

void RetryBudget::OnSuccess(Instant now) {
  Roll(now);
  ++buckets_[tick_ % kBuckets].successes;
  ++successes_;
}

bool RetryBudget::TryTake(Instant now, double keep) {
  const auto available = static_cast<double>(Available(now));
  if (available <= keep * static_cast<double>(Allowed()))
    return false;
  ++buckets_[tick_ % kBuckets].taken;
  ++taken_;
  return true;
}

int64_t RetryBudget::Available(Instant now) {
  Roll(now);
  return Allowed() - taken_;
}

int64_t RetryBudget::Allowed() const {
  const auto earned =
      static_cast<int64_t>(ratio_ * static_cast<double>(successes_));
  return std::max(earned, floor_);
}

void RetryBudget::Roll(Instant now) {
  const int64_t tick = now.ms() / bucket_ms_;
  if (tick <= tick_)
    return;
  const int64_t steps = std::min<int64_t>(tick - tick_, kBuckets);
  for (int64_t i = 0; i < steps; ++i) {
    Bucket& bucket = buckets_[(tick - i) % kBuckets];
    successes_ -= bucket.successes;
    taken_ -= bucket.taken;
    bucket = Bucket();
  }
  tick_ = tick;
}

}  // namespace toucanknot
