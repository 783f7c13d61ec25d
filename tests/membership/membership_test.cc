#include "include/membership/membership.h"

#include <catch2/catch.hpp>

#include <algorithm>

#include "include/membership/rank.h"
#include "tests/membership/simulated_fleet.h"

namespace toucanknot {
namespace {

constexpr Instant kStart{1'000'000};
constexpr SilenceLimits kLimits{Duration(1000), Duration(2000)};

Heartbeat MakeHeartbeat(uint64_t sequence,
                        HostState state = HostState::kServing) {
  Heartbeat heartbeat;
  heartbeat.sequence = sequence;
  heartbeat.state = state;
  return heartbeat;
}

bool IsCandidate(SimulatedFleet& fleet, size_t viewer, size_t target) {
  auto& nodes = fleet.nodes();
  const auto candidates = nodes[viewer].agent->membership().CandidatesFor(
      nodes[viewer].zone, 1, fleet.now());
  return std::any_of(candidates.begin(), candidates.end(), [&](const auto& c) {
    return c.host == nodes[target].host && c.confirmed;
  });
}

bool AllHaveCandidate(SimulatedFleet& fleet, size_t target, bool expected) {
  for (size_t i = 0; i < fleet.nodes().size(); ++i) {
    if (i != target && fleet.nodes()[i].running &&
        IsCandidate(fleet, i, target) != expected) {
      return false;
    }
  }
  return true;
}

}  // namespace

TEST_CASE("the life cycle of a host only moves forward") {
  HostLifeCycle life_cycle;
  CHECK(life_cycle.state() == HostState::kStarting);
  CHECK(life_cycle.Ready());
  CHECK_FALSE(life_cycle.Ready());
  CHECK(life_cycle.Leave());
  CHECK_FALSE(life_cycle.Report(HostState::kServing));
  CHECK(life_cycle.state() == HostState::kLeaving);
  CHECK(life_cycle.Stop());
  CHECK_FALSE(life_cycle.Report(HostState::kLeaving));
  CHECK(life_cycle.state() == HostState::kStopped);
  HostLifeCycle other;
  CHECK(other.Leave());
  CHECK(other.state() == HostState::kLeaving);
}

TEST_CASE("a silent host is suspect, then dead; the host list confirms it") {
  Member member(true, kStart);
  const PeerSender sender{HostId("h"), 5};
  CHECK(member.LivenessAt(kStart, kLimits, false) == Liveness::kLive);
  REQUIRE(member.OnHeartbeat(sender, MakeHeartbeat(1), kLimits, kStart));
  const Instant silent = kStart + Duration(1500);
  // The host list alone proves nothing about a host that sends heartbeats.
  CHECK(member.LivenessAt(kStart, kLimits, true) == Liveness::kLive);
  CHECK(member.LivenessAt(silent, kLimits, false) == Liveness::kSuspect);
  CHECK(member.LivenessAt(silent, kLimits, true) == Liveness::kDead);
  member.OnUnlistedHint(silent + Duration(1));
  CHECK(member.LivenessAt(silent, kLimits, false) == Liveness::kDead);
  CHECK(member.LivenessAt(kStart + Duration(2500), kLimits, false) ==
        Liveness::kDead);
}

TEST_CASE("a restarted host replaces the old one; late messages do not") {
  Member member(true, kStart);
  REQUIRE(
      member.OnHeartbeat({HostId("h"), 5}, MakeHeartbeat(9), kLimits, kStart));
  CHECK_FALSE(
      member.OnHeartbeat({HostId("h"), 5}, MakeHeartbeat(9), kLimits, kStart));
  REQUIRE(member.OnNotice({HostId("h"), 5}, HostState::kStopped));
  CHECK(member.LivenessAt(kStart, kLimits, false) == Liveness::kDead);
  CHECK(
      member.OnHeartbeat({HostId("h"), 6}, MakeHeartbeat(1), kLimits, kStart));
  CHECK(member.state() == HostState::kServing);
  CHECK_FALSE(member.OnNotice({HostId("h"), 5}, HostState::kStopped));
  CHECK_FALSE(
      member.OnHeartbeat({HostId("h"), 5}, MakeHeartbeat(99), kLimits, kStart));
  // After a clock was set back, a lower incarnation is accepted once the host
  // was silent.
  CHECK(member.OnHeartbeat({HostId("h"), 4}, MakeHeartbeat(1), kLimits,
                           kStart + Duration(1500)));
}

TEST_CASE("every host of a zone is reached once by a relay") {
  std::vector<HostId> hosts;
  for (int i = 0; i < 90; ++i)
    hosts.emplace_back("h" + std::to_string(i));
  for (uint64_t tag = 1; tag < 20; ++tag) {
    std::map<HostId, int> got;
    for (const HostId& it : hosts) {
      for (const HostId& to : RelayTargets(hosts, it, tag, 4))
        ++got[to];
    }
    // All except the root, once each.
    CHECK(got.size() == 89);
    CHECK_FALSE(got.contains(SortedByRank(hosts, tag).front()));
    for (const auto& [host, times] : got)
      CHECK(times == 1);
  }
}

TEST_CASE("candidates are ordered by zone, region, then other regions") {
  SimulatedFleet fleet({.hosts = 24});
  fleet.RunFor(Duration::Seconds(10));
  const auto candidates = fleet.nodes()[0].agent->membership().CandidatesFor(
      fleet.nodes()[0].zone, 7, fleet.now());
  REQUIRE(candidates.size() == 24);
  for (size_t i = 0; i < 24; ++i) {
    CHECK(candidates[i].confirmed);
    CHECK(candidates[i].proximity == (i < 4   ? Proximity::kZone
                                      : i < 8 ? Proximity::kRegion
                                              : Proximity::kOtherRegion));
  }
}

TEST_CASE("a leaving host is a candidate nowhere after two seconds") {
  const int hosts = GENERATE(7, 70);
  SimulatedFleet fleet({.hosts = hosts, .loss = 0.01});
  fleet.RunFor(Duration::Seconds(20));
  REQUIRE(AllHaveCandidate(fleet, 3, true));
  fleet.nodes()[3].agent->membership().Leave(fleet.now());
  CHECK(fleet.RunUntil(Duration::Seconds(2),
                       [&] { return AllHaveCandidate(fleet, 3, false); }));
  fleet.nodes()[3].agent->membership().Stop(fleet.now());
  fleet.RunFor(Duration::Seconds(1));
  fleet.Restart(3);
  CHECK(fleet.RunUntil(Duration::Seconds(10),
                       [&] { return AllHaveCandidate(fleet, 3, true); }));
}

TEST_CASE("a dead host stops being a candidate until it restarts") {
  SimulatedFleet fleet({.hosts = 70, .loss = 0.01});
  fleet.RunFor(Duration::Seconds(20));
  fleet.Kill(5);
  CHECK(fleet.RunUntil(Duration::Seconds(10),
                       [&] { return AllHaveCandidate(fleet, 5, false); }));
  fleet.Restart(5);
  CHECK(fleet.RunUntil(Duration::Seconds(10),
                       [&] { return AllHaveCandidate(fleet, 5, true); }));
}

TEST_CASE("1% message loss makes no host suspect") {
  SimulatedFleet fleet({.hosts = 70, .loss = 0.01});
  fleet.RunFor(Duration::Seconds(20));
  int missing = 0;
  for (int i = 0; i < 100; ++i) {
    fleet.RunFor(Duration::Seconds(1));
    for (size_t k = 0; k < fleet.nodes().size(); ++k)
      missing += !IsCandidate(fleet, (k * 13 + i) % 70, k);
  }
  CHECK(missing == 0);
}

TEST_CASE("a host that was paused does not suspect others afterwards") {
  SimulatedFleet fleet({.hosts = 24});
  fleet.RunFor(Duration::Seconds(10));
  fleet.Pause(0);
  fleet.RunFor(Duration::Seconds(60));
  fleet.Resume(0);
  for (size_t i = 6; i < 24; i += 6)
    CHECK(IsCandidate(fleet, 0, i));
}

TEST_CASE("a zone that is cut off continues with its own hosts") {
  SimulatedFleet fleet({.hosts = 24});
  fleet.RunFor(Duration::Seconds(10));
  const ZoneId cut = fleet.nodes()[0].zone;
  fleet.SetReachable([&](const ZoneId& from, const ZoneId& to) {
    return (from == cut) == (to == cut);
  });
  fleet.RunFor(Duration::Seconds(60));
  CHECK(IsCandidate(fleet, 0, 6));
  CHECK_FALSE(IsCandidate(fleet, 0, 1));
  CHECK_FALSE(IsCandidate(fleet, 1, 0));
  CHECK(IsCandidate(fleet, 1, 2));
  fleet.SetReachable(nullptr);
  CHECK(fleet.RunUntil(Duration::Seconds(10), [&] {
    return IsCandidate(fleet, 0, 1) && IsCandidate(fleet, 1, 0);
  }));
}

TEST_CASE("the messages per second of a host stay bounded") {
  // At most what the spacing allows in both directions, plus digests
  // and compares.
  for (const int hosts : {12, 120, 480}) {
    SimulatedFleet fleet({.hosts = hosts});
    fleet.RunFor(Duration::Seconds(30));
    for (const auto& node : fleet.nodes())
      CHECK(node.sent < 30 * 60);
  }
}

}  // namespace toucanknot
