#include "soak/fault_plan.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <string>

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

TEST_CASE(
    "a plan of stops stops each host in turn, before the last has ended") {
  const std::vector<Fault> plan = GenerateStopPlan(Duration(10'000));
  REQUIRE(plan.size() == 4);
  for (size_t i = 0; i < plan.size(); ++i) {
    CHECK(plan[i].kind == FaultKind::kStopHost);
    CHECK(plan[i].subject == i);
    CHECK(plan[i].at == Duration(3'000) * static_cast<int64_t>(i));
  }
}

TEST_CASE(
    "kinds that were added later leave the faults of a seed as they are") {
  std::vector<Fault> plan = GenerateFaultPlan(7, Duration(20'000));
  std::erase_if(plan, [](const Fault& it) {
    return it.kind >= FaultKind::kShedRequests;
  });
  std::string kinds;
  for (const Fault& it : plan) {
    kinds += kFaultKindNames.Name(it.kind);
    kinds += ' ';
  }
  CHECK(kinds ==
        "limit-server "
        "evacuate-zone "
        "fail-server "
        "slow-server "
        "store-drops-watches "
        "reload-host "
        "slow-server "
        "reload-host "
        "stop-host "
        "evacuate-zone "
        "change-config "
        "repeat-refusals "
        "replace-server "
        "evacuate-zone "
        "cut-store-one-way "
        "write-odd-entries "
        "store-silent "
        "delay-callers "
        "delay-store "
        "repeat-refusals "
        "evacuate-zone ");
}

}  // namespace toucanknot::soak
