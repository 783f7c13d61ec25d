#include "include/membership/store_backoff.h"

#include <algorithm>

namespace toucanknot {

StoreBackoff::StoreBackoff(StoreBackoffOptions pace, uint64_t seed)
    : pace_(pace), random_(seed), backoff_(pace.min_backoff) {}

bool StoreBackoff::IsDue(Instant now) {
  if (waiting_ && now >= give_up_)
    OnFailure(now);
  return !waiting_ && now >= next_;
}

void StoreBackoff::OnStart(Instant now) {
  waiting_ = true;
  give_up_ = now + pace_.answer_limit;
  ++calls_;
}

void StoreBackoff::OnSuccess(Instant now) {
  waiting_ = false;
  backoff_ = pace_.min_backoff;
  next_ = now + pace_.interval;
}

void StoreBackoff::OnFailure(Instant now) {
  waiting_ = false;
  next_ = now + Jitter(backoff_);
  backoff_ = std::min(backoff_ * 2, pace_.max_backoff);
}

Duration StoreBackoff::Jitter(Duration limit) {
  std::uniform_int_distribution<int64_t> ms(limit.ms() / 2, limit.ms());
  return Duration(ms(random_));
}

}  // namespace toucanknot
