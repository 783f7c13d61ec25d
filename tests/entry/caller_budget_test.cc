// Callers whose time budgets differ were taken for returning ones: at the
// Association's deployment, where budgets lie within a sixth of the longest,
// nine of ten first attempts. Their targets were counted from too early, and
// they were refused or sent last.

#include "src/entry/caller_budget.h"

#include <catch2/catch.hpp>
#include <random>

namespace toucanknot {
namespace {

constexpr int64_t kShortestMs = 1'830;
constexpr int64_t kLongestMs = 2'170;

// Draws first budgets, and those of callers that return after 400 to 900 ms.
class Callers {
 public:
  Duration First() { return Duration(first_(random_)); }
  Duration Returning(int64_t& spent_ms) {
    spent_ms = spent_(random_);
    return Duration(first_(random_) - spent_ms);
  }

 private:
  std::minstd_rand random_{20261204};
  std::uniform_int_distribution<int64_t> first_{kShortestMs, kLongestMs};
  std::uniform_int_distribution<int64_t> spent_{400, 900};
};

// Fraction of `n` first attempts that are taken for returns.
double FractionMistaken(CallerBudget& budget, Callers& callers, int n) {
  int mistaken = 0;
  for (int i = 0; i < n; ++i)
    mistaken += budget.TimeSpent(callers.First()) > Duration(0) ? 1 : 0;
  return static_cast<double>(mistaken) / n;
}

}  // namespace

TEST_CASE("first attempts with budgets of their own are no returns") {
  CallerBudget budget;
  Callers callers;
  CHECK(FractionMistaken(budget, callers, 20'000) < 0.01);
}

TEST_CASE("a first caller with the longest budget does not mislead") {
  CallerBudget budget;
  Callers callers;
  budget.TimeSpent(Duration(kLongestMs));
  CHECK(FractionMistaken(budget, callers, 20'000) < 0.01);
}

TEST_CASE("returns are recognized, and their waiting time is estimated") {
  const double returning = GENERATE(0.02, 0.2, 0.4);
  CallerBudget budget;
  Callers callers;
  FractionMistaken(budget, callers, 1'000);
  std::minstd_rand random(1);
  std::bernoulli_distribution returns(returning);
  int mistaken = 0;
  int found = 0;
  int all = 0;
  double error_ms = 0;
  for (int i = 0; i < 20'000; ++i) {
    if (!returns(random)) {
      mistaken += budget.TimeSpent(callers.First()) > Duration(0) ? 1 : 0;
      continue;
    }
    int64_t spent_ms = 0;
    const Duration estimate = budget.TimeSpent(callers.Returning(spent_ms));
    ++all;
    if (estimate > Duration(0)) {
      ++found;
      error_ms += static_cast<double>(estimate.ms() - spent_ms);
    }
  }
  INFO("returning " << returning << " found " << found << " of " << all);
  CHECK(mistaken < 200);
  CHECK(found > all * 0.5);
  CHECK(std::abs(error_ms / found) < 150);
}

TEST_CASE("equal budgets show every return") {
  CallerBudget budget;
  for (int i = 0; i < 100; ++i)
    CHECK(budget.TimeSpent(Duration(1'000)) == Duration(0));
  const Duration spent = budget.TimeSpent(Duration(900));
  CHECK(spent > Duration(90));
  CHECK(spent < Duration(110));
}

TEST_CASE("after a restart under load first attempts keep their targets") {
  // Half of the callers return, from the first request on.
  CallerBudget budget;
  Callers callers;
  int mistaken = 0;
  for (int i = 0; i < 500; ++i) {
    int64_t spent_ms = 0;
    budget.TimeSpent(callers.Returning(spent_ms));
    mistaken += budget.TimeSpent(callers.First()) > Duration(0) ? 1 : 0;
  }
  CHECK(mistaken == 0);
}

TEST_CASE("absurd budgets do not hide returns for good") {
  const Duration absurd = GENERATE(Duration(0), Duration(-5), Duration::Max());
  CallerBudget budget;
  Callers callers;
  FractionMistaken(budget, callers, 100);
  budget.TimeSpent(absurd);
  CHECK(FractionMistaken(budget, callers, 8'000) < 0.01);
  CHECK(budget.TimeSpent(Duration(1'000)) > Duration(800));
}

}  // namespace toucanknot
