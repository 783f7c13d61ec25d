#include "include/once/response_matcher.h"

#include <catch2/catch.hpp>

namespace toucanknot {

constexpr Instant kDeadline{100};
constexpr Instant kInTime{50};

TEST_CASE(
    "a response is delivered once, complete, in time, to its own attempt") {
  ResponseMatcher guard;
  const uint64_t one = guard.Open(kDeadline);
  const uint64_t two = guard.Open(kDeadline);
  CHECK(one != two);
  CHECK(guard.Judge({two, 5, 5}, kInTime) == ResponseDisposition::kDeliver);
  CHECK(guard.Judge({two, 5, 5}, kInTime) == ResponseDisposition::kSurplus);
  CHECK(guard.Judge({one, 5, 5}, kDeadline) == ResponseDisposition::kDeliver);
  CHECK(guard.open() == 0);
  CHECK(guard.count(ResponseDisposition::kDeliver) == 2);
  CHECK(guard.count(ResponseDisposition::kSurplus) == 1);
}

TEST_CASE(
    "late, short, surplus and unannounced responses are dropped and counted") {
  ResponseMatcher guard;
  const auto open = [&] { return guard.Open(kDeadline); };
  CHECK(guard.Judge({open(), 4, 5}, kInTime) == ResponseDisposition::kShort);
  CHECK(guard.Judge({open(), 4, std::nullopt}, kInTime) ==
        ResponseDisposition::kShort);
  CHECK(guard.Judge({open(), 6, 5}, kInTime) == ResponseDisposition::kSurplus);
  CHECK(guard.Judge({open(), 5, 5}, kDeadline + Duration(1)) ==
        ResponseDisposition::kLate);
  CHECK(guard.Judge({999, 5, 5}, kInTime) == ResponseDisposition::kSurplus);
  CHECK(guard.open() == 1);
  CHECK(guard.count(ResponseDisposition::kShort) == 2);
  CHECK(guard.count(ResponseDisposition::kSurplus) == 2);
  CHECK(guard.count(ResponseDisposition::kLate) == 1);
}

TEST_CASE(
    "the response of a cancelled attempt is late, of a forgotten one surplus") {
  ResponseMatcher guard;
  const uint64_t id = guard.Open(kDeadline);
  guard.Cancel(id);
  CHECK(guard.Judge({id, 5, 5}, kInTime) == ResponseDisposition::kLate);
  guard.Forget(id);
  CHECK(guard.Judge({id, 5, 5}, kInTime) == ResponseDisposition::kSurplus);
}

}  // namespace toucanknot
