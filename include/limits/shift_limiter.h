#ifndef INCLUDE_LIMITS_SHIFT_LIMITER_H_
#define INCLUDE_LIMITS_SHIFT_LIMITER_H_

#include <array>
#include <cstdint>

#include "include/base/clock.h"

namespace toucanknot {

// Bounds how fast one service's traffic moves from this host to one other
// region, or back home after it was away. The requests moved in one interval
// may exceed those moved in the interval before by at most `share` of the
// host's requests of that earlier interval (or by one request, where the share
// is less). Every host applies the rule to its own traffic, so the fleet's sum
// obeys it with the same share, without any exchange between hosts. One object
// per service and target region.
//
// Moves are spread over the interval: using up the whole of it at once would
// make the next interval's traffic stop and go.
class ShiftLimiter {
 public:
  // `share` from 0 to 1; `interval` at least kBuckets milliseconds.
  ShiftLimiter(double share, Duration interval);

  // A request of the service arrived at this host, wherever it will go. Call
  // once per request, before TryMove().
  void OnRequest(Instant now);
  // Whether one more request may move now; counts it if so.
  bool TryMove(Instant now);
  // The last TryMove() was not used after all.
  void Undo(Instant now);

  // Requests that may still move now, without counting any.
  int64_t Available(Instant now);
  // Requests moved during the last interval.
  int64_t Moved(Instant now);
  void Configure(double share, Duration interval);

 private:
  // Parts that an interval is counted in.
  static constexpr int kBuckets = 10;
  // The interval that the open bucket closes, and the one before that.
  static constexpr int kKept = 2 * kBuckets;

  struct Bucket {
    int64_t requests = 0;
    int64_t moved = 0;
  };

  void Roll(Instant now);
  // Adds the credit of a bucket that begins.
  void Accrue();
  // What the bound over whole intervals leaves.
  int64_t WindowRoom() const;
  // The sum over `count` buckets, the newest of which is `newest` back.
  Bucket Sum(int newest, int count) const;

  double share_;
  Duration interval_;
  std::array<Bucket, kKept> buckets_{};
  // Moves that may be made now as to the pace.
  double credit_ = 0;
  int64_t tick_ = 0;
};

}  // namespace toucanknot

#endif  // INCLUDE_LIMITS_SHIFT_LIMITER_H_
