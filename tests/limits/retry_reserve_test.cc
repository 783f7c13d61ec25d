// Plays servers that shed a part of their load, and counts what callers get.

#include "include/limits/retry_reserve.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>

#include "include/limits/retry_budget.h"

namespace toucanknot {
namespace {

constexpr double kRatio = 0.2;
constexpr int kRequests = 40'000;

struct ShedOutcome {
  double served = 0;
  // Of first requests that were turned away, the part sent on at once.
  double sent_on = 0;
};

// One request a millisecond; a caller that is refused returns once, 50 ms
// later. Each attempt is turned away with probability `shed`.
ShedOutcome PlayShedding(double shed, bool reserve) {
  std::mt19937_64 random(1);
  std::bernoulli_distribution turned_away(shed);
  RetryBudget budget(kRatio);
  RetryReserve returns;
  std::deque<int64_t> coming_back;
  int served = 0;
  int first_rejected = 0;
  int first_sent_on = 0;
  const auto ask = [&](Instant now, bool returned) {
    budget.OnSuccess(now);
    for (bool first = true;; first = false) {
      const bool rejected = turned_away(random);
      returns.OnAttempt(rejected);
      if (!rejected) {
        ++served;
        return true;
      }
      const double kept = returned || !reserve ? 0 : returns.Part(kRatio);
      const bool again = budget.TryTake(now, kept);
      if (!returned && first) {
        ++first_rejected;
        first_sent_on += again ? 1 : 0;
      }
      if (!again)
        return false;
    }
  };
  for (int64_t ms = 1; ms <= kRequests; ++ms) {
    if (!ask(Instant(ms), false))
      coming_back.push_back(ms + 50);
    while (!coming_back.empty() && coming_back.front() <= ms) {
      coming_back.pop_front();
      ask(Instant(ms), true);
    }
  }
  return {static_cast<double>(served) / kRequests,
          static_cast<double>(first_sent_on) / first_rejected};
}

}  // namespace

TEST_CASE("while servers shed most requests, retries serve who came back") {
  const ShedOutcome with = PlayShedding(0.55, true);
  const ShedOutcome without = PlayShedding(0.55, false);
  INFO("served " << with.served << ", without a reserve " << without.served);
  CHECK(with.served > without.served + 0.02);
}

TEST_CASE("on a calm day whoever is turned away is sent on at once") {
  for (const double shed : {0.02, 0.08}) {
    const ShedOutcome out = PlayShedding(shed, true);
    INFO("sent on " << out.sent_on);
    CHECK(out.sent_on > 0.95);
    CHECK(out.served > 0.99);
  }
}

TEST_CASE("a service that allows no retries keeps them all") {
  CHECK(RetryReserve().Part(0) == 1);
}

}  // namespace toucanknot
