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
  it.OnArrived("a", "server-0", TimeAt(1));
  it.OnRun("a", 7, "server-0", TimeAt(2));
  CHECK(it.HasArrived("a"));
  CHECK(it.HostOf("a") == "host-0");
  it.Finish();
  CHECK(it.violations().empty());
}

TEST_CASE("a second run is a violation only if not idempotent") {
  InvariantChecker once({});
  Send(once, "a", false);
  once.OnRun("a", 7, "server-0", TimeAt(2));
  once.OnRun("a", 7, "server-0", TimeAt(2));
  CHECK(FoundOnly(once, InvariantViolation::kRanTwice));
  InvariantChecker often({});
  Send(often, "a", true);
  often.OnRun("a", 7, "server-0", TimeAt(2));
  often.OnRun("a", 7, "server-0", TimeAt(2));
  often.Finish();
  CHECK(often.violations().empty());
}

TEST_CASE("a rejection is a violation both after and before a run") {
  InvariantChecker after({});
  Send(after, "a", false);
  after.OnRun("a", 7, "server-0", TimeAt(2));
  after.OnRejected("a", TimeAt(3));
  CHECK(FoundOnly(after, InvariantViolation::kRejectedButRan));
  InvariantChecker before({});
  Send(before, "a", false);
  before.OnRejected("a", TimeAt(3));
  before.OnRun("a", 7, "server-0", TimeAt(2));
  CHECK(FoundOnly(before, InvariantViolation::kRejectedButRan));
}

TEST_CASE("a run of an unknown or altered request is a violation") {
  InvariantChecker unknown({});
  unknown.OnRun("a", 7, "server-0", TimeAt(2));
  CHECK(FoundOnly(unknown, InvariantViolation::kUnknownRequest));
  InvariantChecker changed({});
  Send(changed, "a", true);
  changed.OnRun("a", 8, "server-0", TimeAt(2));
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
    it.OnArrived(std::to_string(i), "server-0", TimeAt(1));
    it.OnArrived(std::to_string(i), "server-0", TimeAt(2));
  }
  it.Finish();
  CHECK(it.violations().size() == (retries > 25 ? 1 : 0));
}

TEST_CASE("requests on more servers than attempts are allowed three times") {
  const int requests = GENERATE(3, 4);
  const bool lost = GENERATE(false, true);
  InvariantChecker it({});
  for (int i = 0; i < requests; ++i) {
    const std::string id = std::to_string(i);
    Send(it, id, true);
    for (const char* server : {"a", "b", "c", "c"})
      it.OnRun(id, 7, server, TimeAt(10));
  }
  // A server that is lost meanwhile doesn't count, a later loss changes
  // nothing.
  it.OnServerLost("b", TimeAt(lost ? 500 : 60'000));
  it.Finish();
  CHECK(it.violations().size() == (requests > 3 && !lost ? 4U : 0U));
  CHECK(it.violating_requests().contains("0") == (requests > 3 && !lost));
}

TEST_CASE("a violation is counted and its request's events are kept") {
  InvariantChecker it({});
  Send(it, "a", false);
  it.OnArrived("a", "server-0", TimeAt(1));
  it.OnRun("a", 7, "server-0", TimeAt(2));
  it.OnRejected("a", TimeAt(3));
  CHECK(it.violation_counts().at(InvariantViolation::kRejectedButRan) == 1);
  CHECK(it.violating_requests().contains("a"));
  std::string events;
  for (const InvariantChecker::Event& e : it.EventsOf("a"))
    events += e.what + " " + e.place + ";";
  CHECK(events == "sent host-0;arrived server-0;ran server-0;rejected host-0;");
}

}  // namespace toucanknot::soak
