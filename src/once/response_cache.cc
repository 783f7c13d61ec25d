#include "include/once/response_cache.h"

#include <utility>

namespace toucanknot {

int64_t CachedResponse::bytes() const {
  return static_cast<int64_t>(sizeof(CachedResponse) + head.size() +
                              body.size());
}

ResponseCache::ResponseCache(int64_t max_bytes, Duration keep)
    : max_bytes_(max_bytes), keep_(keep) {}

void ResponseCache::Keep(CachedResponsePtr answer, Instant now) {
  if (answer->bytes() > max_bytes_) {
    ++crowded_out_;
    return;
  }
  bytes_ += answer->bytes();
  kept_.push_back({std::move(answer), now});
  while (bytes_ > max_bytes_) {
    DropOldest();
    ++crowded_out_;
  }
}

void ResponseCache::Expire(Instant now) {
  while (!kept_.empty() && kept_.front().kept_at + keep_ <= now)
    DropOldest();
}

void ResponseCache::SetLimits(int64_t max_bytes, Duration keep, Instant now) {
  max_bytes_ = max_bytes;
  keep_ = keep;
  Expire(now);
  while (bytes_ > max_bytes_) {
    DropOldest();
    ++crowded_out_;
  }
}

void ResponseCache::DropOldest() {
  bytes_ -= kept_.front().answer->bytes();
  kept_.pop_front();
}

}  // namespace toucanknot
