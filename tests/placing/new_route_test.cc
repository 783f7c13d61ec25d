// A new route under a lasting overload. Its requests were refused on the guess
// of how long they take, so the route got no sample that could correct it: none
// of its requests were served, beside half of those of older routes.

#include <catch2/catch.hpp>
#include <string>

#include "include/placing/placer.h"

namespace toucanknot {
namespace {

constexpr int kSlots = 4;
constexpr Instant kNow{1'000'000};

Route MakeRoute(const std::string& name) {
  Route route;
  route.name = name;
  route.target_latency = Duration(1'000);
  // Shorter than the guess for a request that no server has cached.
  route.timeout = Duration(1'300);
  route.sticky = false;
  route.targets = {{ServiceId("s"), 1}};
  return route;
}

// One host and one server.
struct NewRouteFixture {
  NewRouteFixture()
      : registry([](ServerChange, const ServerRegistry::Server&) {}),
        placer({HostId("h"),
                ZoneId("a"),
                RegionId("r"),
                {{ZoneId("a"), RegionId("r")}}},
               registry,
               kNow) {
    ServerEntry entry;
    entry.id = ServerId("server");
    entry.service = ServiceId("s");
    entry.zone = ZoneId("a");
    entry.slots = kSlots;
    entry.incarnation = 1;
    registry.OnEntry(entry, kNow);
  }

  Placement Offer(const Route& route) {
    PlacementRequest request;
    request.id = ++last_request_id;
    request.route = &route;
    request.service = ServiceId("s");
    request.target = now + route.target_latency;
    request.deadline = now + route.timeout;
    return placer.Offer(request, now);
  }

  void Answer(const Placement& placement, Duration took) {
    PlacedAttemptResult result;
    result.request_id = placement.request_id;
    result.server = placement.server;
    result.took = took;
    placer.Finish(result, now);
  }

  // Takes all slots with requests of another route, whose times are known.
  void TakeAllSlots() {
    const Route route = MakeRoute("old");
    for (int i = 0; i < 20; ++i)
      Answer(Offer(route), Duration(200));
    now = now + Duration(500);
    for (int i = 0; i < kSlots; ++i)
      REQUIRE(Offer(route).step == PlacementStep::kSend);
    now = now + Duration(500);
  }

  ServerRegistry registry;
  Placer placer;
  Instant now = kNow;
  uint64_t last_request_id = 0;
};

}  // namespace

TEST_CASE("a new route is served under an overload") {
  NewRouteFixture it;
  it.TakeAllSlots();
  const Placement placement = it.Offer(MakeRoute("new"));
  CHECK(placement.step == PlacementStep::kSend);
  CHECK(placement.utilization >= 1);
}

TEST_CASE("a route that is known to take too long is refused") {
  NewRouteFixture it;
  const Route route = MakeRoute("long");
  for (int i = 0; i < 20; ++i) {
    const Placement placement = it.Offer(route);
    REQUIRE(placement.step == PlacementStep::kSend);
    it.Answer(placement, Duration(1'150));
  }
  it.TakeAllSlots();
  CHECK(it.Offer(route).step == PlacementStep::kRefuse);
}

}  // namespace toucanknot
