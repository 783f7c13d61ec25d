#ifndef INCLUDE_ONCE_RESPONSE_MATCHER_H_
#define INCLUDE_ONCE_RESPONSE_MATCHER_H_

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "include/base/clock.h"
#include "include/base/enum_names.h"

namespace toucanknot {

// What to do with an answer that arrived for an attempt.
enum class ResponseDisposition {
  // Whole, in time and the first: it is the attempt's answer.
  kDeliver,
  // The attempt was cancelled, or its deadline has passed.
  kLate,
  // Fewer bytes than announced: the connection broke within it.
  kShort,
  // The attempt has its answer already, there is no such attempt, or more
  // bytes came than announced.
  kSurplus,
};

inline constexpr EnumNames<ResponseDisposition, 4> kResponseDispositionNames{
    {"deliver", "late", "short", "surplus"}};

// Ties every answer to the one attempt that it belongs to. Attempt ids are
// never used twice in a process's life. All but kDeliver are dropped and
// counted. Not thread-safe.
class ResponseMatcher {
 public:
  // An answer as it came from a connection.
  struct Arrival {
    uint64_t attempt = 0;
    int64_t bytes = 0;
    // As announced by its head; absent when the end of the connection ends it,
    // which cannot be told from a break and therefore is never whole.
    std::optional<int64_t> announced;
  };

  // Opens an attempt and returns its id.
  uint64_t Open(Instant deadline);
  // Judges an answer that has ended. Closes its attempt; one that was cancelled
  // or ran out of time is closed by Forget().
  ResponseDisposition Judge(const Arrival& arrival, Instant now);
  // What arrives for the attempt from now on is late.
  void Cancel(uint64_t attempt);
  // Closes an attempt whose connection is gone; what arrives after is surplus.
  void Forget(uint64_t attempt);

  size_t open() const { return attempts_.size(); }
  uint64_t count(ResponseDisposition fate) const {
    return counts_[static_cast<size_t>(fate)];
  }

 private:
  struct Attempt {
    Instant deadline;
    bool cancelled = false;
  };

  ResponseDisposition Decide(const Arrival& arrival, Instant now);

  uint64_t next_ = 1;
  std::unordered_map<uint64_t, Attempt> attempts_;
  std::array<uint64_t, 4> counts_{};
};

}  // namespace toucanknot

#endif  // INCLUDE_ONCE_RESPONSE_MATCHER_H_
