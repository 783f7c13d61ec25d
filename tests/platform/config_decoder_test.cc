#include "platform/config_decoder.h"

#include <rapidcheck.h>

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <limits>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "include/base/error.h"
#include "include/routing/route_table.h"

namespace toucanknot::platform {
namespace {

namespace json = boost::json;

constexpr char kConfig[] = R"({"version":"r12","routes":{
  "r-1":{"host":"a.example","prefix":"/x/","kind":"safe","timeout":"1.5s",
    "target_latency":"600ms","priority":2,"backends":[
      {"service":"s","weight":90},{"service":"t","weight":10}],
    "attempts":2,"sticky_sessions":true,"allowed_regions":["here"]},
  "r-2":{"host":"a.example","prefix":"/y/","kind":"unsafe","timeout":"900ms",
    "target_latency":"400ms","priority":0,"service":"t","attempts":1}},
  "services":{"s":{"health_path":"/h","max_connections":330,"protocol":"h1",
    "tls":false,"cold_start":"3s","cold_per_s":4.1}},
  "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
    "header_timeout":"3000ms","idle_timeout":"15000ms"}})";

std::string WithReplacement(std::string text,
                            const std::string& what,
                            const std::string& with) {
  text.replace(text.find(what), what.size(), with);
  return text;
}

// The same configuration with other routes, as the version before.
RouteConfigPtr Previous() {
  return DecodeConfig(
             R"({"version":"r7","routes":{
    "r-1":{"host":"a.example","prefix":"/x/","kind":"safe","timeout":"700ms",
      "target_latency":"70ms","priority":9,"service":"old","attempts":3,
      "sticky_sessions":true,"public":true,"allowed_regions":["there"]},
    "gone":{"host":"a.example","prefix":"/gone/","kind":"safe",
      "timeout":"700ms","target_latency":"70ms","priority":9,"service":"old",
      "attempts":3}},
    "services":{"s":{"cold_per_s":2.5}},
    "tenants":{"w":{"api_keys":["k"],"rate_per_s":5,"burst":2,"priority":3,
      "allowed_regions":["there"]}},
    "limits":{"max_header_bytes":1000,"max_body_bytes":2000,
      "header_timeout":"30ms","idle_timeout":"40ms"}})")
      .config;
}

// kConfig with a workspace.
json::object WithWorkspace() {
  json::object out = json::parse(kConfig).as_object();
  out["tenants"] = json::parse(
      R"({"w":{"api_keys":["k2"],"rate_per_s":6,"burst":3,"priority":1,
          "allowed_regions":["here"]},"v":{"api_keys":["k3"]}})");
  return out;
}

// Values that no member takes, and numbers out of range.
const std::vector<std::string>& OddValues() {
  static const std::vector<std::string> values = {
      "null",         "true",
      "-1",           "1.5",
      "1e300",        "-1e300",
      "\"\"",         "\"x\"",
      "\"5\"",        "\"1.5m\"",
      "\"-3s\"",      "[]",
      "{}",           "[null,7,\"a\"]",
      "{\"a\":[{}]}", "18446744073709551616",
      "\"r\"",        "\"r-1\"",
      "\"r1.5\"",     std::string(500, '[') + std::string(500, ']')};
  return values;
}

// The paths of all members below `value`.
void ListPaths(const json::value& value,
               const std::string& path,
               std::vector<std::string>& out) {
  if (!path.empty())
    out.push_back(path);
  if (value.is_object()) {
    for (const auto& it : value.get_object())
      ListPaths(it.value(), path + "/" + std::string(it.key()), out);
  } else if (value.is_array()) {
    for (size_t i = 0; i < value.get_array().size(); ++i)
      ListPaths(value.get_array()[i], path + "/" + std::to_string(i), out);
  }
}

// Sets the member at `path`, or removes it if `text` is empty.
void SetMember(json::value& in,
               const std::string& path,
               const std::string& text) {
  const size_t slash = path.rfind('/');
  const std::string key = path.substr(slash + 1);
  json::value& parent = in.at_pointer(path.substr(0, slash));
  if (text.empty() && parent.is_object()) {
    parent.get_object().erase(key);
    return;
  }
  json::parse_options options;
  options.max_depth = 1'000;
  json::value value =
      json::parse(text.empty() ? "null" : text, json::storage_ptr(), options);
  in.at_pointer(path) = std::move(value);
}

}  // namespace

TEST_CASE("all members of a configuration are decoded") {
  const DecodedConfig decoded = DecodeConfig(kConfig);
  const RouteConfigPtr& config = decoded.config;
  CHECK(decoded.unusable.count == 0);
  CHECK(config->version == 12);
  REQUIRE(config->routes.size() == 2);
  const Route& split = config->routes[0];
  CHECK(split.kind == RequestKind::kIdempotent);
  CHECK(split.timeout == Duration(1'500));
  CHECK(split.targets.size() == 2);
  CHECK(split.targets[0].weight == 90);
  CHECK(split.sticky);
  CHECK(split.allowed_regions == std::vector{RegionId("here")});
  CHECK(config->routes[1].kind == RequestKind::kNonIdempotent);
  CHECK(config->routes[1].targets.front().service == ServiceId("t"));
  CHECK(config->services.at(ServiceId("s")).cold_rate == 4.1);
  CHECK(config->limits.max_body_bytes == 67'108'864);
  CHECK(config->limits.idle_timeout == Duration(15'000));
}

TEST_CASE("downloads may be repeated and are marked as large") {
  const RouteConfigPtr config =
      DecodeConfig(WithReplacement(kConfig, "\"unsafe\"", "\"download\""))
          .config;
  CHECK(config->routes[1].kind == RequestKind::kIdempotent);
  CHECK(config->routes[1].large_responses);
  CHECK_FALSE(config->routes[0].large_responses);
}

// Requests of all callers got 404.
TEST_CASE("the host of a route is found whatever its case") {
  RouteTable routes;
  REQUIRE(routes.Apply(
      DecodeConfig(WithReplacement(kConfig, "a.example", "A.Example")).config));
  CHECK(routes.Find("a.example", "/x/") != nullptr);
  CHECK(routes.Find("A.eXample:80", "/x/") != nullptr);
}

TEST_CASE("requests of an unknown kind must run only once") {
  const RouteConfigPtr config =
      DecodeConfig(WithReplacement(kConfig, "\"safe\"", "\"keyed\"")).config;
  CHECK(config->routes[0].kind == RequestKind::kNonIdempotent);
}

// A version with a number above a bound of the decoder's own was thrown away
// whole, and hosts went on with the older one.
TEST_CASE("a configuration's numbers have no largest value") {
  const auto decode = [](const std::string& what, const std::string& with) {
    return DecodeConfig(WithReplacement(kConfig, what, with)).config;
  };
  constexpr int kMax = std::numeric_limits<int>::max();
  const auto priority = [&](const std::string& n) {
    return decode("\"priority\":2", "\"priority\":" + n)->routes[0].priority;
  };
  CHECK(priority("2000") == 2'000);
  CHECK(priority("2e3") == 2'000);
  CHECK(priority("2147483647") == kMax);
  for (const char* it :
       {"2147483648", "9223372036854775808", "99999999999999999999", "1e300"}) {
    CHECK(priority(it) == kMax);
  }
  CHECK(decode("\"attempts\":2", "\"attempts\":1e10")->routes[0].attempts ==
        kMax);
  CHECK(decode("330", "5000000000")
            ->services.at(ServiceId("s"))
            .max_connections == kMax);
  CHECK(decode("4.1", "1e300")->services.at(ServiceId("s")).cold_rate == 1e9);
  CHECK(
      decode("\"3s\"", "\"1e300s\"")->services.at(ServiceId("s")).cold_start ==
      Duration::Seconds(365 * 24 * 3'600));
  CHECK(decode("\"1.5s\"", "\"99999999999s\"")->routes[0].timeout ==
        Duration::Seconds(365 * 24 * 3'600));
  CHECK(decode("67108864", "9223372036854775808")->limits.max_body_bytes >=
        uint64_t{1} << 40);
  CHECK(decode("16384", "1")->limits.max_header_bytes == 1);
  CHECK(decode("16384", "99999999999")->limits.max_header_bytes ==
        std::numeric_limits<uint32_t>::max());
  CHECK(decode("\"r12\"", "\"r18446744073709551615\"")->version ==
        std::numeric_limits<uint64_t>::max());
  const RouteConfigPtr workspace = decode(
      "\"limits\"",
      R"("tenants":{"a":{"priority":5000,"rate_per_s":1e300,"burst":1e300}},)"
      R"("limits")");
  CHECK(workspace->workspaces[0].priority == 5'000);
  CHECK(workspace->workspaces[0].rate == 1e9);
  CHECK(workspace->workspaces[0].burst == 1e9);
}

// A sum of the weights that overflows would send all requests to one service.
TEST_CASE("weights keep their proportions at any size") {
  const auto [first, second] = GENERATE(table<std::string, std::string>(
      {{"1e308", "1e308"}, {"2e12", "2e12"}, {"0.001", "0.001"}}));
  std::string text =
      WithReplacement(kConfig, "\"weight\":90", "\"weight\":" + first);
  text = WithReplacement(text, "\"weight\":10", "\"weight\":" + second);
  RouteTable routes;
  REQUIRE(routes.Apply(DecodeConfig(text).config));
  const Route* route = routes.Find("a.example", "/x/");
  REQUIRE(route != nullptr);
  int n = 0;
  for (int i = 0; i < 100; ++i)
    n += routes.NextTarget(*route) == ServiceId("s") ? 1 : 0;
  CHECK(n == 50);
}

TEST_CASE("a configuration as large as a value of the store is decoded") {
  std::string tenants;
  for (int i = 0; tenants.size() < 1'000'000; ++i)
    tenants += (i == 0 ? "\"" : ",\"") + std::to_string(i) + "\":{}";
  const RouteConfigPtr config =
      DecodeConfig(WithReplacement(kConfig, "\"limits\"",
                                   "\"tenants\":{" + tenants + "},\"limits\""))
          .config;
  CHECK(config->workspaces.size() > 80'000);
}

// A key that two workspaces hold would let one act as the other.
TEST_CASE("a key of two workspaces is that of the first") {
  const std::string text =
      WithReplacement(kConfig, "\"limits\"",
                      R"("tenants":{"a":{"api_keys":["k1","k1"],"priority":1,
        "rate_per_s":769,"burst":50.5,"allowed_regions":["here"],"more":[]},
        "b":{"api_keys":["k2"]}},"limits")");
  const RouteConfigPtr config = DecodeConfig(text).config;
  REQUIRE(config->workspaces.size() == 2);
  const Workspace& a = config->workspaces[0];
  CHECK(a.id == WorkspaceId("a"));
  CHECK(a.api_keys == std::vector<std::string>{"k1"});
  CHECK(a.priority == 1);
  CHECK(a.rate == 769);
  CHECK(a.burst == 50.5);
  CHECK(a.allowed_regions == std::vector{RegionId("here")});
  CHECK_FALSE(config->workspaces[1].priority);
  CHECK(config->workspaces[1].rate == 0);
  const DecodedConfig shared =
      DecodeConfig(WithReplacement(text, "\"k2\"", "\"k1\",\"k3\""));
  CHECK(shared.config->workspaces[0].api_keys ==
        std::vector<std::string>{"k1"});
  CHECK(shared.config->workspaces[1].api_keys ==
        std::vector<std::string>{"k3"});
  CHECK(shared.unusable.count == 1);
  CHECK(shared.unusable.kept[0].find("k1") == std::string::npos);
}

// One member that could not be used had hosts reject a version for ever.
TEST_CASE("a member that cannot be used leaves the rest of its version") {
  const RouteConfigPtr previous = Previous();
  const auto decode = [&](const std::string& path, const std::string& value) {
    json::value in = WithWorkspace();
    SetMember(in, path, value);
    return DecodeConfig(json::serialize(in), previous.get());
  };
  for (const std::string& value : OddValues()) {
    INFO(value.substr(0, 40));
    const auto route = [&](const std::string& key) {
      const DecodedConfig decoded = decode("/routes/r-1/" + key, value);
      REQUIRE(decoded.config->routes.size() == 2);
      CHECK(decoded.config->version == 12);
      CHECK(decoded.config->routes[0].targets.size() == 2);
      return decoded.config->routes[0];
    };
    if (value[0] == '"' || value[0] == '[' || value[0] == '{') {
      CHECK(route("priority").priority == 9);
      CHECK(route("attempts").attempts == 3);
      CHECK(decode("/services/s/cold_per_s", value)
                .config->services.at(ServiceId("s"))
                .cold_rate == 2.5);
      CHECK(decode("/limits/max_body_bytes", value)
                .config->limits.max_body_bytes == 2'000);
      CHECK(decode("/tenants/w/rate_per_s", value).config->workspaces[0].rate ==
            5);
    }
    CHECK(route("timeout").timeout == Duration(700));
    CHECK(route("target_latency").target_latency == Duration(70));
    CHECK(route("kind").kind == RequestKind::kNonIdempotent);
    CHECK(decode("/limits/idle_timeout", value).config->limits.idle_timeout ==
          Duration(40));
    CHECK(decode("/services/s/health_path", value)
              .config->services.at(ServiceId("s"))
              .cold_rate == 4.1);
  }
}

TEST_CASE("a member that cannot be used has its default in a new route") {
  const auto decode = [](const std::string& path) {
    json::value in = json::parse(kConfig);
    SetMember(in, path, "");
    return DecodeConfig(json::serialize(in));
  };
  const auto route = [&](const std::string& key) {
    const DecodedConfig decoded = decode("/routes/r-1/" + key);
    CHECK(decoded.unusable.count == 1);
    CHECK(decoded.unusable.kept.front().starts_with("routes.r-1." + key));
    return decoded.config->routes.at(0);
  };
  CHECK(route("timeout").timeout == Duration::Seconds(30));
  CHECK(route("target_latency").target_latency == Duration::Seconds(1));
  CHECK(route("priority").priority == 0);
  CHECK(route("attempts").attempts == 1);
  CHECK(route("kind").kind == RequestKind::kNonIdempotent);
  CHECK(decode("/services/s/cold_per_s")
            .config->services.at(ServiceId("s"))
            .cold_rate == 1);
  CHECK(decode("/limits").config->limits == CallerLimits());
  CHECK(decode("/services/s/cold_start").unusable.count == 0);
}

TEST_CASE("a backend without a usable weight gets the mean of the others") {
  const auto weights = [](const std::string& what, const std::string& with) {
    std::vector<double> out;
    for (const RouteTarget& it :
         DecodeConfig(WithReplacement(kConfig, what, with))
             .config->routes[0]
             .targets)
      out.push_back(it.weight);
    return out;
  };
  CHECK(weights(",\"weight\":10", "") == std::vector<double>{90, 90});
  CHECK(weights("\"weight\":90", "\"weight\":\"x\"") ==
        std::vector<double>{10, 10});
  CHECK(weights("{\"service\":\"s\",\"weight\":90}", "7") ==
        std::vector<double>{10});
}

TEST_CASE("only a route without a host, prefix or service is left out") {
  const RouteConfigPtr previous = Previous();
  for (const char* path : {"/routes/r-1/host", "/routes/r-1/prefix",
                           "/routes/r-1/backends", "/routes/r-1"}) {
    for (const char* value : {"null", "7", "\"\"", "[]"}) {
      INFO(path << " " << value);
      json::value in = json::parse(kConfig);
      SetMember(in, path, value);
      const DecodedConfig decoded =
          DecodeConfig(json::serialize(in), previous.get());
      REQUIRE(decoded.config->routes.size() == 1);
      CHECK(decoded.config->routes[0].name == "r-2");
      CHECK(decoded.unusable.count >= 1);
    }
  }
}

TEST_CASE("a version of any size is read, and never goes back") {
  const auto version = [](const std::string& text) {
    return DecodeConfig(WithReplacement(kConfig, "r12", text)).config;
  };
  RouteTable routes;
  for (const char* it : {"r0", "r007", "r18446744073709551615",
                         "r18446744073709551616", "r99999999999999999999999"}) {
    INFO(it);
    CHECK(routes.Apply(version(it)));
    CHECK_FALSE(routes.Apply(version(it)));
  }
  CHECK_FALSE(routes.Apply(version("r18446744073709551617")));
  CHECK(routes.version().ToString() == "99999999999999999999999");
}

// Operators must not be stuck with an older version for a slip in its number.
TEST_CASE("a version without a number takes the place of the one before") {
  RouteTable routes;
  REQUIRE(routes.Apply(DecodeConfig(kConfig).config));
  for (const char* it : {"12", "\"r\"", "\"r1.5\"", "null", "\"v13\""}) {
    INFO(it);
    const DecodedConfig decoded = DecodeConfig(
        WithReplacement(kConfig, "\"r12\"", it), routes.config().get());
    CHECK(decoded.unusable.count == 1);
    CHECK(routes.Apply(decoded.config));
    CHECK(routes.version() == 12);
  }
  CHECK_FALSE(routes.Apply(
      DecodeConfig(WithReplacement(kConfig, "r12", "r11")).config));
  CHECK(routes.Apply(
      DecodeConfig(WithReplacement(kConfig, "r12", "r13")).config));
}

TEST_CASE("a text of which nothing can be used is rejected with Error") {
  for (const char* it :
       {"", "{", "[]", "7", "{}", R"({"version":"r4"})",
        R"({"version":"r4","routes":[]})",
        R"({"version":"r4","routes":{"a":{"host":"h","prefix":"/"}}})",
        R"({"version":"r4","routes":{},"tenants":7})"}) {
    INFO(it);
    CHECK_THROWS_AS(DecodeConfig(it), Error);
  }
  CHECK_NOTHROW(DecodeConfig(R"({"version":"r4","routes":{}})"));
  const RouteConfigPtr previous = Previous();
  const DecodedConfig kept = DecodeConfig(
      R"({"version":"r8","routes":7,"tenants":7})", previous.get());
  CHECK(kept.config->routes == previous->routes);
  CHECK(kept.config->workspaces == previous->workspaces);
  CHECK(kept.config->limits == previous->limits);
  CHECK(kept.unusable.count == 4);
}

// Whatever one member holds, the other routes must move to what the version
// says of them.
TEST_CASE("any members of a version may be absent or hold anything") {
  const RouteConfigPtr previous = Previous();
  std::vector<std::string> paths;
  ListPaths(WithWorkspace(), "", paths);
  REQUIRE(paths.size() > 40);
  const auto touches = [](const std::string& path, const std::string& part) {
    return path == "/routes" || path.starts_with(part);
  };
  CHECK(rc::check([&] {
    json::value in = WithWorkspace();
    const auto before = *rc::gen::arbitrary<bool>() ? previous.get() : nullptr;
    bool first = false;
    bool second = false;
    bool tenants = false;
    for (int n = *rc::gen::inRange(1, 4); n > 0; --n) {
      const std::string path = *rc::gen::elementOf(paths);
      boost::system::error_code ec;
      if (in.find_pointer(path, ec) == nullptr)
        continue;
      const std::string value = *rc::gen::arbitrary<bool>()
                                    ? *rc::gen::elementOf(OddValues())
                                    : std::string();
      SetMember(in, path, value);
      first = first || touches(path, "/routes/r-1");
      second = second || touches(path, "/routes/r-2");
      tenants = tenants || path == "/tenants";
    }
    std::optional<DecodedConfig> decoded;
    try {
      decoded = DecodeConfig(json::serialize(in), before);
    } catch (const Error&) {
      // Nothing can be taken over.
      RC_ASSERT((first && second) || (tenants && before == nullptr));
      return;
    }
    RouteTable routes;
    RC_ASSERT(routes.Apply(decoded->config));
    if (!first) {
      const Route* route = routes.Find("a.example", "/x/1");
      RC_ASSERT(route != nullptr);
      RC_ASSERT(*route == DecodeConfig(kConfig).config->routes[0]);
    }
    if (!second) {
      const Route* route = routes.Find("a.example", "/y/1");
      RC_ASSERT(route != nullptr);
      RC_ASSERT(*route == DecodeConfig(kConfig).config->routes[1]);
    }
  }));
}

TEST_CASE("mutated configurations are decoded or rejected with Error") {
  std::mt19937_64 random(20261204);
  for (int i = 0; i < 2'000; ++i) {
    std::string text = kConfig;
    for (uint64_t n = 1 + random() % 3; n > 0; --n)
      text[random() % text.size()] = static_cast<char>(random());
    try {
      DecodeConfig(text);
    } catch (const Error&) {
      SUCCEED();
    }
  }
}

}  // namespace toucanknot::platform
