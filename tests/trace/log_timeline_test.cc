#include "include/trace/log_timeline.h"

#include <catch2/catch.hpp>
#include <sstream>
#include <string>

namespace toucanknot {
namespace {

// Two hosts' logs: a request that broke when its server crashed, one that was
// refused, and what happened around them.
constexpr char kLog[] =
    R"({"unix_ms":1000,"host":"h1","event":"config","version":3,"before":0})"
    "\n"
    R"(   7.2 h1 {"unix_ms":9000,"host":"h1","event":"request","id":"a1",)"
    R"("status":502,"took_ms":120,"sent":1,"may_have_run":true,)"
    R"("caller_left":false,"story":" s1:broken:110ms busy:1.0"})"
    "\n"
    R"({"unix_ms":9400,"host":"h1","event":"server","change":"gone",)"
    R"("server":"s1"})"
    "\n"
    R"({"unix_ms":9500,"host":"h2","event":"server","change":"gone",)"
    R"("server":"s2"})"
    "\n"
    R"({"unix_ms":8000,"host":"h2","event":"store","away":true})"
    "\n"
    R"({"unix_ms":8900,"host":"h1","event":"store","away":true})"
    "\n"
    R"({"unix_ms":9100,"host":"h2","event":"request","id":"b2","status":503,)"
    R"("took_ms":0,"sent":0,"may_have_run":false,)"
    R"("story":" refused:too-late queued:4"})"
    "\n"
    R"({"unix_ms":9200,"host":"h2","event":"req)"
    "\n"
    "no log line\n";

LogTimeline Story() {
  LogTimeline story;
  std::istringstream in(kLog);
  story.Read(in);
  return story;
}

std::string Told(const std::string& id) {
  std::string out;
  for (const std::string& it : Story().Conclusions(id))
    out += it + "\n";
  return out;
}

}  // namespace

TEST_CASE("lines are read in order; cut ones and others are counted") {
  const LogTimeline story = Story();
  CHECK(story.lines() == 7);
  CHECK(story.unreadable() == 2);
}

TEST_CASE("a request's story has its line, its servers and its hosts") {
  const LogTimeline story = Story();
  const auto lines = story.Of("a1");
  REQUIRE(lines.size() == 3);
  CHECK(lines[0]->event == "store");
  CHECK(lines[0]->host == "h1");
  CHECK(lines[1]->event == "request");
  CHECK(lines[2]->event == "server");
  CHECK(FormatLogLine(*lines[1], 8'900).find("+100 ms  h1  request") !=
        std::string::npos);
  CHECK(story.Of("unknown").empty());
}

TEST_CASE("a server's story has its changes and its requests") {
  const LogTimeline story = Story();
  const auto lines = story.Of("s1");
  REQUIRE(lines.size() == 2);
  CHECK(lines[0]->event == "request");
  CHECK(lines[1]->event == "server");
}

TEST_CASE("conclusions say how it ended and why") {
  CHECK(Told("a1") ==
        "h1 answered 502 after 120 ms; it may have run.\n"
        "s1 broke the connection, or sent what is no answer.\n"
        "h1 learned 400 ms after: gone.\n");
  CHECK(Told("b2") ==
        "h2 answered 503 after 0 ms; it did not run.\n"
        "no backend server could have answered in time.\n");
}

}  // namespace toucanknot
