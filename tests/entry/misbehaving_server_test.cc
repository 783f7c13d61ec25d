// Servers that send endless data or reject requests, and what their callers
// get.

#include <catch2/catch.hpp>
#include <string>

#include "tests/entry/entry_fixture.h"
#include "tests/forward/endless_server.h"

namespace toucanknot {
namespace {

std::string Status(const std::string& response) {
  return response.size() < 12 ? response : response.substr(9, 3);
}

}  // namespace

TEST_CASE("endless data: the caller learns that its request may have run") {
  const std::string piece =
      GENERATE("HTTP/1.1 100 Continue\r\n\r\n", "zzzz",
               "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Stamp: s\r\n"
               "Content-Length: 1\r\n\r\nx");
  EntryFixture it;
  it.Configure(1, Duration(20'000));
  EndlessServer endless("", piece);
  it.AddServer("a", endless.endpoint());
  const std::string out = it.Fetch("/once/a");
  INFO(out);
  CHECK(Status(out) == "502");
  CHECK(out.find("may have run") != std::string::npos);
  CHECK(out.find("Retry-After") == std::string::npos);
}

TEST_CASE("endless data: the server is suspended and others respond") {
  EntryFixture it;
  it.Configure(1, Duration(20'000));
  EndlessServer endless("HTTP/1.1 200 OK\r\nX-Id: 42\r\nX-Stamp: s\r\n\r\n",
                        "bbbb");
  TestServer good([](const HttpRequest& request) {
    return TestServer::Ran(request, "good");
  });
  it.AddServer("a", endless.endpoint());
  it.AddServer("b", good.endpoint());
  for (int i = 0; i < 10; ++i)
    CHECK(Status(it.Fetch("/safe/a")) == "200");
  CHECK(good.arrivals == 10);
}

TEST_CASE("a server that sheds part of its load is tried once more") {
  EntryFixture it;
  it.Configure();
  int n = 0;
  // Rejects every first attempt.
  TestServer shedding([&](const HttpRequest& request) {
    return ++n % 2 == 1 ? TestServer::NotRun(request)
                        : TestServer::Ran(request, "taken");
  });
  it.AddServer("a", shedding.endpoint());
  for (int i = 0; i < 5; ++i)
    CHECK(Status(it.Fetch("/once/a")) == "200");
  CHECK(shedding.arrivals == 10);
}

TEST_CASE("a request that all servers reject is refused as not run") {
  EntryFixture it;
  it.Configure();
  TestServer first(&TestServer::NotRun);
  TestServer second(&TestServer::NotRun);
  it.AddServer("a", first.endpoint());
  it.AddServer("b", second.endpoint());
  CHECK(Status(it.Fetch("/once/a")) == "503");
  CHECK(first.arrivals + second.arrivals <= 4);
}

TEST_CASE("a server whose response says that it leaves gets no more requests") {
  EntryFixture it;
  it.Configure();
  TestServer leaving([](const HttpRequest& request) {
    HttpResponse response = TestServer::Ran(request, "last");
    response.fields.Add("X-Leaving", "1");
    return response;
  });
  it.AddServer("a", leaving.endpoint());
  const std::string out = it.Fetch("/once/a");
  CHECK(Status(out) == "200");
  CHECK(out.find("X-Leaving: 1") != std::string::npos);
  CHECK(Status(it.Fetch("/once/b")) == "503");
  TestServer other([](const HttpRequest& request) {
    return TestServer::Ran(request, "other");
  });
  it.AddServer("b", other.endpoint());
  for (int i = 0; i < 5; ++i)
    CHECK(Status(it.Fetch("/safe/" + std::to_string(i))) == "200");
  CHECK(leaving.arrivals == 1);
}

TEST_CASE("a status that promises not run is not passed on without its proof") {
  const int status = GENERATE(408, 429, 503);
  EntryFixture it;
  it.Configure();
  TestServer server([&](const HttpRequest& request) {
    HttpResponse response = TestServer::Ran(request, "ran");
    response.status = status;
    return response;
  });
  it.AddServer("a", server.endpoint());
  const std::string out = it.Fetch("/once/a");
  INFO(out);
  CHECK(Status(out) == "502");
  CHECK(out.find("X-Stamp") == std::string::npos);
  CHECK(server.arrivals == 1);
}

}  // namespace toucanknot
