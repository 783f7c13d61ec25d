#include "include/health/server_life_cycle.h"

#include <catch2/catch.hpp>
#include <vector>

namespace toucanknot {
namespace {

constexpr size_t kSignals = 7;
using S = ServerState;

// For each state, the state after kWarmedUp, kDoubt, kRecovered, kEject,
// kTrialsPassed, kLeave and kReturn.
struct Row {
  S from;
  std::vector<ServerSignal> path;
  S to[kSignals];
};

const Row kRows[] = {
    {S::kCold,
     {},
     {S::kWarm, S::kSuspect, S::kCold, S::kEjected, S::kCold, S::kLeaving,
      S::kCold}},
    {S::kWarm,
     {ServerSignal::kWarmedUp},
     {S::kWarm, S::kSuspect, S::kWarm, S::kEjected, S::kWarm, S::kLeaving,
      S::kWarm}},
    {S::kSuspect,
     {ServerSignal::kDoubt},
     {S::kSuspect, S::kSuspect, S::kCold, S::kEjected, S::kSuspect, S::kLeaving,
      S::kSuspect}},
    {S::kEjected,
     {ServerSignal::kEject},
     {S::kEjected, S::kEjected, S::kEjected, S::kEjected, S::kCold, S::kLeaving,
      S::kEjected}},
    {S::kLeaving,
     {ServerSignal::kLeave},
     {S::kLeaving, S::kLeaving, S::kLeaving, S::kLeaving, S::kLeaving,
      S::kLeaving, S::kCold}},
};

}  // namespace

TEST_CASE("every signal from every state follows the transition table") {
  for (const Row& row : kRows) {
    for (size_t i = 0; i < kSignals; ++i) {
      ServerLifeCycle life_cycle;
      for (const ServerSignal it : row.path)
        life_cycle.Apply(it);
      REQUIRE(life_cycle.state() == row.from);
      INFO(kServerStateNames.Name(row.from)
           << " by " << kServerSignalNames.Name(static_cast<ServerSignal>(i)));
      CHECK(life_cycle.Apply(static_cast<ServerSignal>(i)) ==
            (row.to[i] != row.from));
      CHECK(life_cycle.state() == row.to[i]);
    }
  }
}

}  // namespace toucanknot
