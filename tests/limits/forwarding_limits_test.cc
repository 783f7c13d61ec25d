#include "include/limits/forwarding_limits.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "include/limits/budget_holder.h"

namespace toucanknot {
namespace {

const RegionId kCentro("centro");
const RegionId kOriente("oriente");
const ServiceId kOrders("orders");

// Two regions, with two hosts and one host, and 300 Mbit/s between them.
FleetConfigPtr Config(double load_limit = 0.9) {
  auto config = std::make_shared<FleetConfig>();
  config->version = 1;
  config->regions = {{kCentro, {ZoneId("c1")}}, {kOriente, {ZoneId("o1")}}};
  config->links = {{kCentro, kOriente, 300}, {kOriente, kCentro, 300}};
  config->hosts = {{HostId("a"), ZoneId("c1")},
                   {HostId("b"), ZoneId("c1")},
                   {HostId("c"), ZoneId("o1")}};
  Service service;
  service.id = kOrders;
  config->services = {service};
  config->defaults.link_load_limit = load_limit;
  return config;
}

ForwardingLimits Limits(const char* host, const FleetConfigPtr& config) {
  ForwardingLimits limits(HostId(host), 1, BudgetTimes(), SlowStart::Options(),
                          Instant(0));
  limits.OnConfig(config, 0, Instant(0));
  limits.budget().EndHold(Instant(0));
  return limits;
}

// Tries to forward a thousand requests a second for `ms` milliseconds; returns
// how many were permitted.
int CountForwarded(ForwardingLimits* limits,
                   int64_t from,
                   int64_t ms,
                   int64_t bytes) {
  int forwarded = 0;
  for (int64_t t = from; t < from + ms; ++t) {
    const Instant now(t);
    limits->Advance(now);
    limits->OnRequest(kOrders, now);
    const ForwardingPermit permit =
        limits->MayForward(kOrders, kOriente, bytes, now);
    if (!permit.allowed())
      continue;
    ++forwarded;
    limits->OnForwardingEnded(kOrders, kOriente, permit, bytes, now);
  }
  return forwarded;
}

}  // namespace

TEST_CASE("hosts at both ends divide each direction of a link") {
  const FleetConfigPtr config = Config();
  const std::vector<Cap> caps = LinkCapsOf(*config, HostId("a"), 0);
  REQUIRE(caps.size() == 2);
  int64_t sum = 0;
  for (const char* it : {"a", "b", "c"}) {
    sum += caps[0].StaticShare(HostId(it));
    CHECK(LinkCapsOf(*config, HostId(it), 0)[1].members == caps[1].members);
  }
  CHECK(sum == 270'000);
  CHECK(LinkCapsOf(*config, HostId("unknown"), 0).empty());
}

TEST_CASE(
    "forwarding starts slowly and stays within the host's part of the link") {
  ForwardingLimits limits = Limits("a", Config());
  const int first = CountForwarded(&limits, 0, 2'000, 1'000);
  CHECK(first < 300);
  CountForwarded(&limits, 2'000, 18'000, 1'000);
  CHECK(CountForwarded(&limits, 20'000, 1'000, 1'000) > 900);
  // A third of 270 Mbit/s in each direction: 11 250 bytes a millisecond.
  const int big = CountForwarded(&limits, 21'000, 10'000, 50'000);
  CHECK(big <= 11'250 * 10'050 / 50'000 + 1);
  CHECK(big > 2'000);
}

TEST_CASE("a host with growing demand is granted what others lend") {
  const FleetConfigPtr config = Config();
  ForwardingLimits a = Limits("a", config);
  ForwardingLimits b = Limits("b", config);
  ForwardingLimits c = Limits("c", config);
  BudgetHolder holder({.epoch = 1, .host = HostId("c")}, BudgetTimes());
  const CapId out = LinkCap(kCentro, kOriente);
  int64_t max_sum = 0;
  for (int64_t t = 0; t < 30'000; ++t) {
    const Instant now(t);
    CountForwarded(&a, t, 1, 20'000);
    int64_t sum = 0;
    for (ForwardingLimits* it : {&a, &b, &c}) {
      it->Advance(now);
      if (now >= it->budget().NextRequestTime(now)) {
        it->budget().OnReply(
            holder.HandleRequest(it->budget().MakeRequest(now), now));
      }
      sum += it->budget().Limit(out, now);
    }
    max_sum = std::max(max_sum, sum);
  }
  CHECK(max_sum == 270'000);
  // 20 000 bytes a millisecond are 160 Mbit/s, above the share of 90.
  CHECK(a.budget().Limit(out, Instant(30'000)) > 160'000);
  CHECK(CountForwarded(&a, 30'000, 1'000, 20'000) > 900);
}

TEST_CASE("a denial states which limit caused it") {
  const FleetConfigPtr config = Config();
  ForwardingLimits limits = Limits("a", config);
  CHECK(limits.MayForward(kOrders, kOriente, 1, Instant(1)).denial ==
        ForwardingDenial::kShift);
  CHECK(limits.MayForward(kOrders, RegionId("nowhere"), 1, Instant(1)).denial ==
        ForwardingDenial::kRegion);
  limits.OnRegion(kOriente, false, Instant(1));
  CHECK(limits.MayForward(kOrders, kOriente, 1, Instant(1)).denial ==
        ForwardingDenial::kRegion);
  ForwardingLimits narrow = Limits("a", Config(0));
  CHECK(CountForwarded(&narrow, 0, 5'000, 1'000) == 0);
  CHECK(narrow.MayForward(kOrders, kOriente, 1'000, Instant(5'000)).denial ==
        ForwardingDenial::kLink);
  CHECK(narrow.Explain(Instant(5'000)).find("\"headroom\":0") !=
        std::string::npos);
}

TEST_CASE("a recovered region gets a part of the traffic first") {
  ForwardingLimits limits = Limits("a", Config());
  CountForwarded(&limits, 0, 20'000, 1'000);
  limits.OnRegion(kOriente, false, Instant(20'000));
  CHECK(CountForwarded(&limits, 20'000, 1'000, 1'000) == 0);
  limits.OnRegion(kOriente, true, Instant(21'000));
  limits.OnRegion(kOriente, true, Instant(24'000));
  CHECK(CountForwarded(&limits, 24'000, 1'000, 1'000) <= 200);
}

}  // namespace toucanknot
