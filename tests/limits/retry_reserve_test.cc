// Simulates servers that shed a part of their load, and counts the requests
// served.

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
  // The share of rejected first attempts that were retried at once.
  double retried = 0;
};

// One request a millisecond; a caller that is refused returns once, 50 ms
// later. Each attempt is rejected with probability `shed`.
ShedOutcome SimulateShedding(double shed, bool reserve) {
  std::mt19937_64 random(1);
  std::bernoulli_distribution rejects(shed);
  RetryBudget budget(kRatio);
  RetryReserve retry_reserve;
  std::deque<int64_t> returning;
  int served = 0;
  int first_rejected = 0;
  int first_retried = 0;
  const auto send = [&](Instant now, bool returned) {
    budget.OnSuccess(now);
    for (bool first = true;; first = false) {
      const bool rejected = rejects(random);
      retry_reserve.OnAttempt(rejected);
      if (!rejected) {
        ++served;
        return true;
      }
      const double kept =
          returned || !reserve ? 0 : retry_reserve.ReservedShare(kRatio);
      const bool again = budget.TryTake(now, kept);
      if (!returned && first) {
        ++first_rejected;
        first_retried += again ? 1 : 0;
      }
      if (!again)
        return false;
    }
  };
  for (int64_t ms = 1; ms <= kRequests; ++ms) {
    if (!send(Instant(ms), false))
      returning.push_back(ms + 50);
    while (!returning.empty() && returning.front() <= ms) {
      returning.pop_front();
      send(Instant(ms), true);
    }
  }
  return {static_cast<double>(served) / kRequests,
          static_cast<double>(first_retried) / first_rejected};
}

}  // namespace

TEST_CASE("while servers shed most requests, retries serve returning callers") {
  const ShedOutcome with = SimulateShedding(0.55, true);
  const ShedOutcome without = SimulateShedding(0.55, false);
  INFO("served " << with.served << ", without a reserve " << without.served);
  CHECK(with.served > without.served + 0.02);
}

TEST_CASE("under normal load a rejected request is retried at once") {
  for (const double shed : {0.02, 0.08}) {
    const ShedOutcome out = SimulateShedding(shed, true);
    INFO("retried " << out.retried);
    CHECK(out.retried > 0.95);
    CHECK(out.served > 0.99);
  }
}

TEST_CASE("without a retry ratio the whole budget is reserved") {
  CHECK(RetryReserve().ReservedShare(0) == 1);
}

}  // namespace toucanknot
