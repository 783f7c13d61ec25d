#include "include/placing/return_time.h"

#include <catch2/catch.hpp>

namespace toucanknot {

TEST_CASE("a caller returns at once to a service with free slots") {
  // Its request, 500 ms of work, can still meet a target of 800 ms.
  CHECK(RetryAfterRejection(0.25) <= Duration(50));
  CHECK(RetryAfterRejection(0) <= Duration(50));
}

TEST_CASE("a caller leaves a full service some time") {
  CHECK(RetryAfterRejection(0.9) >= Duration(200));
  CHECK(RetryAfterRejection(1.4) >= Duration(200));
}

}  // namespace toucanknot
