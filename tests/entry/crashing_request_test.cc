// Requests that crash the backend servers that run them, sent to one host on
// loopback.

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "tests/entry/entry_fixture.h"
#include "tests/forward/fake_server.h"

namespace toucanknot {
namespace {

std::string Status(const std::string& response) {
  return response.size() < 12 ? response : response.substr(9, 3);
}

}  // namespace

TEST_CASE("a crashing request is refused whichever address it comes from") {
  EntryFixture it;
  it.Configure();
  std::vector<std::unique_ptr<FakeServer>> servers;
  for (int i = 0; i < 2; ++i) {
    servers.push_back(std::make_unique<FakeServer>(
        std::initializer_list<FakeServer::Responses>{{FakeServer::kClose}}));
    it.AddServer("crash-" + std::to_string(i), servers.back()->endpoint());
  }
  const auto send = [&](const std::string& from) {
    return Status(EntryFixture::Send(
        it.daemon->callers(), EntryFixture::RequestText("/once/a"), from));
  };
  CHECK(send("127.0.0.2") == "502");
  CHECK(send("127.0.0.3") == "502");
  TestServer other([](const HttpRequest& request) {
    return TestServer::Ran(request, "ran");
  });
  it.AddServer("other", other.endpoint());
  CHECK(send("127.0.0.4") == "503");
  CHECK(other.arrivals == 0);
}

}  // namespace toucanknot
