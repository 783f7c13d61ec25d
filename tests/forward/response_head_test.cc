// Heads that are parts of two messages; see FindHeadProblem().

#include "src/forward/response_head.h"

#include <catch2/catch.hpp>

namespace toucanknot {

TEST_CASE("a head with a single-valued field twice or a status line is wrong") {
  boost::beast::http::fields fields;
  fields.insert("X-Id", "1");
  fields.insert("Set-Cookie", "a");
  fields.insert("Set-Cookie", "b");
  fields.insert("Via", "1.1 a, 1.1 b");
  CHECK(FindHeadProblem("OK", fields, {"X-Id"}).empty());
  CHECK_FALSE(FindHeadProblem("OKHTTP/1.1 500 Error", fields, {}).empty());
  SECTION("the id occurs twice") {
    fields.insert("x-id", "2");
    CHECK_FALSE(FindHeadProblem("OK", fields, {"X-Id"}).empty());
  }
  SECTION("the length occurs twice") {
    fields.insert("Content-Length", "2");
    fields.insert("Content-Length", "2");
    CHECK_FALSE(FindHeadProblem("OK", fields, {}).empty());
  }
  SECTION("a status line follows a part of a value") {
    fields.insert("Server", "tracHTTP/1.1 500 Error");
    CHECK_FALSE(FindHeadProblem("OK", fields, {}).empty());
  }
}

}  // namespace toucanknot
