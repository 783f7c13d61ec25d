// Members of a configuration that say who may use what. Guards against members
// that are absent, empty or cannot be read and allow what they must not.

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "include/workspaces/key_directory.h"
#include "platform/config_decoder.h"

namespace toucanknot::platform {
namespace {

namespace json = boost::json;

using Owners = std::map<std::string, std::string>;

// The value of a member of the route and of the workspace "w" is `value`;
// a member without a value is absent.
json::object MakeConfig(const std::string& member = "",
                        const std::string& value = "") {
  json::object out = json::parse(R"({"version":"r4","routes":{"r":{
      "host":"a.example","prefix":"/x/","service":"s"}},
      "tenants":{"w":{"api_keys":["k2"]},"v":{"api_keys":["k3"]}}})")
                         .as_object();
  if (!value.empty()) {
    out["routes"].at("r").as_object()[member] = json::parse(value);
    out["tenants"].at("w").as_object()[member] = json::parse(value);
  }
  return out;
}

RouteConfigPtr Decode(const json::object& in,
                      const RouteConfigPtr& previous = nullptr) {
  return DecodeConfig(json::serialize(in), previous.get()).config;
}

RouteConfigPtr DecodeTable(const std::string& table,
                           const RouteConfigPtr& previous = nullptr) {
  json::object in = MakeConfig();
  in["tenants"] = json::parse(table);
  return Decode(in, previous);
}

// Which workspaces hold the keys.
Owners OwnersOf(const RouteConfigPtr& config) {
  KeyDirectory keys;
  keys.OnConfig(config);
  Owners out;
  for (const char* key : {"k2", "k3"}) {
    if (const WorkspacePtr owner = keys.Find(key))
      out[key] = owner->id.str();
  }
  return out;
}

}  // namespace

// A version that took the last workspace away let every request run.
TEST_CASE("a table of workspaces demands keys, whatever it holds") {
  const RouteConfigPtr previous = Decode(MakeConfig());
  for (const char* table :
       {"{}", R"({"w":7})", R"({"w":null,"v":[]})", R"({"w":{}})",
        R"({"w":{"api_keys":7}})", R"({"w":{"api_keys":[]}})"}) {
    INFO(table);
    CHECK(DecodeTable(table)->keys_required);
    CHECK(DecodeTable(table, previous)->keys_required);
  }
  for (const char* table : {"null", "7", "[]", "\"\""}) {
    INFO(table);
    CHECK(DecodeTable(table, previous)->keys_required);
  }
  const RouteConfigPtr empty = DecodeTable("{}", previous);
  CHECK(empty->workspaces.empty());
  CHECK(DecodeTable("7", empty)->keys_required);
  json::object without = MakeConfig();
  without.erase("tenants");
  CHECK_FALSE(Decode(without)->keys_required);
  CHECK_FALSE(Decode(without, previous)->keys_required);
}

// A key that was taken away ran on, and two workspaces could hold one key.
TEST_CASE("keys that cannot be read let no request run") {
  const RouteConfigPtr previous = Decode(MakeConfig());
  REQUIRE(OwnersOf(previous) == Owners{{"k2", "w"}, {"k3", "v"}});
  for (const char* w : {"7", "[]", R"({"api_keys":7})", R"({"api_keys":"k2"})",
                        R"({"api_keys":[7,["k2"]]})"}) {
    INFO(w);
    const std::string entry = R"({"w":)" + std::string(w);
    CHECK(OwnersOf(DecodeTable(entry + "}", previous)).empty());
    CHECK(OwnersOf(DecodeTable(entry + R"(,"v":{"api_keys":["k2"]}})",
                               previous)) == Owners{{"k2", "v"}});
  }
  CHECK(OwnersOf(DecodeTable(R"({"w":{"api_keys":[7,"k2"]}})", previous)) ==
        Owners{{"k2", "w"}});
}

// A route that was public before stayed so.
TEST_CASE("a route is public only if its version says so") {
  const RouteConfigPtr previous = Decode(MakeConfig("public", "true"));
  REQUIRE(previous->routes[0].is_public);
  for (const char* value : {"null", "false", "7", "\"true\"", "{}", "[true]"}) {
    INFO(value);
    CHECK_FALSE(
        Decode(MakeConfig("public", value), previous)->routes[0].is_public);
  }
  CHECK_FALSE(Decode(MakeConfig(), previous)->routes[0].is_public);
}

// Regions that could not be read allowed all of them.
TEST_CASE("where regions cannot be read, requests run in no other one") {
  const std::vector<RegionId> homes{RegionId("here")};
  const auto regions = [](const std::string& value,
                          const RouteConfigPtr& previous) {
    const RouteConfigPtr config =
        Decode(MakeConfig("allowed_regions", value), previous);
    CHECK(config->workspaces[0].allowed_regions ==
          config->routes[0].allowed_regions);
    return config->routes[0].allowed_regions;
  };
  CHECK(regions("", nullptr).empty());
  CHECK(regions("null", nullptr).empty());
  CHECK(regions("[]", nullptr).empty());
  CHECK(regions("[7,\"here\"]", nullptr) == homes);
  const RouteConfigPtr everywhere = Decode(MakeConfig());
  const RouteConfigPtr at_home =
      Decode(MakeConfig("allowed_regions", "[\"here\"]"));
  for (const char* value : {"7", "\"here\"", "{}", "[7]", "true"}) {
    INFO(value);
    CHECK(regions(value, at_home) == homes);
    CHECK(regions(value, nullptr) == std::vector{kNoRegion});
    CHECK(regions(value, everywhere) == std::vector{kNoRegion});
  }
}

}  // namespace toucanknot::platform
