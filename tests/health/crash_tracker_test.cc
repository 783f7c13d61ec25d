#include "include/health/crash_tracker.h"

#include <catch2/catch.hpp>

namespace toucanknot {
namespace {

Instant At(int64_t ms) {
  return Instant(1'000'000 + ms);
}

}  // namespace

TEST_CASE("only a request that crashes two servers is refused") {
  CrashTracker tracker;
  tracker.OnBroken(1, 10, At(0));
  CHECK_FALSE(tracker.IsCrasher(1, At(0)));
  // Two crashes of the same server count once.
  tracker.RecordCrash({1, 10, At(10)}, At(10));
  CHECK_FALSE(tracker.IsCrasher(1, At(10)));
  // Reported by another host.
  tracker.RecordCrash({1, 11, At(20)}, At(20));
  CHECK(tracker.IsCrasher(1, At(20)));
  CHECK(tracker.IsCrasher(1, At(19) + CrashTracker::kRefuseFor));
  CHECK_FALSE(tracker.IsCrasher(1, At(20) + CrashTracker::kRefuseFor));
  tracker.OnBroken(2, 10, At(2'000));
  tracker.OnCompleted(2, At(2'050));
  tracker.RecordCrash({2, 11, At(2'100)}, At(2'100));
  CHECK_FALSE(tracker.IsCrasher(2, At(2'100)));
  // Only this host's own crashes are sent to the others.
  REQUIRE(tracker.OwnCrashesSince(At(1'000)).size() == 1);
  CHECK(tracker.OwnCrashesSince(At(1'000)).front().fingerprint == 2);
}

TEST_CASE("no request is blamed when many servers crash at once") {
  CrashTracker tracker;
  CHECK_FALSE(tracker.OnBroken(1, 10, At(0)).excused);
  CHECK_FALSE(tracker.OnBroken(2, 11, At(1)).excused);
  CHECK(tracker.OnBroken(1, 12, At(2)).excused);
  CHECK(tracker.OnBroken(2, 13, At(3)).excused);
  CHECK_FALSE(tracker.IsCrasher(1, At(3)));
  CHECK_FALSE(tracker.IsCrasher(2, At(3)));
}

TEST_CASE("a request that crashes servers is refused while others crash too") {
  CrashTracker tracker;
  uint32_t server = 100;
  // Three requests crash servers in turn, and others break beside them.
  for (int64_t ms = 0; ms < 300; ms += 100) {
    for (uint64_t it = 1; it <= 3; ++it) {
      tracker.OnBroken(it, ++server, At(ms));
      tracker.OnBroken(1'000 + server, server, At(ms + 1));
    }
  }
  for (uint64_t it = 1; it <= 3; ++it)
    CHECK(tracker.IsCrasher(it, At(300)));
  for (uint64_t it = 101; it <= server; ++it)
    CHECK_FALSE(tracker.IsCrasher(1'000 + it, At(300)));
}

TEST_CASE("a repeated report does not undo a completed response") {
  CrashTracker tracker;
  tracker.RecordCrash({1, 10, At(0)}, At(50));
  tracker.OnCompleted(1, At(100));
  // The same crash once more, and one that was seen before the response.
  tracker.RecordCrash({1, 10, At(0)}, At(250));
  tracker.RecordCrash({1, 11, At(90)}, At(260));
  CHECK(tracker.CrashedServers(1) == 0);
  tracker.RecordCrash({1, 12, At(300)}, At(310));
  CHECK_FALSE(tracker.IsCrasher(1, At(310)));
}

TEST_CASE("a request that completed shortly before needs one more crash") {
  CrashTracker tracker;
  tracker.OnCompleted(1, At(0));
  CHECK(tracker.OnBroken(1, 10, At(500)).excused);
  tracker.OnBroken(1, 11, At(3'000));
  CHECK_FALSE(tracker.IsCrasher(1, At(3'000)));
  tracker.OnBroken(1, 12, At(6'000));
  CHECK(tracker.IsCrasher(1, At(6'000)));
}

TEST_CASE("a request refused before is refused again by one more crash") {
  CrashTracker tracker;
  tracker.OnBroken(1, 10, At(0));
  tracker.OnBroken(1, 11, At(10));
  const Instant later = At(20) + CrashTracker::kRefuseFor;
  CHECK_FALSE(tracker.IsCrasher(1, later));
  tracker.OnBroken(1, 12, later);
  CHECK(tracker.IsCrasher(1, later));
  tracker.OnCompleted(1, later + Duration(5));
  CHECK_FALSE(tracker.IsCrasher(1, later + Duration(5)));
}

}  // namespace toucanknot
