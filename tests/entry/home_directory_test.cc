// Which hosts the directory names for host names that are bound to regions, and
// while a host cannot prove its keys. Guards against hosts that have to pass
// every request on to another region.

#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "include/entry/host_roster.h"
#include "include/routing/route_table.h"

namespace toucanknot {
namespace {

HostRecord MakeHost(const std::string& id, const std::string& zone, int port) {
  HostRecord out;
  out.host = HostId(id);
  out.zone = ZoneId(zone);
  out.callers = {"10.0.0.1", static_cast<uint16_t>(port)};
  out.capacity = 1;
  return out;
}

std::set<uint16_t> Ports(const std::vector<Endpoint>& addresses) {
  std::set<uint16_t> out;
  for (const Endpoint& it : addresses)
    out.insert(it.port);
  return out;
}

Route MakeRoute(const std::string& host_name,
                const std::string& prefix,
                std::vector<RegionId> regions) {
  Route out;
  out.name = host_name + prefix;
  out.host_name = host_name;
  out.prefix = prefix;
  out.allowed_regions = std::move(regions);
  out.targets = {{ServiceId("s"), 1}};
  return out;
}

}  // namespace

TEST_CASE("a host name has homes if all of its routes are bound to regions") {
  RouteTable routes;
  CHECK(routes.HomesOf("bound").empty());
  auto config = std::make_shared<RouteConfig>();
  config->version = 1;
  const RegionId a("a");
  const RegionId b("b");
  config->routes = {
      MakeRoute("bound", "/", {a}), MakeRoute("bound", "/x/", {b, a}),
      MakeRoute("partly", "/", {a}), MakeRoute("partly", "/x/", {})};
  routes.Apply(config);
  CHECK(routes.HomesOf("Bound:443") == std::vector{a, b});
  CHECK(routes.HomesOf("partly").empty());
  CHECK(routes.HomesOf("unknown").empty());
  CHECK(routes.HomesOf("").empty());
}

TEST_CASE("only hosts of the caller's region or a home region are named") {
  HostRoster roster(MakeHost("self", "a-1", 1),
                    {{ZoneId("a-1"), RegionId("a")},
                     {ZoneId("b-1"), RegionId("b")},
                     {ZoneId("c-1"), RegionId("c")},
                     {ZoneId("d-1"), RegionId("d")}});
  roster.SetSelfReady(true);
  roster.OnHost(MakeHost("b", "b-1", 2), Instant(0));
  roster.OnHost(MakeHost("c", "c-1", 3), Instant(0));
  const auto named = [&](const char* region, std::vector<RegionId> homes) {
    return Ports(roster.AddressesFor(
        {RegionId(region), ZoneId(), "10.9.0.1", std::move(homes)}));
  };
  CHECK(named("b", {RegionId("c")}) == std::set<uint16_t>{2});
  CHECK(named("d", {RegionId("c")}) == std::set<uint16_t>{3});
  CHECK(named("d", {RegionId("a"), RegionId("c")}) == std::set<uint16_t>{1, 3});
  CHECK(named("d", {RegionId("d")}).empty());
  CHECK(named("d", {}).size() == 2);
}

TEST_CASE("a host without a proof names itself only if it is alone") {
  HostRoster roster(MakeHost("self", "a-1", 1),
                    {{ZoneId("a-1"), RegionId("a")}});
  roster.SetSelfReady(true);
  roster.SetSelfProven(false);
  const auto named = [&] {
    return Ports(roster.AddressesFor({RegionId("a"), ZoneId(), "10.9.0.1"}));
  };
  CHECK(named() == std::set<uint16_t>{1});
  roster.OnHost(MakeHost("self", "a-1", 1), Instant(0));
  CHECK(named() == std::set<uint16_t>{1});
  roster.OnHost(MakeHost("b", "a-1", 2), Instant(0));
  CHECK(named() == std::set<uint16_t>{2});
  roster.SetSelfProven(true);
  CHECK(named() == std::set<uint16_t>{1, 2});
}

}  // namespace toucanknot
