#include "include/health/quarantine.h"

#include <catch2/catch.hpp>
#include <memory>

#include "tests/health/crash_simulation.h"

namespace toucanknot {
namespace {

constexpr uint64_t kSeeds = 10;
constexpr int kMaxCrashed = 2;
const ServerId kOne("s1");
const ServerId kTwo("s2");

Quarantine SingleHost(Quarantine::Options options = {}) {
  return Quarantine(HostId("h"), options,
                    [](const ServerId&, Instant) { return 0; });
}

// Reserves `server`, waits, and sends `fingerprint` to it alone.
Instant SendAlone(Quarantine* quarantine,
                  uint64_t fingerprint,
                  const ServerId& server,
                  Instant now) {
  CHECK_FALSE(quarantine->TryRunAlone(fingerprint, server, 0, now));
  CHECK(quarantine->IsReserved(server, now));
  now = now + Quarantine::kReserveWait;
  CHECK_FALSE(quarantine->TryRunAlone(fingerprint, server, 1, now));
  REQUIRE(quarantine->TryRunAlone(fingerprint, server, 0, now));
  quarantine->OnSent(fingerprint, server, now);
  return now;
}

}  // namespace

TEST_CASE(
    "a crashing request crashes two servers, no harmless one is quarantined") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    CrashSimulation simulation({.seed = seed});
    simulation.Run(500);
    simulation.SendPoison(static_cast<int>(seed % 7), 20);
    simulation.Run(8'000);
    CHECK(simulation.crashed() == kMaxCrashed);
    CHECK(simulation.refusing() == 7);
    CHECK(simulation.wrongly_quarantined().empty());
    CHECK(simulation.suspects() == 0);
    CHECK(simulation.waiting() < 20);
  }
}

TEST_CASE("without quarantine every repeat crashes a server") {
  CrashSimulation simulation({.no_quarantine = true});
  simulation.Run(500);
  simulation.SendPoison(0, 20);
  simulation.Run(8'000);
  CHECK(simulation.crashed() == 21);
}

TEST_CASE("few servers: suspects must run alone to be distinguished") {
  const auto wrongly_quarantined = [](bool run_beside) {
    size_t sum = 0;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CrashSimulation simulation({.seed = seed,
                                  .servers = 4,
                                  .unique = 0.9,
                                  .run_beside = run_beside});
      simulation.Run(500);
      simulation.SendPoison(0, 20);
      simulation.Run(8'000);
      CHECK(simulation.crashed() <= kMaxCrashed);
      sum += simulation.wrongly_quarantined().size();
    }
    return sum;
  };
  CHECK(wrongly_quarantined(false) == 0);
  // The faulty variant lets suspects run beside other requests.
  CHECK(wrongly_quarantined(true) > 0);
}

TEST_CASE("repeats at one host while the first runs crash two servers") {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    CrashSimulation simulation({.seed = seed});
    simulation.Run(500);
    for (int i = 0; i < 8; ++i)
      simulation.SendPoison(2, 5);
    simulation.Run(8'000);
    CHECK(simulation.crashed() <= kMaxCrashed);
    CHECK(simulation.refusing() == 7);
    CHECK(simulation.wrongly_quarantined().empty());
  }
}

TEST_CASE("copies at several hosts at once crash at most one server each") {
  const int hosts = GENERATE(2, 4);
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed << ", hosts " << hosts);
    CrashSimulation simulation({.seed = seed});
    simulation.Run(500);
    for (int i = 0; i < hosts; ++i)
      simulation.SendPoison(i, 5);
    simulation.Run(6'000);
    CHECK(simulation.crashed() <= hosts);
    CHECK(simulation.refusing() == 7);
  }
}

TEST_CASE("an isolated host counts crashes on its own") {
  CrashSimulation simulation({});
  simulation.Cut(6, true);
  simulation.Run(500);
  simulation.SendPoison(0, 20);
  simulation.Run(8'000);
  // Repeats reach the isolated host too.
  CHECK(simulation.crashed() <= 2 * kMaxCrashed);
  CHECK(simulation.wrongly_quarantined().empty());
  // It learns of the quarantine when it is connected again.
  simulation.Cut(6, false);
  for (const CrashNotice& it :
       simulation.quarantine(0).Snapshot(Instant(simulation.now())))
    simulation.quarantine(6).OnNotice(it, Instant(simulation.now()));
  CHECK(simulation.refusing() == 7);
}

TEST_CASE("connections to many servers breaking at once make no suspects") {
  CrashSimulation simulation({});
  simulation.Run(500);
  simulation.BreakConnections(3, 24);
  simulation.Run(1'000);
  CHECK(simulation.suspects() == 0);
  CHECK(simulation.wrongly_quarantined().empty());
  CHECK(simulation.waiting() < 20);
}

TEST_CASE(
    "a crash makes a suspect, a second one in a run alone quarantines it") {
  Quarantine quarantine = SingleHost();
  Instant now(0);
  quarantine.OnSent(7, kOne, now);
  quarantine.OnBroken(7, kOne, now);
  CHECK(quarantine.ModeOf(7, now) == RunMode::kAlone);
  now = SendAlone(&quarantine, 7, kTwo, now);
  CHECK(quarantine.ModeOf(7, now) == RunMode::kWait);
  quarantine.OnBroken(7, kTwo, now);
  CHECK(quarantine.ModeOf(7, now) == RunMode::kRefuse);
  CHECK_FALSE(quarantine.IsReserved(kTwo, now));
  // The quarantine expires.
  CHECK(quarantine.ModeOf(7, now + Duration(299'999)) == RunMode::kRefuse);
  CHECK(quarantine.ModeOf(7, now + Duration(300'000)) == RunMode::kFree);
}

TEST_CASE("a complete response clears a suspect") {
  Quarantine quarantine = SingleHost();
  quarantine.OnSent(7, kOne, Instant(0));
  quarantine.OnSent(8, kOne, Instant(0));
  quarantine.OnBroken(7, kOne, Instant(5));
  quarantine.OnBroken(8, kOne, Instant(5));
  const Instant now = SendAlone(&quarantine, 8, kTwo, Instant(5));
  quarantine.OnEnded(8, kTwo, true, now);
  CHECK(quarantine.ModeOf(8, now) == RunMode::kFree);
  CHECK(quarantine.ModeOf(7, now) == RunMode::kAlone);
}

TEST_CASE("a run alone that ends without a result leaves a suspect") {
  Quarantine quarantine = SingleHost();
  quarantine.OnSent(7, kOne, Instant(0));
  quarantine.OnBroken(7, kOne, Instant(0));
  const Instant now = SendAlone(&quarantine, 7, kTwo, Instant(0));
  quarantine.OnEnded(7, kTwo, false, now);
  CHECK(quarantine.ModeOf(7, now) == RunMode::kAlone);
  CHECK_FALSE(quarantine.IsReserved(kTwo, now));
}

TEST_CASE("a known-good fingerprint is not quarantined without a run alone") {
  Quarantine quarantine = SingleHost();
  quarantine.OnSent(7, kOne, Instant(0));
  quarantine.OnEnded(7, kOne, true, Instant(0));
  quarantine.OnSent(7, kOne, Instant(10));
  quarantine.OnSent(7, kTwo, Instant(10));
  quarantine.OnBroken(7, kOne, Instant(20));
  quarantine.OnBroken(7, kTwo, Instant(30));
  CHECK(quarantine.ModeOf(7, Instant(30)) == RunMode::kAlone);
}

TEST_CASE("a request that breaks at two of many servers becomes a suspect") {
  Quarantine quarantine = SingleHost();
  Instant now(1'000);
  const auto crash = [&](uint64_t fingerprint, const std::string& server) {
    now = now + Duration(50);
    quarantine.OnSent(fingerprint, ServerId(server), now);
    quarantine.OnBroken(fingerprint, ServerId(server), now);
  };
  crash(1, "a");
  crash(2, "b");
  crash(3, "c");
  CHECK(quarantine.ModeOf(1, now) == RunMode::kFree);
  crash(1, "d");
  CHECK(quarantine.ModeOf(1, now) == RunMode::kAlone);
  crash(4, "e");
  CHECK(quarantine.ModeOf(1, now) == RunMode::kAlone);
  CHECK(quarantine.ModeOf(2, now) == RunMode::kFree);
  CHECK(quarantine.ModeOf(4, now) == RunMode::kFree);
  SendAlone(&quarantine, 1, ServerId("f"), now);
  quarantine.OnBroken(1, ServerId("f"), now + Quarantine::kReserveWait);
  CHECK(quarantine.ModeOf(1, now + Duration(1'000)) == RunMode::kRefuse);
}

TEST_CASE("of two hosts that reserve at once, one releases") {
  const auto none = [](const ServerId&, Instant) { return 0; };
  Quarantine a(HostId("a"), {}, none);
  Quarantine b(HostId("b"), {}, none);
  const CrashNotice suspect{.fingerprint = 7,
                            .sender = HostId("c"),
                            .servers = {kOne},
                            .remaining = Duration(60'000)};
  for (Quarantine* it : {&a, &b})
    it->OnNotice(suspect, Instant(0));
  CHECK_FALSE(a.TryRunAlone(7, kOne, 0, Instant(0)));
  CHECK_FALSE(b.TryRunAlone(7, kTwo, 0, Instant(5)));
  for (const CrashNotice& it : a.TakeNotices())
    b.OnNotice(it, Instant(20));
  for (const CrashNotice& it : b.TakeNotices())
    a.OnNotice(it, Instant(25));
  CHECK(a.TryRunAlone(7, kOne, 0, Instant(200)));
  CHECK_FALSE(b.TryRunAlone(7, kTwo, 0, Instant(200)));
  CHECK(b.ModeOf(7, Instant(200)) == RunMode::kWait);
  CHECK(b.IsReserved(kOne, Instant(200)));
  CHECK_FALSE(a.IsReserved(kTwo, Instant(200)));
}

TEST_CASE(
    "memory is bounded, and suspects are evicted before quarantined ones") {
  Quarantine quarantine = SingleHost({.max_records = 100});
  quarantine.OnNotice({.kind = CrashNoticeKind::kQuarantined,
                       .fingerprint = 1,
                       .sender = HostId("c"),
                       .remaining = Duration(1'000'000)},
                      Instant(0));
  for (uint64_t i = 10; i < 5'000; ++i) {
    quarantine.OnSent(i, kOne, Instant(0));
    quarantine.OnBroken(i, kOne, Instant(0));
  }
  CHECK(quarantine.records() == 100);
  CHECK(quarantine.ModeOf(1, Instant(0)) == RunMode::kRefuse);
  CHECK(quarantine.TakeNotices().size() <= 1'024);
  // A peer cannot quarantine for longer than the configured time.
  CHECK(quarantine.ModeOf(1, Instant(300'000)) == RunMode::kFree);
}

}  // namespace toucanknot
