#include "include/once/response_matcher.h"

namespace toucanknot {

uint64_t ResponseMatcher::Open(Instant deadline) {
  const uint64_t id = next_++;
  attempts_.emplace(id, Attempt{deadline});
  return id;
}

ResponseDisposition ResponseMatcher::Classify(const Arrival& arrival,
                                              Instant now) {
  const ResponseDisposition disposition = DispositionOf(arrival, now);
  ++counts_[static_cast<size_t>(disposition)];
  if (disposition != ResponseDisposition::kLate)
    attempts_.erase(arrival.attempt);
  return disposition;
}

void ResponseMatcher::Cancel(uint64_t attempt) {
  const auto it = attempts_.find(attempt);
  if (it != attempts_.end())
    it->second.cancelled = true;
}

void ResponseMatcher::Forget(uint64_t attempt) {
  attempts_.erase(attempt);
}

ResponseDisposition ResponseMatcher::DispositionOf(const Arrival& arrival,
                                                   Instant now) {
  const auto it = attempts_.find(arrival.attempt);
  if (it == attempts_.end())
    return ResponseDisposition::kSurplus;
  if (it->second.cancelled || now > it->second.deadline)
    return ResponseDisposition::kLate;
  if (!arrival.announced || arrival.bytes < *arrival.announced)
    return ResponseDisposition::kShort;
  if (arrival.bytes > *arrival.announced)
    return ResponseDisposition::kSurplus;
  return ResponseDisposition::kDeliver;
}

}  // namespace toucanknot
