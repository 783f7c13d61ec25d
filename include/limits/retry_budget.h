#ifndef INCLUDE_LIMITS_RETRY_BUDGET_H_
#define INCLUDE_LIMITS_RETRY_BUDGET_H_

#include <array>
#include <cstdint>

#include "include/base/clock.h"

namespace toucanknot {

// Limits extra attempts (retries or hedges) to a share of recent successes, so
// that they cannot amplify an overload: when successes stop, so do extra
// attempts. Use one object for retries and one for hedges.
class RetryBudget {
 public:
  // The default window.
  static constexpr Duration kWindow{10'000};

  // `ratio` is the share, from 0 to 1. `floor` attempts per window are allowed
  // without any success, so that a service with little traffic can retry at
  // all. `window` is the time for which successes and attempts count.
  explicit RetryBudget(double ratio,
                       int64_t floor = 3,
                       Duration window = kWindow);

  // A first attempt succeeded.
  void OnSuccess(Instant now);
  // Takes one extra attempt from the budget; false if no more than the share
  // `keep` (0 to 1) of what the window allows is left.
  bool TryTake(Instant now, double keep = 0);

  // Extra attempts that are available now.
  int64_t Available(Instant now);
  void set_ratio(double ratio) { ratio_ = ratio; }
  void set_floor(int64_t floor) { floor_ = floor; }

 private:
  static constexpr int kBuckets = 10;

  struct Bucket {
    int64_t successes = 0;
    int64_t taken = 0;
  };

  // Extra attempts that the window allows.
  int64_t Allowed() const;
  // Empties the buckets that have left the window.
  void Roll(Instant now);

  double ratio_;
  int64_t floor_;
  int64_t bucket_ms_;
  std::array<Bucket, kBuckets> buckets_{};
  int64_t tick_ = 0;
  int64_t successes_ = 0;
  int64_t taken_ = 0;
};

}  // namespace toucanknot

#endif  // INCLUDE_LIMITS_RETRY_BUDGET_H_
