#ifndef INCLUDE_MEMBERSHIP_STORE_BACKOFF_H_
#define INCLUDE_MEMBERSHIP_STORE_BACKOFF_H_

#include <cstdint>
#include <random>

#include "include/base/clock.h"

namespace toucanknot {

// Limits of one kind of call to the store.
struct StoreBackoffOptions {
  // Pause after a call that succeeded.
  Duration interval;
  // A call without a response for this long counts as failed.
  Duration response_timeout{30'000};
  // Pause after failures; doubles from min_backoff up to max_backoff.
  Duration min_backoff{500};
  Duration max_backoff{10'000};
};

// Schedules calls to the store: one at a time, and after failures with
// exponential backoff and jitter, so that hosts that failed together do not
// retry together.
class StoreBackoff {
 public:
  StoreBackoff(StoreBackoffOptions options, uint64_t seed);

  // Whether a call may start; if so, OnStart() must be called.
  bool IsDue(Instant now);
  void OnStart(Instant now);
  void OnSuccess(Instant now);
  void OnFailure(Instant now);

  // When to call IsDue() again.
  Instant NextDue() const { return waiting_ ? response_due_ : next_; }
  // Calls started so far.
  uint64_t calls() const { return calls_; }
  // Whether the last call that ended failed.
  bool failing() const { return backoff_ > options_.min_backoff; }

 private:
  // A random duration between half of `limit` and `limit`.
  Duration Jitter(Duration limit);

  const StoreBackoffOptions options_;
  std::mt19937_64 random_;
  bool waiting_ = false;
  Instant next_;
  Instant response_due_;
  Duration backoff_;
  uint64_t calls_ = 0;
};

}  // namespace toucanknot

#endif  // INCLUDE_MEMBERSHIP_STORE_BACKOFF_H_
