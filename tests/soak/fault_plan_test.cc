#include "soak/fault_plan.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

namespace toucanknot::soak {

TEST_CASE("a seed always gives the same plan, sorted and within its length") {
  const Duration length(120'000);
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    const std::vector<Fault> plan = GenerateFaultPlan(seed, length);
    CHECK(plan == GenerateFaultPlan(seed, length));
    CHECK(plan.size() > 20);
    CHECK(std::is_sorted(
        plan.begin(), plan.end(),
        [](const Fault& a, const Fault& b) { return a.at < b.at; }));
    for (const Fault& it : plan)
      CHECK(it.at < length);
  }
  CHECK(GenerateFaultPlan(1, length) != GenerateFaultPlan(2, length));
}

TEST_CASE("fifty plans of a minute contain every fault, and overlapping ones") {
  std::set<FaultKind> kinds;
  int overlaps = 0;
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    const std::vector<Fault> plan = GenerateFaultPlan(seed, Duration(60'000));
    for (size_t i = 0; i < plan.size(); ++i) {
      kinds.insert(plan[i].kind);
      if (i > 0 && plan[i].at < plan[i - 1].at + plan[i - 1].length)
        ++overlaps;
    }
  }
  CHECK(kinds.size() == kFaultKindCount);
  CHECK(overlaps > 100);
}

}  // namespace toucanknot::soak
