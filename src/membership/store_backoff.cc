#include "include/membership/store_backoff.h"

#include <algorithm>

namespace toucanknot {

StoreBackoff::StoreBackoff(StoreBackoffOptions options, uint64_t seed)
    : options_(options), random_(seed), backoff_(options.min_backoff) {}

bool StoreBackoff::IsDue(Instant now) {
  if (waiting_ && now >= response_due_)
    OnFailure(now);
  return !waiting_ && now >= next_;
}

void StoreBackoff::OnStart(Instant now) {
  waiting_ = true;
  response_due_ = now + options_.response_timeout;
  ++calls_;
}

void StoreBackoff::OnSuccess(Instant now) {
  waiting_ = false;
  backoff_ = options_.min_backoff;
  next_ = now + options_.interval;
}

void StoreBackoff::OnFailure(Instant now) {
  waiting_ = false;
  next_ = now + Jitter(backoff_);
  backoff_ = std::min(backoff_ * 2, options_.max_backoff);
}

Duration StoreBackoff::Jitter(Duration limit) {
  std::uniform_int_distribution<int64_t> ms(limit.ms() / 2, limit.ms());
  return Duration(ms(random_));
}

}  // namespace toucanknot
