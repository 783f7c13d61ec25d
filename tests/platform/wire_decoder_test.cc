#include "platform/wire_decoder.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <limits>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "include/base/error.h"

namespace toucanknot::platform {
namespace {

constexpr char kServer[] =
    R"({"service":"s","address":"10.0.0.1:8080","zone":"z","version":"v1",)"
    R"("slots":4,"state":"draining","cold_left":"1200ms","sequence":9,)"
    R"("born":1780472036029,"later":true})";

std::string WithReplacement(std::string text,
                            const std::string& what,
                            const std::string& with) {
  text.replace(text.find(what), what.size(), with);
  return text;
}

}  // namespace

TEST_CASE("a server's entry is decoded, or rejected when invalid") {
  const ServerEntry entry = DecodeServer("i-1", kServer);
  CHECK(entry.id == ServerId("i-1"));
  CHECK(entry.endpoint == Endpoint{"10.0.0.1", 8080});
  CHECK(entry.leaving);
  CHECK(entry.cold_left == Duration(1'200));
  CHECK(entry.incarnation == 1'780'472'036'029);
  const auto [what, with] = GENERATE(
      table<std::string, std::string>({{"\"slots\":4", "\"slots\":\"4\""},
                                       {"\"slots\":4", "\"slots\":0"},
                                       {"\"slots\":4", "\"slots\":4.5"},
                                       {"\"slots\":4,", ""},
                                       {"\"draining\"", "\"gone\""},
                                       {"\"10.0.0.1:8080\"", "\"host:8080\""},
                                       {"\"1200ms\"", "1200"},
                                       {"1780472036029", "1780472036029.5"},
                                       {"1780472036029", "\"now\""}}));
  INFO(what << " -> " << with);
  CHECK_THROWS_AS(DecodeServer("i-1", WithReplacement(kServer, what, with)),
                  Error);
}

TEST_CASE("a malformed item does not affect the others of its page") {
  const StorePage page = DecodeEvents(
      R"({"events":[{"key":"a","value":"aGk=","revision":4},)"
      R"({"key":"b","value":"%%%%","revision":5},)"
      R"({"key":"c","revision":6,"tombstone":true},7],"store_revision":9})");
  REQUIRE(page.items.size() == 2);
  CHECK(page.items[0].value == "hi");
  CHECK(page.items[1].removed);
  CHECK(page.malformed == 2);
  CHECK(page.revision == 9);
  CHECK_THROWS_AS(DecodeEvents("{}"), Error);
  CHECK_THROWS_AS(DecodeListing(R"({"items":{},"store_revision":1})"), Error);
}

TEST_CASE("a server's notices are decoded, values that are not valid ignored") {
  const auto decode = [](int status,
                         std::map<std::string_view, std::string_view> fields) {
    return DecodeNotice(status, [&](std::string_view name) {
      return fields.contains(name) ? fields.at(name) : std::string_view();
    });
  };
  CHECK(decode(200, {}) == ServerNotice());
  CHECK(decode(200, {{"Server-Leaving", "1"}}).leaving);
  for (const char* it : {"0", "-1", "", "yes", "11", "1e0"})
    CHECK_FALSE(decode(200, {{"Server-Leaving", it}}).leaving);
  CHECK(decode(503, {{"Retry-After", "2.5"}}).pause == Duration(2'500));
  CHECK(decode(503, {{"Retry-After", "9999999999999"}}).pause ==
        Duration(600'000));
  CHECK_FALSE(decode(200, {{"Retry-After", "2"}}).pause);
  for (const char* it : {"0", "-3", "nan", "inf", "soon", "1e3", "2s", " 2"})
    CHECK_FALSE(decode(503, {{"Retry-After", it}}).pause);
  CHECK(decode(200, {{"Server-Limit", "2.6"}}).limit == 2.6);
  CHECK(decode(500, {{"Server-Limit", "0"}}).limit == 0);
  CHECK(decode(200, {{"Server-Limit", "99999999999999"}}).limit == 1e6);
  for (const char* it : {"-1", "nan", "inf", "many", "1e3", "2/s"}) {
    const ServerNotice notice = decode(200, {{"Server-Limit", it}});
    CHECK_FALSE(notice.limit);
    CHECK(notice.limit_malformed);
  }
  CHECK_FALSE(decode(200, {}).limit_malformed);
}

TEST_CASE("odd entries of another writer are rejected with Error") {
  const auto with = [](const std::string& key, const std::string& value) {
    boost::json::object entry = boost::json::parse(kServer).as_object();
    std::string text = boost::json::serialize(entry);
    const size_t at = text.find("\"" + key + "\":");
    const size_t from = text.find(':', at) + 1;
    const size_t to = text.find_first_of(",}", from);
    return text.replace(from, to - from, value);
  };
  // No page sets a largest value for these.
  const auto entry = [&](const std::string& key, const std::string& value) {
    return DecodeServer("i", with(key, value));
  };
  CHECK(entry("sequence", "9007199254740993").sequence ==
        9'007'199'254'740'993);
  CHECK(entry("sequence", "123456789012345678901234567890").sequence ==
        std::numeric_limits<uint64_t>::max());
  CHECK(entry("slots", "1e9").slots == 1'000'000'000);
  CHECK(entry("slots", "99999999999").slots == std::numeric_limits<int>::max());
  for (const char* it : {"\"1e300s\"", "\"99999999999s\""}) {
    CHECK(entry("cold_left", it).cold_left ==
          Duration::Seconds(365 * 24 * 3'600));
  }
  CHECK_NOTHROW(DecodeServer("i", with("sequence", "7")));
  const std::string deep(100'000, '[');
  const std::vector<std::pair<std::string, std::string>> odd = {
      {"version", deep},
      {"sequence", deep + std::string(100'000, ']')},
      {"sequence", "-1"},
      {"sequence", "1.5"},
      {"sequence", "1e-1"},
      {"slots", "-99999999999"},
      {"born", "99999999999999999999"},
      {"born", "9223372036854775807"},
      {"born", "1.5"},
      {"cold_left", "\"-1e300s\""},
      {"cold_left", "\"nans\""},
      {"cold_left", "\"infs\""},
      {"address", "\"10.0.0.1:99999\""},
      {"address", "\"10.0.0.1:-1\""},
      {"address", "\"10.0.0.1:0\""},
      {"address", "\"10.0.0.999:80\""},
      {"address", "{}"},
      {"zone", "null"},
  };
  for (const auto& [key, value] : odd) {
    INFO(key << ": " << value.substr(0, 40));
    CHECK_THROWS_AS(DecodeServer("i", with(key, value)), Error);
  }
  CHECK_THROWS_AS(DecodeServer("i", deep), Error);
  CHECK_THROWS_AS(DecodeServer("i", std::string("\0\xff\xfe{", 4)), Error);
}

TEST_CASE("mutated texts are decoded or rejected with Error") {
  std::mt19937_64 random(20261204);
  for (int i = 0; i < 2'000; ++i) {
    std::string server = kServer;
    for (uint64_t n = 1 + random() % 3; n > 0; --n)
      server[random() % server.size()] = static_cast<char>(random());
    try {
      DecodeServer("i", server);
    } catch (const Error&) {
      SUCCEED();
    }
  }
}

}  // namespace toucanknot::platform
