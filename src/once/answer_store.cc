#include "include/once/answer_store.h"

#include <utility>

namespace toucanknot {

int64_t KeptAnswer::bytes() const {
  return static_cast<int64_t>(sizeof(KeptAnswer) + head.size() + body.size());
}

AnswerStore::AnswerStore(int64_t max_bytes, Duration keep)
    : max_bytes_(max_bytes), keep_(keep) {}

void AnswerStore::Keep(KeptAnswerPtr answer, Instant now) {
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

void AnswerStore::Expire(Instant now) {
  while (!kept_.empty() && kept_.front().kept_at + keep_ <= now)
    DropOldest();
}

void AnswerStore::SetLimits(int64_t max_bytes, Duration keep, Instant now) {
  max_bytes_ = max_bytes;
  keep_ = keep;
  Expire(now);
  while (bytes_ > max_bytes_) {
    DropOldest();
    ++crowded_out_;
  }
}

void AnswerStore::DropOldest() {
  bytes_ -= kept_.front().answer->bytes();
  kept_.pop_front();
}

}  // namespace toucanknot
