#ifndef INCLUDE_LIMITS_SHIFT_LIMITER_H_
#define INCLUDE_LIMITS_SHIFT_LIMITER_H_

#include <array>
#include <cstdint>

#include "include/base/clock.h"

namespace toucanknot {

// Limits how fast one service's traffic moves from this host to one other
// region, or back to its own region. The requests moved in one interval may
// exceed those moved in the previous interval by at most `share` of the host's
// requests of that previous interval (or by one request, if that is more).
// Since every host applies the rule to its own traffic, it also holds for the
// fleet's sum, without communication. Use one object per service and target
// region.
//
// Moves are spread evenly over the interval: using the whole allowance at once
// would make the traffic of the next interval stop and go.
class ShiftLimiter {
 public:
  // `share` from 0 to 1; `interval` at least kBuckets milliseconds.
  ShiftLimiter(double share, Duration interval);

  // A request of the service arrived at this host, wherever it will be served.
  // Call once per request, before TryMove().
  void OnRequest(Instant now);
  // Whether one more request may be moved now; counts it if so.
  bool TryMove(Instant now);
  // Reverts the last successful TryMove().
  void Undo(Instant now);

  // Requests that may still be moved now.
  int64_t Available(Instant now);
  // Requests moved during the last interval.
  int64_t Moved(Instant now);
  void Configure(double share, Duration interval);

 private:
  // Buckets per interval.
  static constexpr int kBuckets = 10;
  // Buckets of the interval that ends with the current bucket, and of the
  // previous interval.
  static constexpr int kStoredBuckets = 2 * kBuckets;

  struct Bucket {
    int64_t requests = 0;
    int64_t moved = 0;
  };

  void Roll(Instant now);
  // Adds the credit for a new bucket.
  void AddCredit();
  // The moves that the limit over whole intervals still permits.
  int64_t WindowCapacity() const;
  // The sum over `count` buckets; the newest one is `newest` buckets ago.
  Bucket Sum(int newest, int count) const;

  double share_;
  Duration interval_;
  std::array<Bucket, kStoredBuckets> buckets_{};
  // Moves that the even spread over the interval permits now.
  double credit_ = 0;
  int64_t tick_ = 0;
};

}  // namespace toucanknot

#endif  // INCLUDE_LIMITS_SHIFT_LIMITER_H_
