#include "include/attempt/attempt_plan.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <set>

namespace toucanknot {
namespace {

constexpr Instant kNow{0};
constexpr Instant kDeadline{100};
constexpr Duration kHedgeAfter{10};

// A budget of `n` units.
TryAcquireFn BudgetOf(int* n) {
  return [n](Instant) { return *n > 0 && (*n)-- > 0; };
}

AttemptPlan::Options OptionsOf(int* retries, int* hedges) {
  AttemptPlan::Options options;
  options.deadline = kDeadline;
  options.hedge_after = kHedgeAfter;
  options.take_retry = BudgetOf(retries);
  options.take_hedge = BudgetOf(hedges);
  return options;
}

AttemptAction SingleAction(const std::vector<AttemptAction>& actions) {
  REQUIRE(actions.size() == 1);
  return actions.front();
}

}  // namespace

TEST_CASE("the first complete response wins and the other is cancelled") {
  int retries = 1;
  int hedges = 1;
  AttemptPlan plan(OptionsOf(&retries, &hedges));
  const AttemptAction first = SingleAction(plan.Start(kNow));
  CHECK(first.attempt == 1);
  CHECK(first.time_left == Duration(100));
  CHECK(plan.NextWake() == kNow + kHedgeAfter);
  CHECK(plan.OnTime(kNow + Duration(9)).empty());
  const AttemptAction hedge = SingleAction(plan.OnTime(kNow + kHedgeAfter));
  CHECK(hedge.step == AttemptStep::kSend);
  CHECK(hedge.attempt == 2);
  CHECK(hedge.time_left == Duration(90));
  const auto end = plan.OnEnd(2, AttemptEnd::kAnswered, false, Instant(12));
  REQUIRE(end.size() == 2);
  CHECK(end[0].step == AttemptStep::kCancel);
  CHECK(end[0].attempt == 1);
  CHECK(end[1].step == AttemptStep::kDeliver);
  CHECK(end[1].attempt == 2);
  CHECK(plan.OnEnd(1, AttemptEnd::kAnswered, false, Instant(13)).empty());
}

TEST_CASE("retries are limited by the budget, the count and the time") {
  int retries = 1;
  int hedges = 0;
  AttemptPlan plan(OptionsOf(&retries, &hedges));
  plan.Start(kNow);
  CHECK(SingleAction(plan.OnEnd(1, AttemptEnd::kBroken, false, Instant(1)))
            .step == AttemptStep::kSend);
  const AttemptAction end =
      SingleAction(plan.OnEnd(2, AttemptEnd::kTimedOut, false, Instant(2)));
  CHECK(end.step == AttemptStep::kGiveUp);
  CHECK(end.verdict == Verdict::kUnknown);

  retries = 10;
  AttemptPlan many(OptionsOf(&retries, &hedges));
  many.Start(kNow);
  many.OnEnd(1, AttemptEnd::kShed, true, Instant(1));
  many.OnEnd(2, AttemptEnd::kShed, true, Instant(1));
  CHECK(SingleAction(many.OnEnd(3, AttemptEnd::kShed, true, Instant(1))).step ==
        AttemptStep::kDeliver);

  AttemptPlan late(OptionsOf(&retries, &hedges));
  late.Start(kNow);
  CHECK(SingleAction(late.OnEnd(1, AttemptEnd::kBroken, false, Instant(96)))
            .step == AttemptStep::kGiveUp);
}

TEST_CASE("an attempt that was never sent is retried without budget") {
  int none = 0;
  AttemptPlan plan(OptionsOf(&none, &none));
  plan.Start(kNow);
  CHECK(
      SingleAction(plan.OnEnd(1, AttemptEnd::kNotSent, false, kNow)).attempt ==
      2);
  CHECK(
      SingleAction(plan.OnEnd(2, AttemptEnd::kNotSent, false, kNow)).attempt ==
      3);
  const AttemptAction end =
      SingleAction(plan.OnEnd(3, AttemptEnd::kNotSent, false, kNow));
  CHECK(end.step == AttemptStep::kGiveUp);
  CHECK(end.verdict == Verdict::kNotRun);
}

TEST_CASE("a request that broke two connections is not sent again") {
  int retries = 10;
  int hedges = 0;
  AttemptPlan plan(OptionsOf(&retries, &hedges));
  plan.Start(kNow);
  plan.OnEnd(1, AttemptEnd::kBroken, false, kNow);
  CHECK(SingleAction(plan.OnEnd(2, AttemptEnd::kBroken, false, kNow)).step ==
        AttemptStep::kGiveUp);
  CHECK(retries == 9);
}

TEST_CASE("an error is delivered only if the other attempt fails") {
  for (const bool other_succeeds : {true, false}) {
    int retries = 0;
    int hedges = 1;
    AttemptPlan plan(OptionsOf(&retries, &hedges));
    plan.Start(kNow);
    plan.OnTime(kNow + kHedgeAfter);
    CHECK(plan.OnEnd(1, AttemptEnd::kFailed, false, Instant(11)).empty());
    const AttemptAction end = SingleAction(plan.OnEnd(
        2, other_succeeds ? AttemptEnd::kAnswered : AttemptEnd::kBroken, false,
        Instant(12)));
    CHECK(end.step == AttemptStep::kDeliver);
    CHECK(end.attempt == (other_succeeds ? 2 : 1));
    CHECK(end.verdict == Verdict::kRan);
  }
}

TEST_CASE("the verdict is 'not run' only if no attempt may have run") {
  int retries = 1;
  int hedges = 0;
  AttemptPlan plan(OptionsOf(&retries, &hedges));
  plan.Start(kNow);
  plan.OnEnd(1, AttemptEnd::kBroken, false, kNow);
  CHECK(SingleAction(plan.OnEnd(2, AttemptEnd::kShed, true, kNow)).verdict !=
        Verdict::kNotRun);
  AttemptPlan shed(OptionsOf(&hedges, &hedges));
  shed.Start(kNow);
  CHECK(SingleAction(shed.OnEnd(1, AttemptEnd::kShed, true, kNow)).verdict ==
        Verdict::kNotRun);
}

TEST_CASE("the deadline and a caller that left cancel running attempts") {
  int retries = 1;
  int hedges = 1;
  AttemptPlan plan(OptionsOf(&retries, &hedges));
  plan.Start(kNow);
  plan.OnTime(kNow + kHedgeAfter);
  CHECK(plan.NextWake() == kDeadline);
  AttemptPlan left = plan;
  const auto end = plan.OnTime(kDeadline);
  REQUIRE(end.size() == 3);
  CHECK(end[2].step == AttemptStep::kGiveUp);
  CHECK(end[2].verdict == Verdict::kUnknown);
  CHECK(left.OnCallerGone().size() == 2);
  CHECK(left.OnTime(kDeadline).empty());
  CHECK(SingleAction(AttemptPlan(OptionsOf(&retries, &hedges)).Start(kDeadline))
            .verdict == Verdict::kNotRun);
}

TEST_CASE("random events: one end, bounded attempts, budgets respected") {
  rc::check("attempt plan", [] {
    const int all_retries = *rc::gen::inRange(0, 4);
    const int all_hedges = *rc::gen::inRange(0, 2);
    int retries = all_retries;
    int hedges = all_hedges;
    AttemptPlan plan(OptionsOf(&retries, &hedges));
    std::set<int> running;
    int ends = 0;
    int sent = 0;
    Instant now = kNow;
    const auto apply = [&](const std::vector<AttemptAction>& actions) {
      for (const AttemptAction& it : actions) {
        RC_ASSERT(ends == 0);
        if (it.step == AttemptStep::kSend) {
          ++sent;
          RC_ASSERT(it.time_left > Duration(0));
          RC_ASSERT(running.insert(it.attempt).second);
        } else if (it.step == AttemptStep::kCancel) {
          RC_ASSERT(running.erase(it.attempt) == 1);
        } else {
          ++ends;
        }
      }
    };
    apply(plan.Start(now));
    while (now < kDeadline) {
      now = now + Duration(*rc::gen::inRange(0, 20));
      if (*rc::gen::arbitrary<bool>() && !running.empty()) {
        const int attempt = *running.begin();
        const auto end = static_cast<AttemptEnd>(*rc::gen::inRange(0, 6));
        running.erase(attempt);
        apply(plan.OnEnd(attempt, end, *rc::gen::arbitrary<bool>(), now));
      }
      apply(plan.OnTime(now));
      now = now + Duration(1);
    }
    apply(plan.OnTime(now));
    RC_ASSERT(ends == 1);
    RC_ASSERT(running.empty());
    RC_ASSERT(sent <= 3);
    RC_ASSERT(retries >= 0 && hedges >= 0);
  });
}

}  // namespace toucanknot
