#ifndef INCLUDE_MEMBERSHIP_STORE_BACKOFF_H_
#define INCLUDE_MEMBERSHIP_STORE_BACKOFF_H_

#include <cstdint>
#include <random>

#include "include/base/clock.h"

namespace toucanknot {

// Limits of the calls of one kind to the store.
struct StoreBackoffOptions {
  // Pause after a call that succeeded.
  Duration interval;
  // A call without an answer for so long counts as failed.
  Duration answer_limit{30'000};
  // Pause after failures: doubles from the first to the second.
  Duration min_backoff{500};
  Duration max_backoff{10'000};
};

// Says when the next call to the store is due: one at a time, and after
// failures ever later, with jitter, so that hosts that failed together do not
// come back together.
class StoreBackoff {
 public:
  StoreBackoff(StoreBackoffOptions pace, uint64_t seed);

  // Whether a call may start; if so, OnStart() must be called with it.
  bool IsDue(Instant now);
  void OnStart(Instant now);
  void OnSuccess(Instant now);
  void OnFailure(Instant now);

  // When IsDue() should be asked again.
  Instant NextDue() const { return waiting_ ? give_up_ : next_; }
  // Calls started so far.
  uint64_t calls() const { return calls_; }
  // Whether the last call that ended has failed.
  bool failing() const { return backoff_ > pace_.min_backoff; }

 private:
  // From half of `limit` to all of it.
  Duration Jitter(Duration limit);

  const StoreBackoffOptions pace_;
  std::mt19937_64 random_;
  bool waiting_ = false;
  Instant next_;
  Instant give_up_;
  Duration backoff_;
  uint64_t calls_ = 0;
};

}  // namespace toucanknot

#endif  // INCLUDE_MEMBERSHIP_STORE_BACKOFF_H_
