#ifndef INCLUDE_ONCE_RESPONSE_MATCHER_H_
#define INCLUDE_ONCE_RESPONSE_MATCHER_H_

#include <array>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "include/base/clock.h"
#include "include/base/enum_names.h"

namespace toucanknot {

// What to do with a response that arrived for an attempt.
enum class ResponseDisposition {
  // Complete, in time and the first one: it is the attempt's response.
  kDeliver,
  // The attempt was cancelled, or its deadline has passed.
  kLate,
  // Fewer bytes than announced: the connection broke in the middle of it.
  kShort,
  // The attempt already has its response, there is no such attempt, or more
  // bytes came than announced.
  kSurplus,
};

inline constexpr EnumNames<ResponseDisposition, 4> kResponseDispositionNames{
    {"deliver", "late", "short", "surplus"}};

// Assigns each response to the one attempt it belongs to. Attempt ids are
// unique within a process. Responses other than kDeliver are dropped and
// counted. Not thread-safe.
class ResponseMatcher {
 public:
  // A response as received from a connection.
  struct Arrival {
    uint64_t attempt = 0;
    int64_t bytes = 0;
    // The announced length; absent when the response ends with the connection.
    // That cannot be distinguished from a broken connection, so such a response
    // never counts as complete.
    std::optional<int64_t> announced;
  };

  // Opens an attempt and returns its id.
  uint64_t Open(Instant deadline);
  // Classifies a response that has ended and closes its attempt; a cancelled
  // attempt or one past its deadline is closed by Forget().
  ResponseDisposition Classify(const Arrival& arrival, Instant now);
  // Responses that arrive for the attempt from now on are late.
  void Cancel(uint64_t attempt);
  // Closes an attempt whose connection is gone; responses that arrive
  // afterwards are surplus.
  void Forget(uint64_t attempt);

  size_t open() const { return attempts_.size(); }
  uint64_t count(ResponseDisposition disposition) const {
    return counts_[static_cast<size_t>(disposition)];
  }

 private:
  struct Attempt {
    Instant deadline;
    bool cancelled = false;
  };

  ResponseDisposition DispositionOf(const Arrival& arrival, Instant now);

  uint64_t next_ = 1;
  std::unordered_map<uint64_t, Attempt> attempts_;
  std::array<uint64_t, 4> counts_{};
};

}  // namespace toucanknot

#endif  // INCLUDE_ONCE_RESPONSE_MATCHER_H_
