#include "include/membership/config_dissemination.h"

#include <catch2/catch.hpp>

#include <algorithm>

#include "tests/membership/simulated_fleet.h"

namespace toucanknot {
namespace {

// Required: a change is in force at every host within 11 s.
constexpr Duration kMaxTimeInForce = Duration::Seconds(11);

std::unique_ptr<SimulatedFleet> SettledFleet(int hosts, uint64_t seed = 1) {
  auto fleet = std::make_unique<SimulatedFleet>(
      SimulatedFleet::Options{.hosts = hosts, .loss = 0.01, .seed = seed});
  fleet->WriteStore(1);
  fleet->RunFor(Duration::Seconds(20));
  return fleet;
}

std::vector<size_t> ReadersOf(SimulatedFleet& fleet) {
  std::vector<size_t> readers;
  for (size_t i = 0; i < fleet.nodes().size(); ++i) {
    if (fleet.nodes()[i].agent->dissemination().IsReader(fleet.now()))
      readers.push_back(i);
  }
  return readers;
}

// Checks at every step that no host's version decreases.
void RunWatchingVersions(SimulatedFleet& fleet, Duration length) {
  std::vector<uint64_t> seen(fleet.nodes().size());
  const Instant end = fleet.now() + length;
  while (fleet.now() < end) {
    fleet.RunFor(Duration(50));
    for (size_t i = 0; i < seen.size(); ++i) {
      const auto version =
          fleet.nodes()[i].agent->dissemination().stamp().version;
      REQUIRE(version >= seen[i]);
      seen[i] = version;
    }
  }
}

}  // namespace

TEST_CASE("a change is in force in time with 1% message loss") {
  const int hosts = GENERATE(7, 70, 700);
  for (uint64_t seed = 1; seed <= (hosts > 100 ? 2 : 10); ++seed) {
    const auto fleet = SettledFleet(hosts, seed);
    fleet->WriteStore(2);
    CHECK(fleet->TimeUntilInForce(2, kMaxTimeInForce));
  }
}

TEST_CASE("dead readers are replaced and a change still gets through") {
  const int hosts = GENERATE(14, 70);
  const auto fleet = SettledFleet(hosts);
  for (const size_t it : ReadersOf(*fleet)) {
    if (it < 12)
      fleet->Kill(it);
  }
  fleet->WriteStore(2);
  CHECK(fleet->TimeUntilInForce(2, kMaxTimeInForce));
}

TEST_CASE("a zone that cannot reach the store gets a change from other zones") {
  const auto fleet = SettledFleet(70);
  fleet->CutFromStore(fleet->nodes()[0].zone);
  fleet->WriteStore(2);
  CHECK(fleet->TimeUntilInForce(2, kMaxTimeInForce));
}

TEST_CASE(
    "a zone that is cut off keeps its version and catches up afterwards") {
  const auto fleet = SettledFleet(70);
  const ZoneId cut = fleet->nodes()[0].zone;
  fleet->CutFromStore(cut);
  fleet->SetReachable([&](const ZoneId& from, const ZoneId& to) {
    return (from == cut) == (to == cut);
  });
  fleet->WriteStore(2);
  fleet->RunFor(Duration::Seconds(60));
  CHECK(fleet->nodes()[0].agent->dissemination().stamp().version == 1);
  CHECK(fleet->nodes()[1].agent->dissemination().stamp().version == 2);
  fleet->SetReachable(nullptr);
  CHECK(fleet->TimeUntilInForce(2, kMaxTimeInForce));
}

TEST_CASE(
    "a host that starts while the store is down gets its version from peers") {
  const auto fleet = SettledFleet(7);
  fleet->SetStoreUp(false);
  fleet->Kill(3);
  fleet->RunFor(Duration::Seconds(30));
  fleet->Restart(3);
  CHECK(fleet->TimeUntilInForce(1, kMaxTimeInForce));
}

TEST_CASE("no host returns to an older version, whatever the store holds") {
  const auto fleet = SettledFleet(14);
  fleet->WriteStore(5);
  REQUIRE(fleet->TimeUntilInForce(5, kMaxTimeInForce));
  SECTION("a store restored from a backup") {
    fleet->WriteStore(3);
    RunWatchingVersions(*fleet, Duration::Seconds(20));
    for (const size_t it : ReadersOf(*fleet))
      CHECK(fleet->nodes()[it].agent->dissemination().store_version() == 3);
  }
  SECTION("the same version with another text") {
    fleet->WriteStore(5, "b");
    RunWatchingVersions(*fleet, Duration::Seconds(20));
    for (const auto& it : fleet->nodes())
      CHECK(it.agent->dissemination().text() == "5:a");
    for (const size_t it : ReadersOf(*fleet))
      CHECK(fleet->nodes()[it].agent->dissemination().stats().conflicts > 0);
  }
  SECTION("a paused reader that resumes with an old value") {
    const size_t reader = ReadersOf(*fleet).front();
    fleet->Pause(reader);
    fleet->WriteStore(6);
    fleet->RunFor(Duration::Seconds(30));
    fleet->Resume(reader);
    fleet->nodes()[reader].agent->OnWatchValue(99, "4:a", fleet->now());
    RunWatchingVersions(*fleet, Duration::Seconds(20));
    CHECK(fleet->TimeUntilInForce(6, kMaxTimeInForce));
  }
  CHECK(fleet->nodes()[0].agent->dissemination().stamp().version >= 5);
}

TEST_CASE("a rejected version leaves the last good one in force") {
  const auto fleet = SettledFleet(14);
  fleet->WriteStore(2, "bad");
  fleet->RunFor(Duration::Seconds(20));
  for (const auto& it : fleet->nodes()) {
    CHECK(it.agent->dissemination().stamp().version == 1);
    // Rejected once and remembered, not read repeatedly.
    CHECK(it.agent->dissemination().stats().rejected <= 1);
  }
  // A host that rejects a configuration does not relay it: only the readers
  // have seen it.
  for (const size_t it : ReadersOf(*fleet))
    CHECK(fleet->nodes()[it].agent->dissemination().rejected().version == 2);
  fleet->WriteStore(3);
  CHECK(fleet->TimeUntilInForce(3, kMaxTimeInForce));
}

TEST_CASE("1000 hosts cause no more store calls than 12") {
  const auto calls_in_36_seconds = [](int hosts) {
    const auto fleet = SettledFleet(hosts);
    const uint64_t before = fleet->store_calls();
    for (uint64_t version = 2; version < 5; ++version) {
      fleet->WriteStore(version);
      fleet->RunFor(Duration::Seconds(12));
    }
    return fleet->store_calls() - before;
  };
  // Twelve hosts already give the maximum: two readers in each of six zones.
  const uint64_t few = calls_in_36_seconds(12);
  const uint64_t many = calls_in_36_seconds(1000);
  CHECK(many <= few + few / 10);
}

TEST_CASE("a host without peers reads the store at intervals") {
  Membership membership({HostId("h"), 1}, ZoneId("z"), {}, 1);
  ConfigDissemination dissemination(
      &membership, {}, SimulatedFleet::StampOf,
      [](const ConfigStamp&, const std::string&) { return true; }, 1);
  Instant now(1000);
  int reads = 0;
  for (int i = 0; i < 600; ++i) {
    std::optional<WatchRequest> watch;
    dissemination.Tick(now, &watch);
    if (watch) {
      CHECK(watch->limit == Duration());
      dissemination.OnWatchTimeout(now);
      ++reads;
    }
    now = now + Duration(100);
  }
  // Per minute: often at first, then at least every ten seconds.
  CHECK(reads >= 6);
  CHECK(reads <= 20);
  std::optional<WatchRequest> watch;
  dissemination.OnWatchValue(1, "1:a", now);
  dissemination.Tick(now, &watch);
  CHECK_FALSE(watch);
}

TEST_CASE("hosts do not call the store all at once after an outage") {
  const auto fleet = SettledFleet(70);
  fleet->SetStoreUp(false);
  fleet->RunFor(Duration::Seconds(60));
  uint64_t calls = fleet->store_calls();
  fleet->RunFor(Duration::Seconds(60));
  // Twelve readers with two kinds of calls, none more often than every 5 s.
  CHECK(fleet->store_calls() - calls <= 12 * 2 * 60 / 5);
  fleet->SetStoreUp(true);
  fleet->WriteStore(2);
  uint64_t most = 0;
  for (int i = 0; i < 150; ++i) {
    calls = fleet->store_calls();
    fleet->RunFor(Duration(100));
    most = std::max(most, fleet->store_calls() - calls);
  }
  // The readers do not call all at once.
  CHECK(most <= 12);
  CHECK(fleet->nodes()[69].agent->dissemination().stamp().version == 2);
}

}  // namespace toucanknot
