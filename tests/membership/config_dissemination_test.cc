#include "include/membership/config_dissemination.h"

#include <catch2/catch.hpp>

#include <algorithm>

#include "tests/membership/fleet_loop.h"

namespace toucanknot {
namespace {

// Required: a change is in force at every host within 11 s.
constexpr Duration kTarget = Duration::Seconds(11);

std::unique_ptr<FleetLoop> Settled(int hosts, uint64_t seed = 1) {
  auto loop = std::make_unique<FleetLoop>(
      FleetLoop::Options{.hosts = hosts, .loss = 0.01, .seed = seed});
  loop->WriteStore(1);
  loop->RunFor(Duration::Seconds(20));
  return loop;
}

std::vector<size_t> ReadersOf(FleetLoop& loop) {
  std::vector<size_t> readers;
  for (size_t i = 0; i < loop.nodes().size(); ++i) {
    if (loop.nodes()[i].agent->spread().IsReader(loop.now()))
      readers.push_back(i);
  }
  return readers;
}

// Checks at every step that no host's version decreases.
void RunWatchingVersions(FleetLoop& loop, Duration length) {
  std::vector<uint64_t> seen(loop.nodes().size());
  const Instant end = loop.now() + length;
  while (loop.now() < end) {
    loop.RunFor(Duration(50));
    for (size_t i = 0; i < seen.size(); ++i) {
      const auto version = loop.nodes()[i].agent->spread().stamp().version;
      REQUIRE(version >= seen[i]);
      seen[i] = version;
    }
  }
}

}  // namespace

TEST_CASE("a change is in force in time with 1% message loss") {
  const int hosts = GENERATE(7, 70, 700);
  for (uint64_t seed = 1; seed <= (hosts > 100 ? 2 : 10); ++seed) {
    const auto loop = Settled(hosts, seed);
    loop->WriteStore(2);
    CHECK(loop->TimeUntilInForce(2, kTarget));
  }
}

TEST_CASE("dead readers are replaced and a change still gets through") {
  const int hosts = GENERATE(14, 70);
  const auto loop = Settled(hosts);
  for (const size_t it : ReadersOf(*loop)) {
    if (it < 12)
      loop->Kill(it);
  }
  loop->WriteStore(2);
  CHECK(loop->TimeUntilInForce(2, kTarget));
}

TEST_CASE("a zone that cannot reach the store gets a change from other zones") {
  const auto loop = Settled(70);
  loop->CutFromStore(loop->nodes()[0].zone);
  loop->WriteStore(2);
  CHECK(loop->TimeUntilInForce(2, kTarget));
}

TEST_CASE(
    "a zone that is cut off keeps its version and catches up afterwards") {
  const auto loop = Settled(70);
  const ZoneId cut = loop->nodes()[0].zone;
  loop->CutFromStore(cut);
  loop->SetReachable([&](const ZoneId& from, const ZoneId& to) {
    return (from == cut) == (to == cut);
  });
  loop->WriteStore(2);
  loop->RunFor(Duration::Seconds(60));
  CHECK(loop->nodes()[0].agent->spread().stamp().version == 1);
  CHECK(loop->nodes()[1].agent->spread().stamp().version == 2);
  loop->SetReachable(nullptr);
  CHECK(loop->TimeUntilInForce(2, kTarget));
}

TEST_CASE(
    "a host that starts while the store is down gets its version from peers") {
  const auto loop = Settled(7);
  loop->SetStoreUp(false);
  loop->Kill(3);
  loop->RunFor(Duration::Seconds(30));
  loop->Restart(3);
  CHECK(loop->TimeUntilInForce(1, kTarget));
}

TEST_CASE("no host returns to an older version, whatever the store holds") {
  const auto loop = Settled(14);
  loop->WriteStore(5);
  REQUIRE(loop->TimeUntilInForce(5, kTarget));
  SECTION("a store restored from a backup") {
    loop->WriteStore(3);
    RunWatchingVersions(*loop, Duration::Seconds(20));
    for (const size_t it : ReadersOf(*loop))
      CHECK(loop->nodes()[it].agent->spread().store_version() == 3);
  }
  SECTION("the same version with another text") {
    loop->WriteStore(5, "b");
    RunWatchingVersions(*loop, Duration::Seconds(20));
    for (const auto& it : loop->nodes())
      CHECK(it.agent->spread().text() == "5:a");
    for (const size_t it : ReadersOf(*loop))
      CHECK(loop->nodes()[it].agent->spread().stats().conflicts > 0);
  }
  SECTION("a paused reader that resumes with an old value") {
    const size_t reader = ReadersOf(*loop).front();
    loop->Pause(reader);
    loop->WriteStore(6);
    loop->RunFor(Duration::Seconds(30));
    loop->Resume(reader);
    loop->nodes()[reader].agent->OnWatchValue(99, "4:a", loop->now());
    RunWatchingVersions(*loop, Duration::Seconds(20));
    CHECK(loop->TimeUntilInForce(6, kTarget));
  }
  CHECK(loop->nodes()[0].agent->spread().stamp().version >= 5);
}

TEST_CASE("a rejected version leaves the last good one in force") {
  const auto loop = Settled(14);
  loop->WriteStore(2, "bad");
  loop->RunFor(Duration::Seconds(20));
  for (const auto& it : loop->nodes()) {
    CHECK(it.agent->spread().stamp().version == 1);
    // Rejected once and remembered, not read repeatedly.
    CHECK(it.agent->spread().stats().refused <= 1);
  }
  // A host that rejects a configuration does not relay it: only the readers
  // have seen it.
  for (const size_t it : ReadersOf(*loop))
    CHECK(loop->nodes()[it].agent->spread().refused().version == 2);
  loop->WriteStore(3);
  CHECK(loop->TimeUntilInForce(3, kTarget));
}

TEST_CASE("1000 hosts cause no more store calls than 12") {
  const auto calls_in_36_seconds = [](int hosts) {
    const auto loop = Settled(hosts);
    const uint64_t before = loop->store_calls();
    for (uint64_t version = 2; version < 5; ++version) {
      loop->WriteStore(version);
      loop->RunFor(Duration::Seconds(12));
    }
    return loop->store_calls() - before;
  };
  // Twelve hosts already give the maximum: two readers in each of six zones.
  const uint64_t few = calls_in_36_seconds(12);
  const uint64_t many = calls_in_36_seconds(1000);
  CHECK(many <= few + few / 10);
}

TEST_CASE("a host without peers reads the store at intervals") {
  Membership membership({HostId("h"), 1}, ZoneId("z"), {}, 1);
  ConfigDissemination spread(
      &membership, {}, FleetLoop::StampOf,
      [](const ConfigStamp&, const std::string&) { return true; }, 1);
  Instant now(1000);
  int reads = 0;
  for (int i = 0; i < 600; ++i) {
    std::optional<WatchRequest> watch;
    spread.Tick(now, &watch);
    if (watch) {
      CHECK(watch->limit == Duration());
      spread.OnWatchTimeout(now);
      ++reads;
    }
    now = now + Duration(100);
  }
  // Per minute: often at first, then at least every ten seconds.
  CHECK(reads >= 6);
  CHECK(reads <= 20);
  std::optional<WatchRequest> watch;
  spread.OnWatchValue(1, "1:a", now);
  spread.Tick(now, &watch);
  CHECK_FALSE(watch);
}

TEST_CASE("hosts do not call the store all at once after an outage") {
  const auto loop = Settled(70);
  loop->SetStoreUp(false);
  loop->RunFor(Duration::Seconds(60));
  uint64_t calls = loop->store_calls();
  loop->RunFor(Duration::Seconds(60));
  // Twelve readers with two kinds of calls, none more often than every 5 s.
  CHECK(loop->store_calls() - calls <= 12 * 2 * 60 / 5);
  loop->SetStoreUp(true);
  loop->WriteStore(2);
  uint64_t most = 0;
  for (int i = 0; i < 150; ++i) {
    calls = loop->store_calls();
    loop->RunFor(Duration(100));
    most = std::max(most, loop->store_calls() - calls);
  }
  // The readers do not call all at once.
  CHECK(most <= 12);
  CHECK(loop->nodes()[69].agent->spread().stamp().version == 2);
}

}  // namespace toucanknot
