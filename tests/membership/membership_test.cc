#include "include/membership/membership.h"

#include <catch2/catch.hpp>

#include <algorithm>

#include "include/membership/rank.h"
#include "tests/membership/fleet_loop.h"

namespace toucanknot {
namespace {

constexpr Instant kStart{1'000'000};
constexpr SilenceLimits kLimits{Duration(1000), Duration(2000)};

Heartbeat Beat(uint64_t sequence, HostState state = HostState::kServing) {
  Heartbeat heartbeat;
  heartbeat.sequence = sequence;
  heartbeat.state = state;
  return heartbeat;
}

bool Offers(FleetLoop& loop, size_t asked, size_t wanted) {
  auto& nodes = loop.nodes();
  const auto candidates = nodes[asked].agent->membership().CandidatesFor(
      nodes[asked].zone, 1, loop.now());
  return std::any_of(candidates.begin(), candidates.end(), [&](const auto& c) {
    return c.host == nodes[wanted].host && c.confirmed;
  });
}

bool AllOffer(FleetLoop& loop, size_t wanted, bool offered) {
  for (size_t i = 0; i < loop.nodes().size(); ++i) {
    if (i != wanted && loop.nodes()[i].running &&
        Offers(loop, i, wanted) != offered) {
      return false;
    }
  }
  return true;
}

}  // namespace

TEST_CASE("the life cycle of a host only moves forward") {
  HostLifeCycle life;
  CHECK(life.state() == HostState::kStarting);
  CHECK(life.Ready());
  CHECK_FALSE(life.Ready());
  CHECK(life.Leave());
  CHECK_FALSE(life.Report(HostState::kServing));
  CHECK(life.state() == HostState::kLeaving);
  CHECK(life.Stop());
  CHECK_FALSE(life.Report(HostState::kLeaving));
  CHECK(life.state() == HostState::kStopped);
  HostLifeCycle other;
  CHECK(other.Leave());
  CHECK(other.state() == HostState::kLeaving);
}

TEST_CASE("a silent host is suspect, then dead; the host list confirms it") {
  Member member(true, kStart);
  const PeerSender sender{HostId("h"), 5};
  CHECK(member.LivenessAt(kStart, kLimits, false) == Liveness::kLive);
  REQUIRE(member.OnHeartbeat(sender, Beat(1), kLimits, kStart));
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
  REQUIRE(member.OnHeartbeat({HostId("h"), 5}, Beat(9), kLimits, kStart));
  CHECK_FALSE(member.OnHeartbeat({HostId("h"), 5}, Beat(9), kLimits, kStart));
  REQUIRE(member.OnNotice({HostId("h"), 5}, HostState::kStopped));
  CHECK(member.LivenessAt(kStart, kLimits, false) == Liveness::kDead);
  CHECK(member.OnHeartbeat({HostId("h"), 6}, Beat(1), kLimits, kStart));
  CHECK(member.state() == HostState::kServing);
  CHECK_FALSE(member.OnNotice({HostId("h"), 5}, HostState::kStopped));
  CHECK_FALSE(member.OnHeartbeat({HostId("h"), 5}, Beat(99), kLimits, kStart));
  // After a clock was set back, a lower incarnation is accepted once the host
  // was silent.
  CHECK(member.OnHeartbeat({HostId("h"), 4}, Beat(1), kLimits,
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
    CHECK_FALSE(got.contains(Ranked(hosts, tag).front()));
    for (const auto& [host, times] : got)
      CHECK(times == 1);
  }
}

TEST_CASE("candidates are ordered by zone, region, then other regions") {
  FleetLoop loop({.hosts = 24});
  loop.RunFor(Duration::Seconds(10));
  const auto candidates = loop.nodes()[0].agent->membership().CandidatesFor(
      loop.nodes()[0].zone, 7, loop.now());
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
  FleetLoop loop({.hosts = hosts, .loss = 0.01});
  loop.RunFor(Duration::Seconds(20));
  REQUIRE(AllOffer(loop, 3, true));
  loop.nodes()[3].agent->membership().Leave(loop.now());
  CHECK(loop.RunUntil(Duration::Seconds(2),
                      [&] { return AllOffer(loop, 3, false); }));
  loop.nodes()[3].agent->membership().Stop(loop.now());
  loop.RunFor(Duration::Seconds(1));
  loop.Restart(3);
  CHECK(loop.RunUntil(Duration::Seconds(10),
                      [&] { return AllOffer(loop, 3, true); }));
}

TEST_CASE("a dead host stops being a candidate until it restarts") {
  FleetLoop loop({.hosts = 70, .loss = 0.01});
  loop.RunFor(Duration::Seconds(20));
  loop.Kill(5);
  CHECK(loop.RunUntil(Duration::Seconds(10),
                      [&] { return AllOffer(loop, 5, false); }));
  loop.Restart(5);
  CHECK(loop.RunUntil(Duration::Seconds(10),
                      [&] { return AllOffer(loop, 5, true); }));
}

TEST_CASE("1% message loss makes no host suspect") {
  FleetLoop loop({.hosts = 70, .loss = 0.01});
  loop.RunFor(Duration::Seconds(20));
  int missing = 0;
  for (int i = 0; i < 100; ++i) {
    loop.RunFor(Duration::Seconds(1));
    for (size_t k = 0; k < loop.nodes().size(); ++k)
      missing += !Offers(loop, (k * 13 + i) % 70, k);
  }
  CHECK(missing == 0);
}

TEST_CASE("a host that was paused does not suspect others afterwards") {
  FleetLoop loop({.hosts = 24});
  loop.RunFor(Duration::Seconds(10));
  loop.Pause(0);
  loop.RunFor(Duration::Seconds(60));
  loop.Resume(0);
  for (size_t i = 6; i < 24; i += 6)
    CHECK(Offers(loop, 0, i));
}

TEST_CASE("a zone that is cut off continues with its own hosts") {
  FleetLoop loop({.hosts = 24});
  loop.RunFor(Duration::Seconds(10));
  const ZoneId cut = loop.nodes()[0].zone;
  loop.SetReachable([&](const ZoneId& from, const ZoneId& to) {
    return (from == cut) == (to == cut);
  });
  loop.RunFor(Duration::Seconds(60));
  CHECK(Offers(loop, 0, 6));
  CHECK_FALSE(Offers(loop, 0, 1));
  CHECK_FALSE(Offers(loop, 1, 0));
  CHECK(Offers(loop, 1, 2));
  loop.SetReachable(nullptr);
  CHECK(loop.RunUntil(Duration::Seconds(10), [&] {
    return Offers(loop, 0, 1) && Offers(loop, 1, 0);
  }));
}

TEST_CASE("the messages per second of a host stay bounded") {
  // At most what the spacing allows in both directions, plus digests and
  // compares.
  for (const int hosts : {12, 120, 480}) {
    FleetLoop loop({.hosts = hosts});
    loop.RunFor(Duration::Seconds(30));
    for (const auto& node : loop.nodes())
      CHECK(node.sent < 30 * 60);
  }
}

}  // namespace toucanknot
