#include "include/membership/store_pacer.h"

#include <algorithm>

namespace toucanknot {

StorePacer::StorePacer(StorePace pace, uint64_t seed)
    : pace_(pace), random_(seed), backoff_(pace.min_backoff) {}

bool StorePacer::IsDue(Instant now) {
  if (waiting_ && now >= give_up_)
    OnFailure(now);
  return !waiting_ && now >= next_;
}

void StorePacer::OnStart(Instant now) {
  waiting_ = true;
  give_up_ = now + pace_.answer_limit;
  ++calls_;
}

void StorePacer::OnSuccess(Instant now) {
  waiting_ = false;
  backoff_ = pace_.min_backoff;
  next_ = now + pace_.interval;
}

void StorePacer::OnFailure(Instant now) {
  waiting_ = false;
  next_ = now + Jitter(backoff_);
  backoff_ = std::min(backoff_ * 2, pace_.max_backoff);
}

Duration StorePacer::Jitter(Duration limit) {
  std::uniform_int_distribution<int64_t> ms(limit.ms() / 2, limit.ms());
  return Duration(ms(random_));
}

}  // namespace toucanknot
