#include "include/placing/server_registry.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace toucanknot {
namespace {

ServerEntry MakeEntry(const std::string& id) {
  ServerEntry entry;
  entry.id = ServerId(id);
  entry.service = ServiceId("s");
  entry.endpoint = {"127.0.0.1", 1};
  entry.zone = ZoneId("z");
  entry.slots = 4;
  entry.incarnation = 100;
  entry.sequence = 5;
  return entry;
}

struct Fixture {
  std::vector<std::string> changes;
  ServerRegistry registry{
      [this](ServerChange change, const ServerRegistry::Server& server) {
        changes.push_back(server.entry.id.str() + " " +
                          std::string(kServerChangeNames.Name(change)));
      }};
  size_t Usable() { return registry.Usable(ServiceId("s")).size(); }
};

constexpr  // The store had been heard long before it went away.
    const Instant kLongAgo(1);

Instant At(int64_t ms) {
  return Instant(100'000 + ms);
}

}  // namespace

TEST_CASE("a server that leaves takes no work, and is gone when removed") {
  Fixture it;
  it.registry.OnEntry(MakeEntry("a"), At(0));
  CHECK(it.Usable() == 1);
  ServerEntry leaving = MakeEntry("a");
  leaving.leaving = true;
  leaving.sequence = 6;
  it.registry.OnEntry(leaving, At(1));
  CHECK(it.Usable() == 0);
  it.registry.OnRemoved(ServerId("a"), At(2));
  CHECK(it.registry.Find(ServerId("a")) == nullptr);
  CHECK(it.changes ==
        std::vector<std::string>{"a appeared", "a leaving", "a gone"});
}

TEST_CASE("late news of an earlier heartbeat or life is ignored") {
  Fixture it;
  ServerEntry entry = MakeEntry("a");
  entry.leaving = true;
  it.registry.OnEntry(entry, At(0));
  ServerEntry earlier = MakeEntry("a");
  earlier.sequence = 4;
  it.registry.OnEntry(earlier, At(1));
  CHECK(it.Usable() == 0);
  ServerEntry other_life = MakeEntry("a");
  other_life.incarnation = 99;
  other_life.sequence = 900;
  it.registry.OnEntry(other_life, At(2));
  CHECK(it.Usable() == 0);
}

TEST_CASE("a new life under a known id begins afresh, whatever its sequence") {
  Fixture it;
  it.registry.OnEntry(MakeEntry("a"), At(0));
  ServerEntry reborn = MakeEntry("a");
  reborn.incarnation = 101;
  reborn.sequence = 1;
  reborn.cold_left = Duration(3'000);
  reborn.service = ServiceId("t");
  it.registry.OnEntry(reborn, At(10));
  CHECK(it.changes.back() == "a restarted");
  CHECK(it.Usable() == 0);
  REQUIRE(it.registry.Usable(ServiceId("t")).size() == 1);
  CHECK(it.registry.Find(ServerId("a"))->cold_until == At(3'010));
  CHECK(it.registry.Find(ServerId("a"))->appeared_at == At(10));
}

TEST_CASE("what lapsed in an outage is used until the grace is over") {
  Fixture it;
  it.registry.OnEntry(MakeEntry("a"), At(0));
  it.registry.OnEntry(MakeEntry("b"), At(0));
  it.registry.SetStoreAway(true, kLongAgo, At(1'000));
  it.registry.Advance(At(60'000));
  CHECK(it.Usable() == 2);
  it.registry.SetStoreAway(false, kLongAgo, At(60'000));
  it.registry.OnListed({}, At(60'100));
  CHECK(it.Usable() == 2);
  // One writes its entry again.
  it.registry.OnEntry(MakeEntry("a"), At(61'000));
  it.registry.Advance(At(60'000) + ServerRegistry::kLapseGrace);
  CHECK(it.Usable() == 1);
  CHECK(it.changes.back() == "b gone");
}

TEST_CASE("flapping does not put the end of the grace off") {
  // A host that had been cut off used a server for 3.3 s after its return that
  // had left meanwhile: each failed connection began another outage.
  Fixture it;
  it.registry.OnEntry(MakeEntry("a"), At(0));
  it.registry.SetStoreAway(true, kLongAgo, At(1'000));
  it.registry.SetStoreAway(false, kLongAgo, At(13'000));
  for (int64_t at = 13'050; at < 14'000; at += 100) {
    it.registry.SetStoreAway(true, kLongAgo, At(at));
    it.registry.SetStoreAway(false, kLongAgo, At(at + 50));
  }
  it.registry.OnListed({}, At(14'000));
  CHECK(it.Usable() == 1);
  it.registry.Advance(At(13'000) + ServerRegistry::kLapseGrace);
  CHECK(it.Usable() == 0);
}

TEST_CASE("a host that was cut off has dropped what left in time") {
  // Three seconds after its return it is bound by what left meanwhile; it used
  // such a server 3.003 s after, since its grace ended up to half a second
  // late.
  constexpr Duration kToFindTheStore{700};
  constexpr Duration kBound{3'000};
  Fixture it;
  it.registry.OnEntry(MakeEntry("a"), At(0));
  it.registry.SetStoreAway(true, kLongAgo, At(1'000));
  const Instant back = At(13'000) + kToFindTheStore;
  it.registry.SetStoreAway(false, kLongAgo, back);
  it.registry.OnListed({}, back + Duration(5));
  for (Instant now = back; now < At(13'000) + kBound;
       now = now + ServerRegistry::kAdvanceEvery) {
    it.registry.Advance(now);
  }
  CHECK(it.Usable() == 0);
}

TEST_CASE("a silence too short for entries to lapse gives no grace") {
  // Soak, seed 148: one host's watch went silent and was given up after 2.2 s;
  // a server that had left meanwhile was used for 2 s more.
  const auto [silence, grace] = GENERATE(
      table<int64_t, bool>({{2'250, false}, {2'690, false}, {2'750, true}}));
  Fixture it;
  it.registry.SetHeartbeat(Duration(1'500));
  it.registry.OnEntry(MakeEntry("a"), At(0));
  it.registry.SetStoreAway(true, At(10'000), At(10'000 + silence - 50));
  it.registry.SetStoreAway(false, At(10'000), At(10'000 + silence));
  it.registry.OnListed({}, At(10'000 + silence));
  CHECK(it.registry.IsUsable(ServerId("a")) == grace);
}

TEST_CASE("a server that had said that it leaves gets no grace") {
  Fixture it;
  ServerEntry entry = MakeEntry("a");
  entry.leaving = true;
  it.registry.OnEntry(entry, At(0));
  it.registry.SetStoreAway(true, kLongAgo, At(1'000));
  it.registry.SetStoreAway(false, kLongAgo, At(2'000));
  it.registry.OnListed({}, At(2'001));
  CHECK(it.registry.Find(ServerId("a")) == nullptr);
}

TEST_CASE("an evacuated zone takes no work, and may be cold afterwards") {
  Fixture it;
  it.registry.SetHeartbeat(Duration(1'500));
  it.registry.OnEntry(MakeEntry("a"), At(0));
  it.registry.Evacuate(ZoneId("z"));
  CHECK(it.Usable() == 0);
  CHECK_FALSE(it.registry.IsUsable(ServerId("a")));
  it.registry.Restore(ZoneId("z"), At(9'000));
  CHECK(it.Usable() == 1);
  CHECK(it.registry.Find(ServerId("a"))->cold_until == At(10'500));
  // Restoring what was not evacuated changes nothing.
  it.registry.Restore(ZoneId("z"), At(20'000));
  CHECK(it.registry.Find(ServerId("a"))->cold_until == At(10'500));
}

}  // namespace toucanknot
