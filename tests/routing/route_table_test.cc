#include "include/routing/route_table.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace toucanknot {
namespace {

Route MakeRoute(std::string name, std::string prefix) {
  Route route;
  route.name = std::move(name);
  route.host_name = "a.example";
  route.prefix = std::move(prefix);
  route.targets = {{ServiceId("s"), 1}};
  return route;
}

RouteConfigPtr MakeConfig(uint64_t version, std::vector<Route> routes) {
  auto config = std::make_shared<RouteConfig>();
  config->version = version;
  config->routes = std::move(routes);
  return config;
}

}  // namespace

TEST_CASE("the longest prefix of the path wins") {
  RouteTable table;
  REQUIRE(
      table.Apply(MakeConfig(1, {MakeRoute("all", "/"), MakeRoute("x", "/x/"),
                                 MakeRoute("xy", "/x/y/")})));
  const auto name = [&](std::string_view host, std::string_view path) {
    const Route* route = table.Find(host, path);
    return route == nullptr ? "none" : route->name;
  };
  CHECK(name("a.example", "/x/y/z") == "xy");
  CHECK(name("a.example", "/x/yz") == "x");
  CHECK(name("a.example", "/x") == "all");
  CHECK(name("a.example", "/x/?q=/x/y/") == "x");
  CHECK(name("A.Example:80", "/x/y/") == "xy");
  CHECK(name("b.example", "/x/") == "none");
  CHECK(name("a.example", "") == "none");
}

TEST_CASE("an older or the same version is ignored") {
  RouteTable table;
  CHECK(table.version() == 0);
  CHECK(table.Find("a.example", "/") == nullptr);
  REQUIRE(table.Apply(MakeConfig(7, {MakeRoute("new", "/")})));
  CHECK_FALSE(table.Apply(MakeConfig(7, {MakeRoute("same", "/")})));
  CHECK_FALSE(table.Apply(MakeConfig(3, {MakeRoute("old", "/")})));
  CHECK_FALSE(table.Apply(nullptr));
  CHECK(table.version() == 7);
  CHECK(table.Find("a.example", "/")->name == "new");
}

TEST_CASE("short sequences of requests are split by weight") {
  Route route = MakeRoute("split", "/");
  route.targets = {{ServiceId("a"), 90}, {ServiceId("b"), 10}};
  RouteTable table;
  table.Apply(MakeConfig(1, {route}));
  std::map<std::string, int> counts;
  for (int i = 0; i < 40; ++i) {
    const Route* found = table.Find("a.example", "/");
    ++counts[table.NextTarget(*found).str()];
    // A new version with the same split keeps the round robin state.
    table.Apply(MakeConfig(i + 2, {route}));
  }
  CHECK(counts["a"] == 36);
  CHECK(counts["b"] == 4);
}

TEST_CASE("a look at the next target equals it and does not move on") {
  // Explanations that moved the split would take requests from a service.
  Route route = MakeRoute("split", "/");
  route.targets = {
      {ServiceId("a"), 7}, {ServiceId("b"), 2}, {ServiceId("c"), 1}};
  RouteTable table;
  table.Apply(MakeConfig(1, {route}));
  RouteTable unseen;
  unseen.Apply(MakeConfig(1, {route}));
  for (int i = 0; i < 40; ++i) {
    const ServiceId peeked = table.PeekTarget(route);
    CHECK(table.PeekTarget(route) == peeked);
    CHECK(table.NextTarget(route) == peeked);
    CHECK(unseen.NextTarget(route) == peeked);
  }
}

TEST_CASE("a request in progress keeps the route of its version") {
  RouteTable table;
  Route old = MakeRoute("r", "/");
  old.targets = {{ServiceId("a"), 1}, {ServiceId("b"), 1}};
  table.Apply(MakeConfig(1, {old}));
  table.Apply(MakeConfig(2, {MakeRoute("r", "/")}));
  // Its targets differ from those of the newer split, so the first one is used.
  CHECK(table.NextTarget(old) == ServiceId("a"));
}

}  // namespace toucanknot
