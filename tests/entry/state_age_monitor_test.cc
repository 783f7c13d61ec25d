// Hosts that were behind the store said nothing of it in their logs.

#include "include/entry/state_age_monitor.h"

#include <catch2/catch.hpp>

namespace toucanknot {

TEST_CASE("a host that is behind the store says so until it is not") {
  const Instant start(100'000);
  const Duration max_age{4'000};
  StateAgeMonitor monitor(max_age, start);
  // It never knew the state.
  CHECK_FALSE(monitor.Update({}, start + max_age));
  const Instant late = start + max_age + Duration(1);
  auto report = monitor.Update({}, late);
  REQUIRE(report);
  CHECK(report->behind);
  CHECK(report->age == Duration(4'001));
  CHECK_FALSE(monitor.Update({}, late + Duration(4'999)));
  CHECK(monitor.Update({}, late + StateAgeMonitor::kRepeat));
  const Instant known = late + Duration(5'500);
  report = monitor.Update(known, known + Duration(500));
  REQUIRE(report);
  CHECK_FALSE(report->behind);
  CHECK_FALSE(monitor.Update(known, known + max_age));
  CHECK(monitor.Update(known, known + max_age + Duration(1))->behind);
}

}  // namespace toucanknot
