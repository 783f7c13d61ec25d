#ifndef INCLUDE_LIMITS_LINK_LIMITER_H_
#define INCLUDE_LIMITS_LINK_LIMITER_H_

#include <cstdint>

#include "include/base/clock.h"

namespace toucanknot {

// Estimates the size of a service's next response: the moving mean of earlier
// sizes plus twice their moving mean deviation.
class ResponseSizeEstimate {
 public:
  void OnResponse(int64_t bytes);
  // In bytes.
  int64_t Expected() const;

 private:
  // The estimate before the first response.
  static constexpr int64_t kUnknownBytes = 16 << 10;

  double mean_ = kUnknownBytes;
  double deviation_ = 0;
  bool seen_ = false;
};

// This host's share of one direction of a link: a token bucket in bytes.
class LinkBucket {
 public:
  // The bucket holds kBurst times its rate, so in any window of length t at
  // most rate * (t + kBurst) bytes are sent.
  static constexpr Duration kBurst{50};

  // Sets the rate: this host's share of the link. May be 0.
  void SetRate(double mbit_per_s, Instant now);
  // Whether `bytes` may be sent now. A transfer larger than the bucket may be
  // sent when the bucket is full; it leaves a debt that delays later ones.
  bool CanConsume(int64_t bytes, Instant now);
  // Consumes `bytes`, even beyond the available tokens. A negative number
  // returns what was reserved but not used.
  void Consume(int64_t bytes, Instant now);

  // The recently unused share of the rate, from 0 to 1: the fill level of the
  // bucket.
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
// forwards there: request bodies out, responses back. The expected size of the
// response is reserved when the request is sent, and settled when the response
// has arrived.
class LinkLimiter {
 public:
  // Sets the rates of this host's share of the link in each direction, in
  // Mbit/s.
  void SetRates(double out_mbit_per_s, double back_mbit_per_s, Instant now);

  // Reserves both directions, or neither.
  bool TryReserve(int64_t request_bytes, int64_t response_bytes, Instant now);
  // The exchange ended: `reserved` bytes were reserved for the response and
  // `received` bytes arrived. Call once for every successful reservation.
  void Settle(int64_t reserved, int64_t received, Instant now);

  // Bytes reserved for outstanding responses.
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
