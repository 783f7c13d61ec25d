#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "tests/cli/cli_fixture.h"

namespace toucanknot {
namespace {

constexpr char kLog[] =
    R"({"unix_ms":9000,"host":"h1","event":"request","id":"a1","status":503,)"
    R"("took_ms":0,"sent":0,"may_have_run":false,)"
    R"("story":" refused:no-server queued:0"})"
    "\n";

}  // namespace

TEST_CASE("trace shows a request's timeline and its outcome") {
  CliFixture it;
  const TempFile log(kLog);
  CHECK(it.RunBare({"trace", "a1", log.path()}) == 0);
  CHECK(it.Prints("h1  request"));
  CHECK(it.Prints("it did not run"));
  CHECK(it.Prints("no backend server of the service took requests"));
}

TEST_CASE("trace as JSON") {
  CliFixture it;
  const TempFile log(kLog);
  CHECK(it.RunBare({"trace", "a1", log.path(), "--json"}) == 0);
  const boost::json::value out = boost::json::parse(it.out());
  CHECK(out.at("lines").as_array().size() == 1);
  CHECK(out.at("lines").at(0).at("status") == 503);
  CHECK(out.at("conclusions").as_array().size() == 2);
}

TEST_CASE("trace of an unknown id and of missing files") {
  CliFixture it;
  const TempFile log(std::string(kLog) + "cut {\"unix_");
  CHECK(it.RunBare({"trace", "zz", log.path()}) == 1);
  CHECK(it.Prints("none of 1 lines mentions zz"));
  CHECK(it.Prints("1 lines are malformed or truncated"));
  CHECK(it.RunBare({"trace", "a1", "/nonexistent"}) == 2);
  CHECK(it.RunBare({"trace"}) == 2);
}

TEST_CASE("causes of requests without success") {
  CliFixture it;
  const TempFile log(std::string(kLog) + "cut {\"unix_");
  CHECK(it.RunBare({"causes", log.path()}) == 0);
  CHECK(it.Prints("1  refused: no-server  (first a1)"));
  CHECK(it.Prints("1  from +0 s"));
  CHECK(it.Prints("1 lines are malformed or truncated"));
}

TEST_CASE("causes as JSON, with windows of another length") {
  CliFixture it;
  const TempFile log(kLog);
  CHECK(it.RunBare({"causes", log.path(), "--seconds", "5", "--json"}) == 0);
  const boost::json::value out = boost::json::parse(it.out());
  CHECK(out.at("first_window_unix_ms") == 5'000);
  CHECK(out.at("causes").at(0).at("requests") == 1);
}

TEST_CASE("causes with an invalid window") {
  CliFixture it;
  const TempFile log(kLog);
  CHECK(it.RunBare({"causes", log.path(), "--seconds", "0"}) == 2);
  CHECK(it.RunBare({"causes", log.path(), "--seconds", "x"}) == 2);
  CHECK(it.RunBare({"causes", "/nonexistent"}) == 2);
}

}  // namespace toucanknot
