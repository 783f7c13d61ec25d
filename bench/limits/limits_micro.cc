#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "include/limits/budget_holder.h"
#include "include/limits/class_shedder.h"
#include "include/limits/host_budget.h"
#include "include/limits/link_limiter.h"
#include "include/limits/retry_budget.h"
#include "include/limits/shift_limiter.h"

namespace toucanknot::bench {
namespace {

std::vector<Cap> Caps(int hosts, int caps) {
  std::vector<Cap> out;
  for (int i = 0; i < caps; ++i) {
    Cap cap{LinkCap(RegionId("a"), RegionId("b" + std::to_string(i))), 1'000};
    for (int h = 0; h < hosts; ++h)
      cap.members.emplace_back("h" + std::to_string(h));
    out.push_back(std::move(cap));
  }
  return out;
}

void BM_HostBudgetLimit(benchmark::State& state) {
  const std::vector<Cap> caps = Caps(7, 8);
  HostBudget budget(HostId("h0"), 1, BudgetTimes(), Instant(0));
  budget.SetCaps(caps, Duration(0), Instant(0));
  budget.EndHold(Instant(0));
  for (auto _ : state)
    benchmark::DoNotOptimize(budget.Limit(caps[3].id, Instant(1)));
}
BENCHMARK(BM_HostBudgetLimit);

// One exchange of one host for eight caps, with range(0) hosts known to the
// holder.
void BM_BudgetExchange(benchmark::State& state) {
  const auto hosts = static_cast<int>(state.range(0));
  const std::vector<Cap> caps = Caps(hosts, 8);
  BudgetHolder holder({.epoch = 1, .host = HostId("h0")}, BudgetTimes());
  std::vector<HostBudget> budgets;
  for (int i = 0; i < hosts; ++i) {
    budgets.emplace_back(HostId("h" + std::to_string(i)), 1, BudgetTimes(),
                         Instant(0));
    budgets.back().SetCaps(caps, Duration(0), Instant(0));
    budgets.back().EndHold(Instant(0));
    budgets.back().SetUse(caps[0].id, i % 3, i % 3);
  }
  int64_t ms = 0;
  size_t i = 0;
  for (auto _ : state) {
    // Each host sends a request every 100 ms.
    i = (i + 1) % budgets.size();
    ms += i == 0 ? 100 : 0;
    const Instant now(ms);
    benchmark::DoNotOptimize(budgets[i].OnReply(
        holder.HandleRequest(budgets[i].MakeRequest(now), now)));
  }
}
BENCHMARK(BM_BudgetExchange)->Arg(3)->Arg(7)->Arg(90)->Arg(320);

void BM_LinkReserveSettle(benchmark::State& state) {
  LinkLimiter limiter;
  limiter.SetRates(4'000, 4'000, Instant(0));
  int64_t ms = 0;
  for (auto _ : state) {
    const Instant now(++ms);
    if (limiter.TryReserve(400, 20'000, now))
      limiter.Settle(20'000, 18'000, now);
  }
}
BENCHMARK(BM_LinkReserveSettle);

void BM_ShiftTryMove(benchmark::State& state) {
  ShiftLimiter limiter(0.1, Duration(1'000));
  int64_t n = 0;
  for (auto _ : state) {
    // A hundred requests a millisecond.
    const Instant now(++n / 100);
    limiter.OnRequest(now);
    benchmark::DoNotOptimize(limiter.TryMove(now));
  }
}
BENCHMARK(BM_ShiftTryMove);

void BM_RetryBudget(benchmark::State& state) {
  RetryBudget budget(0.1);
  int64_t n = 0;
  for (auto _ : state) {
    const Instant now(++n / 100);
    budget.OnSuccess(now);
    benchmark::DoNotOptimize(budget.TryTake(now));
  }
}
BENCHMARK(BM_RetryBudget);

void BM_ClassAdmit(benchmark::State& state) {
  ClassShedder shedder({"reports", "lookups", "sign-offs"});
  const std::string work_class = "lookups";
  int64_t n = 0;
  for (auto _ : state)
    benchmark::DoNotOptimize(shedder.Admit(work_class, Instant(++n / 100)));
}
BENCHMARK(BM_ClassAdmit);

}  // namespace
}  // namespace toucanknot::bench
