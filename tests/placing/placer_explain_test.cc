// Explanations of where a request would go. One that used other code than the
// decision, or that changed what the decision uses, would mislead operators.

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "include/placing/placer.h"

namespace toucanknot {
namespace {

constexpr int64_t kStart = 1'000'000;
const ServiceId kService("s");

std::string Text(const Placement& it) {
  std::string out(kPlacementStepNames.Name(it.step));
  out += " " + it.server.str();
  out += " " + std::string(kPlacementRefusalNames.Name(it.refusal));
  for (const int64_t n :
       {it.retry_after.ms(), static_cast<int64_t>(it.busy * 1'000),
        static_cast<int64_t>(it.expected_ms * 1'000), int64_t{it.warm},
        int64_t{it.queued}, static_cast<int64_t>(it.utilization * 1'000)})
    out += " " + std::to_string(n);
  return out;
}

// One host with twelve servers in three regions.
struct Host {
  Host()
      : registry([](ServerChange, const ServerRegistry::Server&) {}),
        placer({HostId("h"), ZoneId("z0"), RegionId("r0"), Zones()},
               registry,
               Instant(kStart)) {
    auto made = std::make_shared<RouteConfig>();
    made->version = 1;
    made->services[kService].cold_rate = 4;
    config = made;
    placer.OnConfig(config);
    placer.SetHostCount(2);
    placer.SetHosts({{HostKey(HostId("h")), RegionId("r0")},
                     {HostKey(HostId("peer")), RegionId("r1")}});
  }

  static std::map<ZoneId, RegionId> Zones() {
    return {{ZoneId("z0"), RegionId("r0")},
            {ZoneId("z1"), RegionId("r1")},
            {ZoneId("z2"), RegionId("r2")}};
  }

  RouteConfigPtr config;
  ServerRegistry registry;
  Placer placer;
};

struct Routes {
  Routes() {
    for (int i = 0; i < 3; ++i) {
      Route& it = routes[i];
      it.name = "route-" + std::to_string(i);
      it.target_latency = Duration(300 + 200 * i);
      it.timeout = Duration(2'000);
      it.priority = i;
      it.sticky = i > 0;
      it.targets = {{kService, 1}};
    }
  }

  std::array<Route, 3> routes;
};

}  // namespace

TEST_CASE("an explanation equals the decision that follows") {
  // `plain` gets the same calls but is never asked to explain: its decisions
  // differ if an explanation changed anything.
  const Routes routes;
  std::map<PlacementStep, int> steps;
  for (const uint64_t seed : {1, 2, 3, 4, 5, 6, 7, 8}) {
    Host asked;
    Host plain;
    std::mt19937_64 random(seed);
    const auto draw = [&](uint64_t n) { return random() % n; };
    const auto both = [&](const auto& call) {
      call(asked);
      call(plain);
    };
    std::deque<std::pair<uint64_t, ServerId>> sent;
    int64_t t = kStart;
    uint64_t last_id = 0;
    uint64_t sheets = 0;
    for (int step = 0; step < 3'000; ++step) {
      t += static_cast<int64_t>(draw(30));
      const Instant now(t);
      if (draw(60) == 0 || step < 6) {
        ServerEntry entry;
        const uint64_t i = draw(12);
        entry.id = ServerId("server-" + std::to_string(i));
        entry.service = kService;
        entry.zone = ZoneId("z" + std::to_string(i % 3));
        entry.slots = 2;
        entry.incarnation = 1 + draw(3) / 2 + step / 500;
        entry.sequence = step + 1;
        entry.leaving = draw(8) == 0;
        entry.cold_left = Duration(draw(4) == 0 ? 1'500 : 0);
        both([&](Host& it) { it.registry.OnEntry(entry, now); });
      }
      if (draw(20) == 0) {
        LoadSheet sheet;
        sheet.host = HostKey(HostId("peer"));
        sheet.incarnation = 1;
        sheet.sequence = ++sheets;
        for (int i = 0; i < 12; ++i) {
          sheet.rows.push_back(
              {ServerKey(ServerId("server-" + std::to_string(i))),
               static_cast<int>(draw(4))});
        }
        sheet.demands.push_back(
            {ServiceKey(kService), static_cast<double>(draw(20))});
        both([&](Host& it) { it.placer.OnPeerLoadSheet(sheet, now); });
      }
      if (draw(4) == 0)
        both([&](Host& it) { it.placer.Tick(now); });
      PlacementRequest request;
      request.id = ++last_id;
      request.route = &routes.routes[draw(3)];
      request.service = kService;
      request.object = draw(3) == 0 ? 0 : 1 + draw(40);
      request.target = now + request.route->target_latency;
      request.deadline = now + request.route->timeout;
      request.returned = draw(5) == 0;
      if (draw(10) == 0)
        request.allowed_regions = {{RegionId("r1")}};
      if (draw(10) == 0)
        request.priority = 0;
      // Some requests are explained, and never made.
      if (draw(3) == 0) {
        PlacementRequest other = request;
        other.route = &routes.routes[draw(3)];
        other.object = 1 + draw(200);
        asked.placer.ExplainRequest(other, now);
      }
      const std::vector<LoadSheet::Demand> demands =
          asked.placer.OwnDemands(now);
      const bool crowded = asked.placer.crowded(now);
      const Placement preview = asked.placer.Preview(request, now);
      const std::string explained = asked.placer.ExplainRequest(request, now);
      REQUIRE(asked.placer.OwnDemands(now) == demands);
      REQUIRE(asked.placer.crowded(now) == crowded);
      const Placement made = asked.placer.Offer(request, now);
      const Placement without = plain.placer.Offer(request, now);
      INFO("seed " << seed << " step " << step);
      REQUIRE(Text(preview) == Text(made));
      REQUIRE(Text(without) == Text(made));
      CHECK(explained.find("\"step\":\"" +
                           std::string(kPlacementStepNames.Name(made.step)) +
                           "\"") != std::string::npos);
      ++steps[made.step];
      if (made.step == PlacementStep::kSend)
        sent.emplace_back(request.id, made.server);
      while (!sent.empty() && (sent.size() > 18 || draw(3) == 0)) {
        PlacedAttemptResult result;
        result.request_id = sent.front().first;
        result.server = sent.front().second;
        sent.pop_front();
        result.took = Duration(static_cast<int64_t>(50 + draw(500)));
        result.end = draw(12) == 0 ? ServerAttemptEnd::kBroken
                                   : ServerAttemptEnd::kAnswered;
        result.reported = draw(2) == 0;
        result.running = static_cast<int>(draw(4));
        if (draw(2) == 0)
          result.work_ratio = 0.5 + static_cast<double>(draw(20)) / 10;
        both([&](Host& it) { it.placer.Finish(result, now); });
      }
      if (draw(3) != 0)
        continue;
      const std::vector<Placement> out = asked.placer.Advance(now);
      const std::vector<Placement> expected = plain.placer.Advance(now);
      REQUIRE(out.size() == expected.size());
      for (size_t i = 0; i < out.size(); ++i) {
        REQUIRE(Text(out[i]) == Text(expected[i]));
        if (out[i].step == PlacementStep::kSend)
          sent.emplace_back(out[i].request_id, out[i].server);
      }
    }
  }
  // The random states lead to all kinds of decisions.
  CHECK(steps[PlacementStep::kSend] > 1'000);
  CHECK(steps[PlacementStep::kWait] > 100);
  CHECK(steps[PlacementStep::kRefuse] > 100);
}

TEST_CASE("an explanation leaves no trace of an unknown service") {
  Host host;
  const Routes routes;
  PlacementRequest request;
  request.route = &routes.routes[0];
  request.service = ServiceId("unknown");
  host.placer.ExplainRequest(request, Instant(kStart));
  CHECK(host.placer.OwnDemands(Instant(kStart)).empty());
}

}  // namespace toucanknot
