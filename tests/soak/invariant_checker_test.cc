#include "soak/invariant_checker.h"

#include <catch2/catch.hpp>
#include <string>

namespace toucanknot::soak {
namespace {

Instant TimeAt(int64_t ms) {
  return Instant(1'000'000 + ms);
}

// Whether exactly one violation was found, and is of that kind.
bool FoundOnly(InvariantChecker& checker, InvariantViolation violation) {
  checker.Finish();
  return checker.violations().size() == 1 &&
         checker.violations()[0].starts_with(
             kInvariantViolationNames.Name(violation));
}

void Send(InvariantChecker& checker, const std::string& id, bool idempotent) {
  checker.OnSent(id, "s", idempotent, "host-0", 7, TimeAt(0));
}

}  // namespace

TEST_CASE("an ordinary request violates no invariant") {
  InvariantChecker it({});
  Send(it, "a", false);
  it.OnArrived("a", TimeAt(1));
  it.OnRun("a", 7);
  CHECK(it.HasArrived("a"));
  CHECK(it.HostOf("a") == "host-0");
  it.Finish();
  CHECK(it.violations().empty());
}

TEST_CASE("a second run is a violation only if not idempotent") {
  InvariantChecker once({});
  Send(once, "a", false);
  once.OnRun("a", 7);
  once.OnRun("a", 7);
  CHECK(FoundOnly(once, InvariantViolation::kRanTwice));
  InvariantChecker often({});
  Send(often, "a", true);
  often.OnRun("a", 7);
  often.OnRun("a", 7);
  often.Finish();
  CHECK(often.violations().empty());
}

TEST_CASE("a rejection is a violation both after and before a run") {
  InvariantChecker after({});
  Send(after, "a", false);
  after.OnRun("a", 7);
  after.OnRejected("a");
  CHECK(FoundOnly(after, InvariantViolation::kRejectedButRan));
  InvariantChecker before({});
  Send(before, "a", false);
  before.OnRejected("a");
  before.OnRun("a", 7);
  CHECK(FoundOnly(before, InvariantViolation::kRejectedButRan));
}

TEST_CASE("a run of an unknown or altered request is a violation") {
  InvariantChecker unknown({});
  unknown.OnRun("a", 7);
  CHECK(FoundOnly(unknown, InvariantViolation::kUnknownRequest));
  InvariantChecker changed({});
  Send(changed, "a", true);
  changed.OnRun("a", 8);
  CHECK(FoundOnly(changed, InvariantViolation::kUnknownRequest));
}

TEST_CASE("three requests may arrive after a disconnect, four may not") {
  const int late = GENERATE(3, 4);
  InvariantChecker it({});
  for (int i = 0; i < late; ++i) {
    const std::string id = std::to_string(i);
    Send(it, id, true);
    CHECK_FALSE(it.DisconnectedAt(id));
    it.OnDisconnected(id, TimeAt(80));
    CHECK(it.DisconnectedAt(id) == TimeAt(80));
    it.OnSentAfterDisconnect(id, Duration(700));
  }
  CHECK(FoundOnly(it, InvariantViolation::kSentAfterDisconnect) == (late > 3));
}

TEST_CASE("only retries beyond the budget are a violation") {
  const int retries = GENERATE(25, 26);
  InvariantChecker it({0.2, 5, Duration(10'000)});
  for (int i = 0; i < 100; ++i)
    Send(it, std::to_string(i), true);
  for (int i = 0; i < retries; ++i) {
    it.OnArrived(std::to_string(i), TimeAt(1));
    it.OnArrived(std::to_string(i), TimeAt(2));
  }
  it.Finish();
  CHECK(it.violations().size() == (retries > 25 ? 1 : 0));
}

}  // namespace toucanknot::soak
