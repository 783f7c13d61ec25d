#ifndef INCLUDE_ONCE_RESPONSE_CACHE_H_
#define INCLUDE_ONCE_RESPONSE_CACHE_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "include/base/clock.h"

namespace toucanknot {

// The whole answer of a run-once request, kept for repeats.
struct CachedResponse {
  int status = 0;
  // Header fields in wire form.
  std::string head;
  std::string body;

  int64_t bytes() const;
};

using CachedResponsePtr = std::shared_ptr<const CachedResponse>;

// Holds kept answers within a bound in bytes and in time; the oldest goes
// first. Records refer to answers weakly, so that they outlive them. Not
// thread-safe.
class ResponseCache {
 public:
  // Holds at most `max_bytes` and each answer for `keep`.
  ResponseCache(int64_t max_bytes, Duration keep);

  // Keeps `answer`. One that is larger than the whole bound is not kept.
  void Keep(CachedResponsePtr answer, Instant now);
  // Drops what has been kept for long enough.
  void Expire(Instant now);
  // Changes the bounds; what no longer fits goes at once.
  void SetLimits(int64_t max_bytes, Duration keep, Instant now);

  int64_t bytes() const { return bytes_; }
  size_t size() const { return kept_.size(); }
  // Answers dropped, or never kept, for lack of room rather than for age.
  uint64_t crowded_out() const { return crowded_out_; }

 private:
  struct Entry {
    CachedResponsePtr answer;
    Instant kept_at;
  };

  void DropOldest();

  int64_t max_bytes_;
  Duration keep_;
  int64_t bytes_ = 0;
  uint64_t crowded_out_ = 0;
  std::deque<Entry> kept_;
};

}  // namespace toucanknot

#endif  // INCLUDE_ONCE_RESPONSE_CACHE_H_
