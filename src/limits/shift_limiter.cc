#include "include/limits/shift_limiter.h"

#include <algorithm>

namespace toucanknot {

ShiftLimiter::ShiftLimiter(double share, Duration interval)
    : share_(share), interval_(interval) {}

void ShiftLimiter::OnRequest(Instant now) {
  Roll(now);
  ++buckets_[tick_ % kKept].requests;
}

bool ShiftLimiter::TryMove(Instant now) {
  if (Available(now) <= 0)
    return false;
  ++buckets_[tick_ % kKept].moved;
  return true;
}

void ShiftLimiter::Undo(Instant now) {
  Roll(now);
  for (int back = 0; back < kKept; ++back) {
    int64_t& moved = buckets_[(tick_ + kKept - back) % kKept].moved;
    if (moved > 0) {
      --moved;
      return;
    }
  }
}

int64_t ShiftLimiter::Available(Instant now) {
  Roll(now);
  // The open bucket counts beside a whole interval, so that the bound holds
  // for windows that begin between two buckets too.
  const Bucket current = Sum(0, kBuckets + 1);
  const Bucket before = Sum(kBuckets + 1, kBuckets);
  const auto growth =
      static_cast<int64_t>(share_ * static_cast<double>(before.requests));
  return before.moved + growth - current.moved;
}

int64_t ShiftLimiter::Moved(Instant now) {
  Roll(now);
  return Sum(0, kBuckets).moved;
}

void ShiftLimiter::Configure(double share, Duration interval) {
  share_ = share;
  if (interval == interval_)
    return;
  interval_ = interval;
  buckets_.fill(Bucket());
  tick_ = 0;
}

void ShiftLimiter::Roll(Instant now) {
  const int64_t tick =
      now.ms() / std::max<int64_t>(interval_.ms() / kBuckets, 1);
  if (tick <= tick_)
    return;
  const int64_t steps = std::min<int64_t>(tick - tick_, kKept);
  for (int64_t i = 0; i < steps; ++i)
    buckets_[(tick - i) % kKept] = Bucket();
  tick_ = tick;
}

ShiftLimiter::Bucket ShiftLimiter::Sum(int newest, int count) const {
  Bucket sum;
  for (int back = newest; back < newest + count; ++back) {
    const Bucket& it = buckets_[(tick_ + kKept - back) % kKept];
    sum.requests += it.requests;
    sum.moved += it.moved;
  }
  return sum;
}

}  // namespace toucanknot
