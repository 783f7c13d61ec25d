#include "include/limits/shift_limiter.h"

#include <algorithm>

namespace toucanknot {
namespace {

// If each bucket moves the mean of the ten previous buckets plus a step, the
// sum over ten buckets grows by 18.2 steps from one interval to the next. The
// step, as a share of the growth allowed per interval, uses four fifths of it
// (18.2 * 0.044), since a window that does not start at a bucket boundary
// covers eleven buckets.
constexpr double kStepShare = 0.044;
// Maximum credit, in allowances of one bucket.
constexpr double kMaxSavedAllowances = 1.5;

}  // namespace

ShiftLimiter::ShiftLimiter(double share, Duration interval)
    : share_(share), interval_(interval) {}

void ShiftLimiter::OnRequest(Instant now) {
  Roll(now);
  ++buckets_[tick_ % kStoredBuckets].requests;
}

bool ShiftLimiter::TryMove(Instant now) {
  if (Available(now) <= 0)
    return false;
  ++buckets_[tick_ % kStoredBuckets].moved;
  credit_ -= 1;
  return true;
}

void ShiftLimiter::Undo(Instant now) {
  Roll(now);
  for (int back = 0; back < kStoredBuckets; ++back) {
    int64_t& moved =
        buckets_[(tick_ + kStoredBuckets - back) % kStoredBuckets].moved;
    if (moved > 0) {
      --moved;
      credit_ += 1;
      return;
    }
  }
}

int64_t ShiftLimiter::Available(Instant now) {
  Roll(now);
  return std::min(WindowCapacity(), static_cast<int64_t>(credit_));
}

int64_t ShiftLimiter::WindowCapacity() const {
  const Bucket current = Sum(0, kBuckets);
  const Bucket before = Sum(kBuckets, kBuckets);
  if (before.requests == 0)
    return 0;
  const auto growth =
      static_cast<int64_t>(share_ * static_cast<double>(before.requests));
  return std::max<int64_t>(
      before.moved + std::max<int64_t>(growth, 1) - current.moved, 0);
}

void ShiftLimiter::AddCredit() {
  const Bucket last = Sum(1, kBuckets);
  const double allowance =
      static_cast<double>(last.moved) / kBuckets +
      kStepShare * share_ * static_cast<double>(last.requests);
  credit_ = std::min(credit_ + allowance,
                     std::max(kMaxSavedAllowances * allowance, 1.0));
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
  credit_ = 0;
  tick_ = 0;
}

void ShiftLimiter::Roll(Instant now) {
  const int64_t tick =
      now.ms() / std::max<int64_t>(interval_.ms() / kBuckets, 1);
  if (tick <= tick_)
    return;
  const int64_t steps = std::min<int64_t>(tick - tick_, kStoredBuckets);
  tick_ = tick - steps;
  for (int64_t i = 0; i < steps; ++i) {
    ++tick_;
    buckets_[tick_ % kStoredBuckets] = Bucket();
    AddCredit();
  }
}

ShiftLimiter::Bucket ShiftLimiter::Sum(int newest, int count) const {
  Bucket sum;
  for (int back = newest; back < newest + count; ++back) {
    const Bucket& it =
        buckets_[(tick_ + kStoredBuckets - back) % kStoredBuckets];
    sum.requests += it.requests;
    sum.moved += it.moved;
  }
  return sum;
}

}  // namespace toucanknot
