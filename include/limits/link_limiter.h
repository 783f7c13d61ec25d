#ifndef INCLUDE_LIMITS_LINK_LIMITER_H_
#define INCLUDE_LIMITS_LINK_LIMITER_H_

#include <cstdint>

#include "include/base/clock.h"

namespace toucanknot {

// Guesses the size of a service's next answer from those before: their mean
// plus twice their mean deviation, both moving.
class ResponseSizeEstimate {
 public:
  void OnAnswer(int64_t bytes);
  // In bytes.
  int64_t Expected() const;

 private:
  // The guess before the first answer.
  static constexpr int64_t kUnknownBytes = 16 << 10;

  double mean_ = kUnknownBytes;
  double deviation_ = 0;
  bool seen_ = false;
};

// One direction of a link as this host may use it: a token bucket in bytes.
class LinkBucket {
 public:
  // The bucket holds this much of its rate, so any window of length t carries
  // at most rate * (t + kBurst).
  static constexpr Duration kBurst{50};

  // The rate from now on: this host's part of the link. May be 0.
  void SetRate(double mbit_per_s, Instant now);
  // Whether `bytes` may go now. One transfer larger than the bucket may go
  // when the bucket is full; it leaves a debt that later ones wait for.
  bool CanTake(int64_t bytes, Instant now);
  // Counts `bytes`, whether they fit or not. A negative number gives back what
  // was reserved and not used.
  void Take(int64_t bytes, Instant now);

  // Share of the rate not used lately, from 0 to 1: what is in the bucket.
  double Headroom(Instant now);
  double mbit_per_s() const { return mbit_per_s_; }

 private:
  void Refill(Instant now);
  double Capacity() const;

  double mbit_per_s_ = 0;
  double tokens_ = 0;
  Instant filled_;
  bool started_ = false;
};

// Both directions of a link to another region, for requests that this host
// passes there: bodies on the way out, answers on the way back. The answer is
// reserved with its expected size when the request leaves, and settled when it
// has arrived.
class LinkLimiter {
 public:
  // Rates of this host's part of the link, each way, in Mbit/s.
  void SetRates(double out_mbit_per_s, double back_mbit_per_s, Instant now);

  // Reserves both ways, or neither.
  bool TryReserve(int64_t request_bytes, int64_t response_bytes, Instant now);
  // The exchange ended: `reserved` bytes were reserved for the answer and
  // `arrived` came. Every reservation that succeeded ends by one call.
  void Settle(int64_t reserved, int64_t arrived, Instant now);

  // Bytes reserved for answers that are under way.
  int64_t reserved_bytes() const { return reserved_; }
  LinkBucket& out() { return out_; }
  LinkBucket& back() { return back_; }

 private:
  LinkBucket out_;
  LinkBucket back_;
  int64_t reserved_ = 0;
};

}  // namespace toucanknot

#endif  // INCLUDE_LIMITS_LINK_LIMITER_H_
