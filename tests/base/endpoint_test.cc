#include "include/base/endpoint.h"

#include <catch2/catch.hpp>

namespace toucanknot {

TEST_CASE("an endpoint is an IP address and a port") {
  const auto v4 = Endpoint::Parse("127.0.0.1:80");
  REQUIRE(v4);
  CHECK(v4->ip == "127.0.0.1");
  CHECK(v4->port == 80);
  const auto v6 = Endpoint::Parse("[::1]:443");
  REQUIRE(v6);
  CHECK(v6->ToString() == "[::1]:443");
}

TEST_CASE("host names, missing ports and port 0 are rejected") {
  for (const char* it : {"localhost:80", "127.0.0.1", "127.0.0.1:0",
                         "127.0.0.1:65536", "::1:80", "127.0.0.1:8x", ""}) {
    CHECK_FALSE(Endpoint::Parse(it));
  }
}

}  // namespace toucanknot
