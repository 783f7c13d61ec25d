#include "include/membership/part_dissemination.h"

#include <catch2/catch.hpp>

#include <algorithm>

#include "include/base/digest.h"
#include "tests/membership/fleet_loop.h"

namespace toucanknot {
namespace {

// A change must be in force everywhere within 11 s, including its parts.
constexpr Duration kTarget = Duration::Seconds(11);

std::vector<std::string> PutParts(FleetLoop& loop, int n) {
  std::vector<std::string> names;
  for (int i = 0; i < n; ++i) {
    const std::string bytes(20'000, static_cast<char>('a' + i));
    names.push_back(DigestOf(bytes).substr(0, 32));
    loop.PutPart(names.back(), bytes);
  }
  return names;
}

void WantAll(FleetLoop& loop, const std::vector<std::string>& names) {
  for (auto& it : loop.nodes())
    it.agent->parts().Want(names, loop.now());
}

bool AllComplete(FleetLoop& loop) {
  return std::all_of(loop.nodes().begin(), loop.nodes().end(), [](auto& n) {
    return !n.running || n.agent->parts().IsComplete();
  });
}

}  // namespace

TEST_CASE("parts reach every host, and one host per zone reads each") {
  const int hosts = GENERATE(7, 70, 300);
  FleetLoop loop({.hosts = hosts});
  loop.RunFor(Duration::Seconds(20));
  const auto names = PutParts(loop, 10);
  const uint64_t reads = loop.part_reads();
  WantAll(loop, names);
  CHECK(loop.RunUntil(kTarget, [&] { return AllComplete(loop); }));
  CHECK(loop.part_reads() - reads == 10 * 6);
  CHECK(loop.nodes()[0].agent->parts().fetched().size() == 10);
}

TEST_CASE("parts arrive despite lost messages and dead hosts") {
  FleetLoop loop({.hosts = 70, .loss = 0.01});
  loop.RunFor(Duration::Seconds(20));
  loop.Kill(0);
  loop.Kill(7);
  const auto names = PutParts(loop, 10);
  WantAll(loop, names);
  CHECK(loop.RunUntil(kTarget, [&] { return AllComplete(loop); }));
}

TEST_CASE("a zone without the store gets its parts from other zones") {
  FleetLoop loop({.hosts = 70, .loss = 0.01});
  loop.RunFor(Duration::Seconds(20));
  loop.CutFromStore(loop.nodes()[0].zone);
  const auto names = PutParts(loop, 10);
  WantAll(loop, names);
  CHECK(loop.RunUntil(kTarget, [&] { return AllComplete(loop); }));
}

TEST_CASE("bytes that do not match the name are rejected") {
  FleetLoop loop({.hosts = 7});
  loop.RunFor(Duration::Seconds(5));
  const std::string name = DigestOf("right").substr(0, 32);
  loop.PutPart(name, "wrong");
  WantAll(loop, {name});
  loop.RunFor(Duration::Seconds(20));
  CHECK_FALSE(loop.nodes()[0].agent->parts().IsComplete());
  CHECK(loop.nodes()[0].agent->parts().fetched().empty());
  loop.PutPart(name, "right");
  CHECK(loop.RunUntil(kTarget * 2, [&] { return AllComplete(loop); }));
}

}  // namespace toucanknot
