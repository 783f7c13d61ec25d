#include "include/config/config_diff.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "include/config/config_text.h"
#include "tests/config/small_fleet.h"

namespace toucanknot {

TEST_CASE("each changed member is listed by its path") {
  const FleetConfig before = *ParseFleetConfig(kSmallFleet, "test");
  CHECK(DiffConfigs(before, before).empty());
  FleetConfig after = before;
  after.services[0].servers[1].slots = 5;
  after.defaults.max_queue = 9;
  after.links[0].mbit_per_s = 10;
  after.hosts.pop_back();
  std::reverse(after.regions.begin(), after.regions.end());
  after.exceptions.push_back(
      {"e", {ServiceId("orders")}, "r", "a", {}, {{"drain", "false"}}});
  const auto list = DiffConfigs(before, after);
  REQUIRE(list.size() == 5);
  CHECK(list[0] == ConfigDifference{"defaults.max_queue", "", "9"});
  CHECK(list[1].path == "exceptions.e");
  CHECK(list[2].path == "hosts.h-2");
  CHECK(list[2].after.empty());
  CHECK(list[3] ==
        ConfigDifference{"links.north-to-south.mbit_per_s", "8", "10"});
  CHECK(list[4] ==
        ConfigDifference{"services.orders.servers.s-2.slots", "3", "5"});
}

TEST_CASE("a changed order of exceptions is a difference") {
  FleetConfig before = *ParseFleetConfig(kSmallFleet, "test");
  for (const char* id : {"a", "b"}) {
    before.exceptions.push_back(
        {id, {ServiceId("orders")}, "r", "a", {}, {{"max_queue", "7"}}});
  }
  FleetConfig after = before;
  std::reverse(after.exceptions.begin(), after.exceptions.end());
  const auto list = DiffConfigs(before, after);
  REQUIRE(list.size() == 1);
  CHECK(list[0] == ConfigDifference{"exceptions (order)", "a, b", "b, a"});
}

}  // namespace toucanknot
