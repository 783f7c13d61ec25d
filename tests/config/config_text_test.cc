#include "include/config/config_text.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>

#include "tests/config/small_fleet.h"

namespace toucanknot {
namespace {

std::string ReadExample(const std::string& name) {
  std::ifstream in(std::string(TOUCANKNOT_SOURCE_DIR) + "/examples/" + name);
  REQUIRE(in);
  return {std::istreambuf_iterator<char>(in), {}};
}

std::vector<std::string> FaultyPaths(const std::string& text) {
  std::vector<std::string> paths;
  try {
    ParseFleetConfig(text, "test");
  } catch (const InvalidConfigError& e) {
    for (const Problem& it : e.problems())
      paths.push_back(it.path);
  }
  return paths;
}

// kSmallFleet with the first `from`, which must occur, replaced by `to`.
std::string Edited(const std::string& from, const std::string& to) {
  std::string text = kSmallFleet;
  const size_t n = text.find(from);
  REQUIRE(n != std::string::npos);
  return text.replace(n, from.size(), to);
}

std::string WithException(const std::string& members) {
  return Edited("\"exceptions\": []", "\"exceptions\": [{" + members + "}]");
}

void CheckOneFault(const std::string& text, const std::string& path) {
  INFO(text);
  CHECK(FaultyPaths(text) == std::vector<std::string>{path});
}

}  // namespace

TEST_CASE("the example configurations are valid and have the expected sizes") {
  const auto haufiku =
      ParseFleetConfig(ReadExample("fleet-haufiku.json"), "haufiku");
  CHECK(haufiku->hosts.size() == 7);
  CHECK(haufiku->links.size() == 6);
  CHECK(haufiku->FindService(ServiceId("tracker"))->servers.size() == 24);
  CHECK(haufiku->FindService(ServiceId("dispatch"))->servers.size() == 12);
  const auto quetzal =
      ParseFleetConfig(ReadExample("fleet-quetzal.json"), "quetzal");
  CHECK(quetzal->hosts.size() == 7);
  CHECK(quetzal->FindService(ServiceId("orders"))->servers.size() == 30);
  CHECK(quetzal->FindService(ServiceId("dispatch"))->servers.size() == 12);
}

TEST_CASE("parsing the canonical text gives the same configuration") {
  for (const char* name : {"fleet-haufiku.json", "fleet-quetzal.json"}) {
    const auto config = ParseFleetConfig(ReadExample(name), name, 7);
    const std::string text = WriteFleetConfig(*config);
    const auto again = ParseFleetConfig(text, "again");
    CHECK(WriteFleetConfig(*again) == text);
    CHECK(again->digest == config->digest);
    CHECK(again->version == 0);
    CHECK(config->version == 7);
    const auto versioned = ParseFleetConfig(WriteVersionedConfig(*config), "v");
    CHECK(versioned->version == 7);
    CHECK(versioned->digest == config->digest);
  }
}

TEST_CASE("malformed text is rejected with line and column or with the path") {
  CHECK(FaultyPaths("{\n  \"regions\": [,]\n}") ==
        std::vector<std::string>{"line 2, column 15"});
  CHECK(FaultyPaths("") == std::vector<std::string>{"line 1, column 1"});
  CHECK(FaultyPaths("[]") == std::vector<std::string>{"(whole text)"});
  CHECK(FaultyPaths("{} {}") == std::vector<std::string>{"line 1, column 4"});
  CHECK(FaultyPaths(R"({"a": [1, {"b": "b", "b": 2}], "c": 3, "c": {}})") ==
        std::vector<std::string>{"a.1.b", "c"});
}

TEST_CASE(
    "all problems are reported at once, each with path, value and what is "
    "valid") {
  std::string text =
      Edited("\"drain\": false", "\"deadline_s\": 3, \"max_queue\": -1");
  text.replace(text.find("\"slots\": 2"), 10, "\"slots\": \"two\"");
  try {
    ParseFleetConfig(text, "fleet.json");
    FAIL("accepted");
  } catch (const InvalidConfigError& e) {
    REQUIRE(e.problems().size() == 3);
    CHECK(e.problems()[0] == Problem{"services.orders.servers.s-1.slots",
                                     "\"two\"",
                                     "a whole number from 1 to 10000"});
    CHECK(e.problems()[1].path == "defaults.deadline_s");
    CHECK(e.problems()[1].valid ==
          "a known key: deadline_ms, a whole number from 1 to 3600000 (ms)");
    CHECK(e.problems()[2] == Problem{"defaults.max_queue", "-1",
                                     "a whole number from 0 to 100000 "
                                     "(count)"});
    CHECK(std::string(e.what()).find("fleet.json: defaults.max_queue") !=
          std::string::npos);
  }
}

TEST_CASE("each kind of invalid configuration is detected") {
  REQUIRE(FaultyPaths(kSmallFleet).empty());
  CheckOneFault(Edited("\"drain\": false", "\"max_deadline_ms\": 9000"),
                "defaults.max_deadline_ms");
  CheckOneFault(Edited("\"drain\": false", "\"drain_limit_ms\": 59999"),
                "defaults.drain_limit_ms");
  CheckOneFault(Edited("\"drain\": false", "\"drain\": true"),
                "defaults.drain");
  CheckOneFault(
      Edited("\"drain\": false", "\"retry_ratio\": 0.4, \"hedge_ratio\": 0.2"),
      "defaults.retry_ratio");
  CheckOneFault(Edited("\"defaults\"", "\"default\": 1, \"defaults\""),
                "default");
  CheckOneFault(Edited("\"s-2\"", "\"s-1\""), "services.orders.servers.s-1");
  CheckOneFault(Edited("127.0.0.2:2", "127.0.0.1:1"), "hosts.h-2.address");
  CheckOneFault(Edited("127.0.0.2:2", "localhost:1"), "hosts.h-2.address");
  CheckOneFault(Edited("\"zone\": \"s2\", \"address\": \"127.0.0.9",
                       "\"zone\": \"x\", \"address\": \"127.0.0.9"),
                "services.orders.servers.s-2.zone");
  CheckOneFault(Edited("\"work_class\": \"o\"", "\"work_class\": \"p\""),
                "services.orders.work_class");
  CheckOneFault(Edited("\"max_connections\": 9", "\"max_connections\": 1"),
                "services.orders.servers.s-1.max_connections");
  CheckOneFault(Edited("\"POST /p\"", "\"/p\""),
                "services.orders.idempotent_requests");
  CheckOneFault(Edited("\"mbit_per_s\": 8", "\"mbit_per_s\": 0"),
                "links.0.mbit_per_s");
}

TEST_CASE("unreachable regions are detected") {
  std::string one_way = Edited("\"from\": \"south\", \"to\": \"north\"",
                               "\"from\": \"north\", \"to\": \"south\"");
  const auto paths = FaultyPaths(one_way);
  for (const char* it : {"links.0", "links.1", "regions.south"})
    CHECK(std::count(paths.begin(), paths.end(), it) >= 1);
  CheckOneFault(Edited("\"id\": \"h-2\", \"zone\": \"s1\"",
                       "\"id\": \"h-2\", \"zone\": \"n2\""),
                "services.orders.servers.s-2.zone");
}

TEST_CASE("an exception needs id, reason, author, a known scope and values") {
  const std::string scope = R"("scope": {"server": "s-1"}, )";
  const std::string who = R"("id": "e", "reason": "r", "author": "a", )";
  const std::string values = R"("values": {"drain": true})";
  CHECK(FaultyPaths(WithException(who + scope + values)).empty());
  CheckOneFault(WithException(R"("id": "e", "author": "a", )" + scope + values),
                "exceptions.e.reason");
  CheckOneFault(WithException(R"("id": "e", "reason": " ", "author": "a", )" +
                              scope + values),
                "exceptions.e.reason");
  CheckOneFault(WithException(R"("id": "e", "reason": "r", )" + scope + values),
                "exceptions.e.author");
  const std::string queue = R"("values": {"max_queue": 1})";
  CheckOneFault(WithException(who + queue), "exceptions.e.scope");
  CheckOneFault(WithException(who + R"("scope": {}, )" + queue),
                "exceptions.e.scope");
  CheckOneFault(WithException(who + R"("scope": {"zone": "z"}, )" + values),
                "exceptions.e.scope.zone");
  CheckOneFault(
      WithException(who + R"("scope": {"zone": "n1", "region": "south"}, )" +
                    values),
      "exceptions.e.scope");
  CheckOneFault(WithException(who + scope + R"("values": {})"),
                "exceptions.e.values");
  CheckOneFault(WithException(who + scope + R"("values": {"drain": 1})"),
                "exceptions.e.values.drain");
  CheckOneFault(
      WithException(who + scope + R"("values": {"link_load_limit": 0.5})"),
      "exceptions.e.scope");
  CheckOneFault(WithException(who + R"("ends": "tomorrow", )" + scope + values),
                "exceptions.e.ends");
}

TEST_CASE("drains that leave a service without a usable server are rejected") {
  const auto drain = [](const std::string& id, const std::string& scope) {
    return R"({"id": ")" + id +
           R"(", "reason": "r", "author": "a", "scope": )" + scope +
           R"(, "values": {"drain": true}})";
  };
  const auto fleet = [&](const std::vector<std::string>& list) {
    std::string all;
    for (const std::string& it : list)
      all += (all.empty() ? "" : ", ") + it;
    return Edited("\"exceptions\": []", "\"exceptions\": [" + all + "]");
  };
  const std::string north = drain("n", R"({"region": "north"})");
  CHECK(FaultyPaths(fleet({north})).empty());
  CheckOneFault(fleet({drain("o", R"({"service": "orders"})")}), "exceptions");
  CheckOneFault(fleet({north, drain("s", R"({"server": "s-2"})")}),
                "exceptions");
  CheckOneFault(fleet({north, drain("h", R"({"host": "h-2"})")}), "exceptions");
  CHECK(FaultyPaths(fleet({north, drain("h", R"({"host": "h-1"})")})).empty());
  // There is no location with both a host and a service for `drain`.
  CheckOneFault(fleet({drain("b", R"({"host": "h-1", "service": "orders"})")}),
                "exceptions.b.scope");
}

}  // namespace toucanknot
