// The speed that servers report for their machines: what a report is worth, and
// what callers gain by it.

#include "include/placing/machine_speed.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>
#include <vector>

#include "bench/placing/fleet_model.h"
#include "platform/load_decoder.h"

namespace toucanknot {
namespace {

constexpr Instant kStart{1'000'000};

}  // namespace

TEST_CASE("machine speeds that cannot be read are ignored") {
  using platform::DecodeWorkRatio;
  CHECK(DecodeWorkRatio("1,2,4,100") == 1.0);
  CHECK(DecodeWorkRatio("1,2,4,250") == 2.5);
  CHECK(DecodeWorkRatio("1,2,4,87.5") == 0.875);
  // Further figures may follow.
  CHECK(DecodeWorkRatio("1,2,4,250,7") == 2.5);
  // A server that is slower than the model knows is not one of usual speed.
  CHECK(DecodeWorkRatio("1,2,4,2001") == MachineSpeed::kMaxWorkRatio);
  CHECK(DecodeWorkRatio("1,2,4,99999999999999999999") ==
        MachineSpeed::kMaxWorkRatio);
  CHECK(DecodeWorkRatio("1,2,4,4") == MachineSpeed::kMinWorkRatio);
  for (const char* it :
       {"", "1,2", "1,2,4", "1,2,4,", "1,2,4,0", "1,2,4,-50", "1,2,4,1e2",
        "1,2,4,nan", "1,2,4,inf", "1,2,4,fast", "1,2,4,100%", "1,2,4, 100"}) {
    INFO(it);
    CHECK_FALSE(DecodeWorkRatio(it));
  }
}

TEST_CASE("a machine's speed counts for less the older its report is") {
  const MachineSpeed speed;
  CHECK(speed.FactorAt(std::nullopt, kStart) == 1);
  const std::optional<MachineSpeed::Report> slow{{3, kStart}};
  double before = 3.01;
  for (const int64_t age : {0, 60, 120, 300, 500, 1'000}) {
    const double factor = speed.FactorAt(slow, kStart + Duration(age));
    INFO(age << " ms: " << factor);
    CHECK(factor < before);
    CHECK(factor >= 1);
    before = factor;
  }
  CHECK(speed.FactorAt(slow, kStart + MachineSpeed::kMaxAge) == 1);
  const std::optional<MachineSpeed::Report> fast{{0.5, kStart}};
  CHECK(speed.FactorAt(fast, kStart) < 1);
  CHECK(speed.FactorAt(fast, kStart) >= 0.5);
}

TEST_CASE("what an old report is worth is learned from responses") {
  // Machines whose speed does not change: a report of 3 s ago still holds. For
  // others it says nothing, not even a fresh one.
  MachineSpeed steady;
  MachineSpeed erratic;
  std::mt19937_64 random(1);
  std::uniform_real_distribution<double> ratio(0.5, 2.5);
  const Duration old(3'000);
  for (int i = 0; i < 500; ++i) {
    const std::optional<MachineSpeed::Report> report{{ratio(random), kStart}};
    steady.OnResponse(report, kStart + old, report->work_ratio);
    erratic.OnResponse(report, kStart, ratio(random) - 0.5);
  }
  CHECK(steady.WorthAt(old) > 0.95);
  CHECK(erratic.WorthAt(Duration(0)) < 0.2);
  // Other ages are unaffected.
  CHECK(erratic.WorthAt(old) == MachineSpeed().WorthAt(old));
}

TEST_CASE("reports of the usual speed leave the worth of others defined") {
  MachineSpeed speed;
  const std::optional<MachineSpeed::Report> usual{{1, kStart}};
  for (int i = 0; i < 10'000; ++i)
    speed.OnResponse(usual, kStart, 1.3);
  CHECK(std::isfinite(speed.WorthAt(Duration(0))));
  CHECK(speed.FactorAt(usual, kStart) == 1);
}

TEST_CASE("callers gain when machines of varying speed report it") {
  // Slots are scarce, and work takes up to twice as long or half as long.
  ModelSetup setup = TrackerSetup(2);
  setup.speed_spread = 0.4;
  constexpr int kSeeds = 3;
  for (const Duration persists : {Duration(300), Duration(2'000)}) {
    setup.speed_persists = persists;
    double reported = 0;
    double unknown = 0;
    for (int seed = 1; seed <= kSeeds; ++seed) {
      setup.seed = seed;
      setup.speed_reported = true;
      reported += FleetModel(setup).Run().Total().InTarget() / kSeeds;
      setup.speed_reported = false;
      unknown += FleetModel(setup).Run().Total().InTarget() / kSeeds;
    }
    INFO("persists " << persists.ms() << " ms: " << reported
                     << " and, unknown, " << unknown);
    CHECK(reported > unknown + 0.005);
  }
}

TEST_CASE("machines that report the usual speed change nothing") {
  ModelSetup setup = TrackerSetup(1.45);
  const ModelOutcome without = FleetModel(setup).Run();
  setup.speed_reported = true;
  const ModelOutcome with = FleetModel(setup).Run();
  CHECK(with.sends == without.sends);
  CHECK(with.Total().in_target == without.Total().in_target);
}

}  // namespace toucanknot
