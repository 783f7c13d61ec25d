#ifndef INCLUDE_ONCE_RESPONSE_CACHE_H_
#define INCLUDE_ONCE_RESPONSE_CACHE_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "include/base/clock.h"

namespace toucanknot {

// The complete response of a run-once request, cached for repeats.
struct CachedResponse {
  int status = 0;
  // Header fields in wire form.
  std::string head;
  std::string body;

  int64_t bytes() const;
};

using CachedResponsePtr = std::shared_ptr<const CachedResponse>;

// Caches responses within a limit in bytes and in time; evicts the oldest
// first. Records refer to responses by weak pointers, so evicting a response
// leaves its record in place. Not thread-safe.
class ResponseCache {
 public:
  // Holds at most `max_bytes`, and each response for `keep`.
  ResponseCache(int64_t max_bytes, Duration keep);

  // Adds `response`. One that is larger than `max_bytes` is not cached.
  void Add(CachedResponsePtr response, Instant now);
  // Drops responses older than `keep`.
  void Expire(Instant now);
  // Changes the limits; evicts what no longer fits at once.
  void SetLimits(int64_t max_bytes, Duration keep, Instant now);

  int64_t bytes() const { return bytes_; }
  size_t size() const { return entries_.size(); }
  // Responses evicted, or not cached at all, for lack of space rather than for
  // age.
  uint64_t evicted_for_space() const { return evicted_for_space_; }

 private:
  struct Entry {
    CachedResponsePtr response;
    Instant added_at;
  };

  void DropOldest();

  int64_t max_bytes_;
  Duration keep_;
  int64_t bytes_ = 0;
  uint64_t evicted_for_space_ = 0;
  std::deque<Entry> entries_;
};

}  // namespace toucanknot

#endif  // INCLUDE_ONCE_RESPONSE_CACHE_H_
