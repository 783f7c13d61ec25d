#include "include/once/response_matcher.h"

#include <catch2/catch.hpp>

namespace toucanknot {

constexpr Instant kDeadline{100};
constexpr Instant kInTime{50};

TEST_CASE(
    "a response is delivered once, complete, in time, to its own attempt") {
  ResponseMatcher matcher;
  const uint64_t one = matcher.Open(kDeadline);
  const uint64_t two = matcher.Open(kDeadline);
  CHECK(one != two);
  CHECK(matcher.Classify({two, 5, 5}, kInTime) ==
        ResponseDisposition::kDeliver);
  CHECK(matcher.Classify({two, 5, 5}, kInTime) ==
        ResponseDisposition::kSurplus);
  CHECK(matcher.Classify({one, 5, 5}, kDeadline) ==
        ResponseDisposition::kDeliver);
  CHECK(matcher.open() == 0);
  CHECK(matcher.count(ResponseDisposition::kDeliver) == 2);
  CHECK(matcher.count(ResponseDisposition::kSurplus) == 1);
}

TEST_CASE(
    "late, short, surplus and unannounced responses are dropped and counted") {
  ResponseMatcher matcher;
  const auto open = [&] { return matcher.Open(kDeadline); };
  CHECK(matcher.Classify({open(), 4, 5}, kInTime) ==
        ResponseDisposition::kShort);
  CHECK(matcher.Classify({open(), 4, std::nullopt}, kInTime) ==
        ResponseDisposition::kShort);
  CHECK(matcher.Classify({open(), 6, 5}, kInTime) ==
        ResponseDisposition::kSurplus);
  CHECK(matcher.Classify({open(), 5, 5}, kDeadline + Duration(1)) ==
        ResponseDisposition::kLate);
  CHECK(matcher.Classify({999, 5, 5}, kInTime) ==
        ResponseDisposition::kSurplus);
  CHECK(matcher.open() == 1);
  CHECK(matcher.count(ResponseDisposition::kShort) == 2);
  CHECK(matcher.count(ResponseDisposition::kSurplus) == 2);
  CHECK(matcher.count(ResponseDisposition::kLate) == 1);
}

TEST_CASE(
    "the response of a cancelled attempt is late, of a forgotten one surplus") {
  ResponseMatcher matcher;
  const uint64_t id = matcher.Open(kDeadline);
  matcher.Cancel(id);
  CHECK(matcher.Classify({id, 5, 5}, kInTime) == ResponseDisposition::kLate);
  matcher.Forget(id);
  CHECK(matcher.Classify({id, 5, 5}, kInTime) == ResponseDisposition::kSurplus);
}

}  // namespace toucanknot
