#include "include/once/answer_guard.h"

namespace toucanknot {

uint64_t AnswerGuard::Open(Instant deadline) {
  const uint64_t id = next_++;
  attempts_.emplace(id, Attempt{deadline});
  return id;
}

AnswerFate AnswerGuard::Judge(const Arrival& arrival, Instant now) {
  const AnswerFate fate = Decide(arrival, now);
  ++counts_[static_cast<size_t>(fate)];
  if (fate != AnswerFate::kLate)
    attempts_.erase(arrival.attempt);
  return fate;
}

void AnswerGuard::Cancel(uint64_t attempt) {
  const auto it = attempts_.find(attempt);
  if (it != attempts_.end())
    it->second.cancelled = true;
}

void AnswerGuard::Forget(uint64_t attempt) {
  attempts_.erase(attempt);
}

AnswerFate AnswerGuard::Decide(const Arrival& arrival, Instant now) {
  const auto it = attempts_.find(arrival.attempt);
  if (it == attempts_.end())
    return AnswerFate::kSurplus;
  if (it->second.cancelled || now > it->second.deadline)
    return AnswerFate::kLate;
  if (!arrival.announced || arrival.bytes < *arrival.announced)
    return AnswerFate::kShort;
  if (arrival.bytes > *arrival.announced)
    return AnswerFate::kSurplus;
  return AnswerFate::kDeliver;
}

}  // namespace toucanknot
