#include "include/trace/log_timeline.h"

#include <catch2/catch.hpp>
#include <sstream>
#include <string>

namespace toucanknot {
namespace {

// Logs of two hosts: a request that broke when its server crashed, one that was
// refused, and events around them.
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

LogTimeline MakeTimeline() {
  LogTimeline timeline;
  std::istringstream in(kLog);
  timeline.Read(in);
  return timeline;
}

std::string ConclusionsFor(const std::string& id) {
  std::string out;
  for (const std::string& it : MakeTimeline().Conclusions(id))
    out += it + "\n";
  return out;
}

}  // namespace

TEST_CASE("lines are read in order; unreadable ones are counted") {
  const LogTimeline timeline = MakeTimeline();
  CHECK(timeline.lines() == 7);
  CHECK(timeline.unreadable() == 2);
}

TEST_CASE("the timeline of a request has its line, its servers and its hosts") {
  const LogTimeline timeline = MakeTimeline();
  const auto lines = timeline.LinesFor("a1");
  REQUIRE(lines.size() == 3);
  CHECK(lines[0]->event == "store");
  CHECK(lines[0]->host == "h1");
  CHECK(lines[1]->event == "request");
  CHECK(lines[2]->event == "server");
  CHECK(FormatLogLine(*lines[1], 8'900).find("+100 ms  h1  request") !=
        std::string::npos);
  CHECK(timeline.LinesFor("unknown").empty());
}

TEST_CASE("the timeline of a server has its changes and its requests") {
  const LogTimeline timeline = MakeTimeline();
  const auto lines = timeline.LinesFor("s1");
  REQUIRE(lines.size() == 2);
  CHECK(lines[0]->event == "request");
  CHECK(lines[1]->event == "server");
}

TEST_CASE("conclusions tell how a request ended and why") {
  CHECK(ConclusionsFor("a1") ==
        "h1 answered 502 after 120 ms; it may have run.\n"
        "s1 broke the connection or sent an invalid response.\n"
        "h1 learned 400 ms after: gone.\n");
  CHECK(ConclusionsFor("b2") ==
        "h2 answered 503 after 0 ms; it did not run.\n"
        "no backend server could have responded in time.\n");
}

}  // namespace toucanknot
