#include "soak/invariant_checker.h"

#include <catch2/catch.hpp>
#include <string>

namespace toucanknot::soak {
namespace {

Instant At(int64_t ms) {
  return Instant(1'000'000 + ms);
}

// Whether exactly one violation was found, and is of that kind.
bool Found(InvariantChecker& ledger, InvariantViolation breach) {
  ledger.Finish();
  return ledger.breaches().size() == 1 &&
         ledger.breaches()[0].starts_with(
             kInvariantViolationNames.Name(breach));
}

void Send(InvariantChecker& ledger, const std::string& id, bool idempotent) {
  ledger.OnSent(id, "s", idempotent, "host-0", 7, At(0));
}

}  // namespace

TEST_CASE("an ordinary request violates no invariant") {
  InvariantChecker it({});
  Send(it, "a", false);
  it.OnArrived("a", At(1));
  it.OnRun("a", 7);
  CHECK(it.HasArrived("a"));
  CHECK(it.HostOf("a") == "host-0");
  it.Finish();
  CHECK(it.breaches().empty());
}

TEST_CASE("a second run is a violation only if not idempotent") {
  InvariantChecker once({});
  Send(once, "a", false);
  once.OnRun("a", 7);
  once.OnRun("a", 7);
  CHECK(Found(once, InvariantViolation::kRanTwice));
  InvariantChecker often({});
  Send(often, "a", true);
  often.OnRun("a", 7);
  often.OnRun("a", 7);
  often.Finish();
  CHECK(often.breaches().empty());
}

TEST_CASE("a rejection is a violation both after and before a run") {
  InvariantChecker after({});
  Send(after, "a", false);
  after.OnRun("a", 7);
  after.OnRefused("a");
  CHECK(Found(after, InvariantViolation::kRefusedAndRan));
  InvariantChecker before({});
  Send(before, "a", false);
  before.OnRefused("a");
  before.OnRun("a", 7);
  CHECK(Found(before, InvariantViolation::kRefusedAndRan));
}

TEST_CASE("a run of an unknown or altered request is a violation") {
  InvariantChecker unknown({});
  unknown.OnRun("a", 7);
  CHECK(Found(unknown, InvariantViolation::kUnasked));
  InvariantChecker changed({});
  Send(changed, "a", true);
  changed.OnRun("a", 8);
  CHECK(Found(changed, InvariantViolation::kUnasked));
}

TEST_CASE("three requests may arrive after a disconnect, four may not") {
  const int late = GENERATE(3, 4);
  InvariantChecker it({});
  for (int i = 0; i < late; ++i) {
    const std::string id = std::to_string(i);
    Send(it, id, true);
    CHECK_FALSE(it.LeftAt(id));
    it.OnLeft(id, At(80));
    CHECK(it.LeftAt(id) == At(80));
    it.OnSentAfterLeft(id, Duration(700));
  }
  CHECK(Found(it, InvariantViolation::kSentAfterLeft) == (late > 3));
}

TEST_CASE("only retries beyond the budget are a violation") {
  const int repeats = GENERATE(25, 26);
  InvariantChecker it({0.2, 5, Duration(10'000)});
  for (int i = 0; i < 100; ++i)
    Send(it, std::to_string(i), true);
  for (int i = 0; i < repeats; ++i) {
    it.OnArrived(std::to_string(i), At(1));
    it.OnArrived(std::to_string(i), At(2));
  }
  it.Finish();
  CHECK(it.breaches().size() == (repeats > 25 ? 1 : 0));
}

}  // namespace toucanknot::soak
