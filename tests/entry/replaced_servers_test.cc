// Servers that are replaced, as in a release of a large service. Idle
// connections to removed servers used to stay open until no descriptor was
// left, and the host then answered nobody while it reported that it was ready.

#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <string>

#include "src/entry/caller_room.h"
#include "src/entry/descriptor_budget.h"
#include "src/http/http_server.h"
#include "tests/entry/entry_fixture.h"

namespace toucanknot {
namespace {

constexpr int kReplaced = 3'000;
// Replaced before the first measurement, so that buffers and caches have grown.
constexpr int kWarmUp = 500;
// Sockets of both sides of the few connections that a request leaves open for
// a moment.
constexpr int64_t kMaxMoreDescriptors = 20;
// Less than 400 bytes for each server.
constexpr int64_t kMaxMoreBytes = 1 << 20;

int64_t OpenDescriptors() {
  int64_t n = 0;
  for (const auto& it : std::filesystem::directory_iterator("/proc/self/fd")) {
    static_cast<void>(it);
    ++n;
  }
  return n;
}

int64_t ResidentBytes() {
  int64_t all = 0;
  int64_t resident = 0;
  std::ifstream("/proc/self/statm") >> all >> resident;
  return resident * ::sysconf(_SC_PAGESIZE);
}

}  // namespace

TEST_CASE("replaced servers leave no descriptors and no memory behind") {
  EntryFixture it;
  it.Configure();
  // Serves all addresses of 127.0.0.0/8, so that each server has its own.
  WorkerPool workers(1);
  HttpServer server(
      workers, {}, [](std::string_view) { return uint64_t{1} << 20; },
      [](HttpRequest request) -> boost::asio::awaitable<HttpResponse> {
        HttpResponse response = TestServer::Ran(request, "ok");
        response.fields.Add("Keep-Alive", "timeout=60");
        co_return response;
      });
  const uint16_t port = server.Listen({"0.0.0.0", 0}).port;
  int64_t descriptors = 0;
  int64_t bytes = 0;
  int served = 0;
  for (int i = 0; i < kReplaced; ++i) {
    if (i == kWarmUp) {
      descriptors = OpenDescriptors();
      bytes = ResidentBytes();
    }
    const std::string id = "s" + std::to_string(i);
    it.AddServer(id, {"127.1." + std::to_string(i / 250) + "." +
                          std::to_string(i % 250 + 1),
                      port});
    const std::string out = it.Fetch("/safe/" + std::to_string(i));
    served += out.starts_with("HTTP/1.1 200") ? 1 : 0;
    it.store->Run([&] { it.store->listener.server_removed(ServerId(id)); });
  }
  CHECK(served == kReplaced);
  CHECK(OpenDescriptors() - descriptors < kMaxMoreDescriptors);
  CHECK(ResidentBytes() - bytes < kMaxMoreBytes);
  workers.Stop();
}

TEST_CASE("a host without room for callers is full until enough have left") {
  CallerRoom room(100);
  CHECK_FALSE(room.Update(96, 0));
  CHECK(room.Update(97, 0));
  CHECK_FALSE(room.Update(90, 0));
  CHECK(room.full());
  CHECK(room.Update(84, 0));
  CHECK_FALSE(room.full());
  // No descriptor is left, whoever took them.
  CHECK(room.Update(10, 1));
  CHECK(room.full());
  CHECK(room.Update(10, 1));
  CHECK_FALSE(room.full());
}

TEST_CASE("each use of descriptors has its part") {
  const DescriptorBudget budget = DivideDescriptors(1'000);
  CHECK(budget.callers + budget.servers + budget.directory + budget.readiness +
            budget.metrics <=
        800);
  CHECK(budget.callers > budget.servers);
  CHECK(budget.servers > 200);
  CHECK(budget.readiness >= 4);
}

}  // namespace toucanknot
