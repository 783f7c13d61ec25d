#include "include/placing/retry_after.h"

#include <catch2/catch.hpp>

namespace toucanknot {

TEST_CASE("a caller retries at once while the service has free slots") {
  // A retry of a request of 500 ms of work can still meet a target of 800 ms.
  CHECK(RetryAfterRejection(0.25) <= Duration(50));
  CHECK(RetryAfterRejection(0) <= Duration(50));
}

TEST_CASE("a caller waits before it retries at a full service") {
  CHECK(RetryAfterRejection(0.9) >= Duration(200));
  CHECK(RetryAfterRejection(1.4) >= Duration(200));
}

}  // namespace toucanknot
