#include "include/membership/part_dissemination.h"

#include <catch2/catch.hpp>

#include <algorithm>

#include "include/base/digest.h"
#include "tests/membership/simulated_fleet.h"

namespace toucanknot {
namespace {

// A change must be in force everywhere within 11 s, including its parts.
constexpr Duration kMaxTimeInForce = Duration::Seconds(11);

std::vector<std::string> PutParts(SimulatedFleet& fleet, int n) {
  std::vector<std::string> names;
  for (int i = 0; i < n; ++i) {
    const std::string bytes(20'000, static_cast<char>('a' + i));
    names.push_back(DigestOf(bytes).substr(0, 32));
    fleet.PutPart(names.back(), bytes);
  }
  return names;
}

void WantAll(SimulatedFleet& fleet, const std::vector<std::string>& names) {
  for (auto& it : fleet.nodes())
    it.agent->parts().SetWanted(names, fleet.now());
}

bool AllComplete(SimulatedFleet& fleet) {
  return std::all_of(fleet.nodes().begin(), fleet.nodes().end(), [](auto& n) {
    return !n.running || n.agent->parts().IsComplete();
  });
}

}  // namespace

TEST_CASE("parts reach every host, and one host per zone reads each") {
  const int hosts = GENERATE(7, 70, 300);
  SimulatedFleet fleet({.hosts = hosts});
  fleet.RunFor(Duration::Seconds(20));
  const auto names = PutParts(fleet, 10);
  const uint64_t reads = fleet.part_reads();
  WantAll(fleet, names);
  CHECK(fleet.RunUntil(kMaxTimeInForce, [&] { return AllComplete(fleet); }));
  CHECK(fleet.part_reads() - reads == 10 * 6);
  CHECK(fleet.nodes()[0].agent->parts().fetched().size() == 10);
}

TEST_CASE("parts arrive despite lost messages and dead hosts") {
  SimulatedFleet fleet({.hosts = 70, .loss = 0.01});
  fleet.RunFor(Duration::Seconds(20));
  fleet.Kill(0);
  fleet.Kill(7);
  const auto names = PutParts(fleet, 10);
  WantAll(fleet, names);
  CHECK(fleet.RunUntil(kMaxTimeInForce, [&] { return AllComplete(fleet); }));
}

TEST_CASE("a zone without the store gets its parts from other zones") {
  SimulatedFleet fleet({.hosts = 70, .loss = 0.01});
  fleet.RunFor(Duration::Seconds(20));
  fleet.CutFromStore(fleet.nodes()[0].zone);
  const auto names = PutParts(fleet, 10);
  WantAll(fleet, names);
  CHECK(fleet.RunUntil(kMaxTimeInForce, [&] { return AllComplete(fleet); }));
}

TEST_CASE("bytes that do not match the name are rejected") {
  SimulatedFleet fleet({.hosts = 7});
  fleet.RunFor(Duration::Seconds(5));
  const std::string name = DigestOf("right").substr(0, 32);
  fleet.PutPart(name, "wrong");
  WantAll(fleet, {name});
  fleet.RunFor(Duration::Seconds(20));
  CHECK_FALSE(fleet.nodes()[0].agent->parts().IsComplete());
  CHECK(fleet.nodes()[0].agent->parts().fetched().empty());
  fleet.PutPart(name, "right");
  CHECK(
      fleet.RunUntil(kMaxTimeInForce * 2, [&] { return AllComplete(fleet); }));
}

}  // namespace toucanknot
