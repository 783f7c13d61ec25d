#include "include/once/response_cache.h"

#include <utility>

namespace toucanknot {

int64_t CachedResponse::bytes() const {
  return static_cast<int64_t>(sizeof(CachedResponse) + head.size() +
                              body.size());
}

ResponseCache::ResponseCache(int64_t max_bytes, Duration keep)
    : max_bytes_(max_bytes), keep_(keep) {}

void ResponseCache::Add(CachedResponsePtr response, Instant now) {
  if (response->bytes() > max_bytes_) {
    ++evicted_for_space_;
    return;
  }
  bytes_ += response->bytes();
  entries_.push_back({std::move(response), now});
  while (bytes_ > max_bytes_) {
    DropOldest();
    ++evicted_for_space_;
  }
}

void ResponseCache::Expire(Instant now) {
  while (!entries_.empty() && entries_.front().added_at + keep_ <= now)
    DropOldest();
}

void ResponseCache::SetLimits(int64_t max_bytes, Duration keep, Instant now) {
  max_bytes_ = max_bytes;
  keep_ = keep;
  Expire(now);
  while (bytes_ > max_bytes_) {
    DropOldest();
    ++evicted_for_space_;
  }
}

void ResponseCache::DropOldest() {
  bytes_ -= entries_.front().response->bytes();
  entries_.pop_front();
}

}  // namespace toucanknot
