// `toucanknot where`: its exit codes, and that a key is shown to nobody but the
// host that is asked.

#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "include/entry/explain_query.h"
#include "tests/cli/cli_fixture.h"

namespace toucanknot {
namespace {

constexpr char kHost[] = "127.0.0.1:9";
constexpr char kTarget[] = "127.0.0.1:9/explain?host=a.example&path=%2Fx";
constexpr char kSent[] =
    R"({"config":3,"route":"/x/","access":{"workspace":"w","cap":{"used":2}},)"
    R"("targets":[{"service":"s","weighed":[{"server":"i-1","busy":1.5}]}],)"
    R"("decision":{"step":"send","server":"i-1"}})";
constexpr char kRefused[] =
    R"({"config":3,"decision":{"step":"refuse","status":429,)"
    R"("refusal":"over-cap","retry_after_ms":400}})";

}  // namespace

TEST_CASE("where prints the decision and the figures behind it") {
  CliFixture it;
  it.responses[kTarget] = kSent;
  CHECK(it.RunBare({"where", kHost, "--host", "a.example", "--path", "/x"}) ==
        0);
  CHECK(it.Prints("decision:  step send  server i-1"));
  CHECK(it.Prints("server i-1  busy 1.5"));
  CHECK(it.Prints("used 2"));
  CHECK(it.RunBare({"where", kHost, "--host", "a.example", "--path", "/x",
                    "--json"}) == 0);
  CHECK(boost::json::parse(it.out()) == boost::json::parse(kSent));
}

TEST_CASE("where tells a refusal, a usage error and no answer apart") {
  CliFixture it;
  it.responses[kTarget] = kRefused;
  CHECK(it.RunBare({"where", kHost, "--host", "a.example", "--path", "/x"}) ==
        1);
  CHECK(it.Prints("over-cap  retry_after_ms 400"));
  CHECK(it.RunBare({"where", kHost, "--host", "a.example"}) == 2);
  CHECK(it.RunBare({"where", "nowhere", "--host", "a", "--path", "/x"}) == 2);
  CHECK(it.RunBare({"where", kHost, "--host", "b", "--path", "/x"}) == 2);
  it.responses[kTarget] = "not JSON";
  CHECK(it.RunBare({"where", kHost, "--host", "a.example", "--path", "/x"}) ==
        2);
}

TEST_CASE("where sends a key in a header field and prints it nowhere") {
  CliFixture it;
  it.responses[kTarget] = kSent;
  const TempFile key("secret-key-1\n");
  CHECK(it.RunBare({"where", kHost, "--host", "a.example", "--path", "/x",
                    "--key-file", key.path()}) == 0);
  CHECK(it.last_request.target.find("secret-key-1") == std::string::npos);
  REQUIRE(it.last_request.fields.size() == 1);
  CHECK(it.last_request.fields[0].name == ExplainQuery::kKeyField);
  CHECK(it.last_request.fields[0].value == "secret-key-1");
  CHECK_FALSE(it.Prints("secret-key-1"));
}

}  // namespace toucanknot
