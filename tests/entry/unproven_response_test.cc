// Responses that must not prove that a request did not run.

#include <catch2/catch.hpp>
#include <string>

#include "tests/entry/entry_fixture.h"
#include "tests/forward/fake_server.h"

namespace toucanknot {
namespace {

// What the caller of a non-idempotent request gets if its only server sends
// `bytes`.
std::string FetchFrom(const std::string& bytes) {
  EntryFixture it;
  it.Configure();
  FakeServer server{FakeServer::Responses{bytes}};
  it.AddServer("a", server.endpoint());
  return it.Fetch("/once/a");
}

constexpr char kChunked[] =
    "HTTP/1.1 200 OK\r\nX-Id: 42\r\nX-Stamp: s\r\n"
    "Transfer-Encoding: chunked\r\n\r\n3\r\nran\r\n0\r\n";

}  // namespace

TEST_CASE("a refusal of another request in a trailer refuses nothing") {
  const std::string out =
      FetchFrom(std::string(kChunked) +
                "X-Note: HTTP/1.1 503 Full\r\nX-Id: 7\r\nX-Not-Run: 1\r\n\r\n");
  CHECK(out.substr(9, 3) == "502");
}

TEST_CASE("a field of a trailer is not taken for one of the header") {
  const std::string out =
      FetchFrom(std::string(kChunked) + "X-Not-Run: 1\r\n\r\n");
  CHECK(out.substr(9, 3) == "200");
  CHECK(out.find("X-Not-Run") == std::string::npos);
}

TEST_CASE("a misdirected status without a stamp is a rejection") {
  const std::string out =
      FetchFrom("HTTP/1.1 421 X\r\nX-Id: 42\r\nContent-Length: 0\r\n\r\n");
  CHECK(out.substr(9, 3) == "503");
}

TEST_CASE("a misdirected status of a server that ran it proves nothing") {
  const std::string out = FetchFrom(
      "HTTP/1.1 421 X\r\nX-Id: 42\r\nX-Stamp: s\r\n"
      "Content-Length: 3\r\n\r\nran");
  CHECK(out.substr(9, 3) == "502");
  CHECK(out.find("X-Stamp") == std::string::npos);
}

TEST_CASE("a success that states that it did not run proves nothing") {
  const std::string status = GENERATE("200 OK", "204 No Content", "302 Found");
  const std::string out =
      FetchFrom("HTTP/1.1 " + status +
                "\r\nX-Id: 42\r\nX-Not-Run: 1\r\nX-Stamp: s\r\n"
                "Content-Length: 0\r\n\r\n");
  CHECK(out.substr(9, 3) == "502");
}

}  // namespace toucanknot
