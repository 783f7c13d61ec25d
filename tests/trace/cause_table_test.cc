#include "include/trace/cause_table.h"

#include <catch2/catch.hpp>
#include <sstream>
#include <string>

namespace toucanknot {
namespace {

LogLine RequestLine(int64_t unix_ms,
                    const std::string& id,
                    int status,
                    const std::string& attempts) {
  LogLine line;
  line.unix_ms = unix_ms;
  line.event = kRequestEvent;
  line.fields = {{"id", id}, {"status", status}, {"story", attempts}};
  return line;
}

}  // namespace

TEST_CASE("the cause of a request without success") {
  CHECK(CauseOf(RequestLine(0, "a", 503,
                            " refused:too-late queued:0 filled:0.90")) ==
        "refused: too-late");
  CHECK(CauseOf(RequestLine(0, "a", 502, " s1:broken:12ms busy:1.0")) ==
        "broken");
  CHECK(CauseOf(RequestLine(0, "a", 503,
                            " s1:not-connected:12ms busy:1.0 "
                            "refused:too-late queued:0")) ==
        "not-connected, then refused: too-late");
  CHECK(CauseOf(RequestLine(0, "a", 404, "")) == "status 404");
  LogLine left = RequestLine(0, "a", 502, " s1:cancelled:12ms busy:1.0");
  left.fields["caller_left"] = true;
  CHECK(CauseOf(left) == "the caller left");
}

TEST_CASE("causes by window, the most frequent first") {
  CauseTable table(Duration(2'000));
  CHECK(table.Causes().empty());
  CHECK(table.first_window_ms() == 0);
  table.Add(RequestLine(10'500, "ok", 200, " s1:answered:12ms"));
  table.Add(RequestLine(14'500, "late2", 503, " refused:too-late queued:0"));
  table.Add(RequestLine(11'000, "late1", 503, " refused:too-late queued:0"));
  table.Add(RequestLine(12'100, "lost", 502, " s1:broken:12ms"));
  LogLine other;
  other.unix_ms = 1;
  other.event = "server";
  table.Add(other);
  const std::vector<CauseTable::Cause> causes = table.Causes();
  REQUIRE(causes.size() == 2);
  CHECK(table.first_window_ms() == 10'000);
  CHECK(causes[0].name == "refused: too-late");
  CHECK(causes[0].first_id == "late1");
  CHECK(causes[0].by_window == std::vector<int>{1, 0, 1});
  CHECK(causes[1].by_window == std::vector<int>{0, 1});
}

TEST_CASE("an absurd time does not take the memory of all windows") {
  CauseTable table(Duration(1));
  table.Add(RequestLine(0, "a", 503, " refused:too-late queued:0"));
  table.Add(RequestLine(INT64_MAX, "b", 503, " refused:too-late queued:0"));
  REQUIRE(table.Causes().size() == 1);
  CHECK(table.Causes()[0].by_window.size() == 10'000);
}

TEST_CASE("lines that cannot be read are counted") {
  std::istringstream in(
      "9.5 h1 {\"unix_ms\":9000,\"host\":\"h1\",\"event\":\"request\"}\n"
      "\n"
      "cut {\"unix_ms\":90\n"
      "no line of a log\n");
  int lines = 0;
  CHECK(ReadLogLines(in, [&](const LogLine& line) {
          ++lines;
          CHECK(line.host == "h1");
        }) == 2);
  CHECK(lines == 1);
}

}  // namespace toucanknot
