#ifndef INCLUDE_LIMITS_USAGE_WINDOW_H_
#define INCLUDE_LIMITS_USAGE_WINDOW_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include "include/base/clock.h"

namespace toucanknot {

// Counts events within a sliding window, in steps of a fraction of the window.
// An event counts for the window and up to one step longer, never shorter.
class UsageWindow {
 public:
  static constexpr int kSteps = 50;

  explicit UsageWindow(Duration window = Duration(5'000))
      : step_(std::max<int64_t>(1, window.ms() / kSteps)) {}

  void Add(int n, Instant now) {
    Advance(now);
    buckets_[Index(head_)] += n;
  }
  // Takes back an event that was added at `at`, unless it has left the window.
  void Remove(Instant at, Instant now) {
    Advance(now);
    const int64_t step = at.ms() / step_;
    if (head_ - step <= kSteps)
      --buckets_[Index(step)];
  }
  // Events within the window.
  int Count(Instant now) const { return CountSince(now, kSteps); }
  // Events within the last `span`.
  int CountWithin(Duration span, Instant now) const {
    const auto steps = static_cast<int>((span.ms() + step_ - 1) / step_);
    return CountSince(now, std::min(steps, kSteps));
  }

 private:
  static constexpr size_t kBuckets = kSteps + 1;

  static size_t Index(int64_t step) {
    return static_cast<size_t>(step) % kBuckets;
  }
  int CountSince(Instant now, int steps) const {
    const int64_t current = std::max(now.ms() / step_, head_);
    int n = 0;
    for (int64_t it = std::max(current - steps, head_ - kSteps); it <= head_;
         ++it)
      n += it >= 0 ? buckets_[Index(it)] : 0;
    return n;
  }
  void Advance(Instant now) {
    const int64_t current = now.ms() / step_;
    if (current - head_ > kSteps)
      buckets_.fill(0);
    else
      for (int64_t it = head_ + 1; it <= current; ++it)
        buckets_[Index(it)] = 0;
    head_ = std::max(head_, current);
  }

  int64_t step_;
  int64_t head_ = 0;
  std::array<int32_t, kBuckets> buckets_{};
};

}  // namespace toucanknot

#endif  // INCLUDE_LIMITS_USAGE_WINDOW_H_
