// Servers that leave between two requests for their service. Guards against
// reading their entries after the registry has erased them, which ended hosts;
// fails with AddressSanitizer.

#include <catch2/catch.hpp>
#include <string>

#include "include/placing/placer.h"

namespace toucanknot {
namespace {

constexpr int kServers = 40;

ServerEntry MakeEntry(int i) {
  ServerEntry entry;
  entry.id =
      ServerId("server-with-a-name-that-is-allocated-" + std::to_string(i));
  entry.service = ServiceId("s");
  entry.zone = ZoneId("a");
  entry.slots = 4;
  entry.incarnation = 1;
  return entry;
}

}  // namespace

TEST_CASE("a tick after servers left reads no entry of theirs") {
  Instant now(1'000'000);
  ServerRegistry registry([](ServerChange, const ServerRegistry::Server&) {});
  Placer placer({HostId("h"),
                 ZoneId("a"),
                 RegionId("r"),
                 {{ZoneId("a"), RegionId("r")}},
                 0,
                 Placer::Options::kZoneRtt,
                 Placer::Options::kRegionRtt,
                 true},
                registry, now);
  for (int i = 0; i < kServers; ++i)
    registry.OnEntry(MakeEntry(i), now);
  Route route;
  route.name = "r";
  route.target_latency = Duration(1'000);
  route.timeout = Duration(1'500);
  route.targets = {{ServiceId("s"), 1}};
  PlacementRequest request;
  request.id = 1;
  request.route = &route;
  request.service = ServiceId("s");
  request.target = now + route.target_latency;
  request.deadline = now + route.timeout;
  REQUIRE(placer.Offer(request, now).step == PlacementStep::kSend);
  placer.Tick(now);
  for (int i = 0; i < kServers; i += 2)
    registry.OnRemoved(MakeEntry(i).id, now);
  for (int i = 0; i < 50; ++i) {
    now = now + Duration(100);
    registry.Advance(now);
    placer.Tick(now);
  }
  CHECK(registry.UsableServers(ServiceId("s")).size() == kServers / 2);
}

}  // namespace toucanknot
