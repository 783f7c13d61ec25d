// Placement of requests that every server of a service handles equally fast.

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "include/placing/placer.h"

namespace toucanknot {
namespace {

constexpr Instant kNow{1'000'000};
constexpr int kSlots = 4;

// A host in zone "a" of region "r", with servers in that zone, in zone "b" of
// the same region and in zone "c" of region "q".
struct AnyServerFixture {
  AnyServerFixture()
      : registry([](ServerChange, const ServerRegistry::Server&) {}),
        placer({HostId("h"),
                ZoneId("a"),
                RegionId("r"),
                {{ZoneId("a"), RegionId("r")},
                 {ZoneId("b"), RegionId("r")},
                 {ZoneId("c"), RegionId("q")}}},
               registry,
               kNow) {
    route.name = "plain";
    route.target_latency = Duration(400);
    route.timeout = Duration(2'000);
    route.sticky = false;
    route.targets = {{ServiceId("s"), 1}};
  }

  void AddServers(const std::string& zone, int n) {
    for (int i = 0; i < n; ++i) {
      ServerEntry entry;
      entry.id = ServerId(zone + std::to_string(i));
      entry.service = ServiceId("s");
      entry.zone = ZoneId(zone);
      entry.slots = kSlots;
      entry.incarnation = 1;
      registry.OnEntry(entry, kNow);
    }
  }

  // Offers `n` requests at once and returns how many each server got.
  std::map<std::string, int> Offer(int n) {
    std::map<std::string, int> got;
    for (int i = 0; i < n; ++i) {
      PlacementRequest request;
      request.id = ++last_request_id;
      request.route = &route;
      request.service = ServiceId("s");
      request.target = kNow + route.target_latency;
      request.deadline = kNow + route.timeout;
      const Placement placement = placer.Offer(request, kNow);
      CHECK(placement.step == PlacementStep::kSend);
      ++got[placement.server.str()];
    }
    return got;
  }

  Route route;
  ServerRegistry registry;
  Placer placer;
  uint64_t last_request_id = 0;
};

}  // namespace

TEST_CASE("requests without an object spread over all servers") {
  AnyServerFixture it;
  it.AddServers("a", 40);
  const std::map<std::string, int> got = it.Offer(100);
  CHECK(got.size() > 30);
  for (const auto& [server, n] : got)
    CHECK(n <= kSlots + 1);
}

TEST_CASE("requests without an object stay in a zone that can carry them") {
  AnyServerFixture it;
  it.AddServers("a", 20);
  it.AddServers("b", 20);
  it.AddServers("c", 20);
  for (const auto& [server, n] : it.Offer(5))
    CHECK(server[0] == 'a');
}

TEST_CASE("overflow goes to the region first, then to other regions") {
  AnyServerFixture it;
  it.AddServers("b", 2);
  it.AddServers("c", 20);
  std::map<char, int> by_zone;
  for (const auto& [server, n] : it.Offer(60))
    by_zone[server[0]] += n;
  CHECK(by_zone['b'] > 0);
  CHECK(by_zone['c'] > 30);
}

}  // namespace toucanknot
