#include <catch2/catch.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "include/base/error.h"
#include "include/entry/entry_settings.h"
#include "include/entry/host_record.h"
#include "include/entry/host_roster.h"
#include "src/entry/host_capacity.h"
#include "src/entry/load_exchange.h"

namespace toucanknot {
namespace {

constexpr char kSettings[] = R"({
  // A comment.
  "host": "h-1", "zone": "a-1", "region": "a",
  "regions": {"a-1": "a", "a-2": "a", "b-1": "b"},
  "callers": "127.0.0.1:80", "readiness": "127.0.0.1:81",
  "directory": "127.0.0.1:82", "store": "127.0.0.1:83", "peer_port": 84,
  "memory_mb": 260, "stop_within": "6s", "lookup_lifetime": "5s",
  "retry_ratio": 0.2, "retry_slack": 58, "retry_window": "10s",
  "server_heartbeat": "1500ms"
})";

HostRecord MakeHost(const std::string& name,
                    const std::string& zone,
                    uint16_t port) {
  return {HostId(name), ZoneId(zone), {"10.0.0.1", port}, 1};
}

std::set<uint16_t> Ports(const std::vector<Endpoint>& endpoints) {
  std::set<uint16_t> ports;
  for (const Endpoint& it : endpoints)
    ports.insert(it.port);
  return ports;
}

constexpr Instant At(int64_t ms) {
  return Instant(100'000 + ms);
}

}  // namespace

TEST_CASE("settings are parsed, and all problems are reported at once") {
  const EntrySettings settings = ParseEntrySettings(kSettings, "test");
  CHECK(settings.region == RegionId("a"));
  CHECK(settings.regions.at(ZoneId("b-1")) == RegionId("b"));
  CHECK(settings.stop_within == Duration(6'000));
  CHECK(settings.peers == Endpoint{"127.0.0.1", 84});
  try {
    ParseEntrySettings(R"({"host": "", "zone": "z", "stop_within": "6"})",
                       "test");
    FAIL("faulty settings were accepted");
  } catch (const InvalidConfigError& e) {
    CHECK(e.problems().size() >= 6);
  }
}

// A host does not start with settings that it cannot read.
TEST_CASE("settings of any size are kept as the largest that is of use") {
  const auto parse = [](const std::string& more) {
    return ParseEntrySettings(
        R"({"host":"h","zone":"z","region":"r","regions":{},"peer_port":84,)"
        R"("callers":"127.0.0.1:1","readiness":"127.0.0.1:2",)"
        R"("directory":"127.0.0.1:3","store":"127.0.0.1:4",)" +
            more + "}",
        "test");
  };
  const EntrySettings settings =
      parse(R"("memory_mb":9223372036854775807,"link_mbps":1e300,)"
            R"("cpu_share":1e300,"retry_ratio":1.5,"retry_slack":1e300,)"
            R"("cap_over":1e300,"cap_slack":1e300,"stop_within":"1e300s",)"
            R"("max_descriptors":9223372036854775807)");
  CHECK(settings.memory_bytes >= int64_t{1} << 40);
  CHECK(settings.link_mbps >= 1e7);
  CHECK(settings.cpu_share >= 1'024);
  CHECK(settings.retry_ratio == 1.5);
  CHECK(settings.stop_within == Duration::Seconds(365 * 24 * 3'600));
  CHECK(settings.max_descriptors >= 1 << 20);
  // Other hosts read the record that follows from them.
  const HostRecord record{settings.host, settings.zone, settings.callers, 7,
                          CapacityOf(settings)};
  CHECK(ReadHostRecord(WriteHostRecord(record)) == record);
  CHECK_THROWS_AS(parse(R"("link_mbps":-1)"), InvalidConfigError);
  CHECK_THROWS_AS(parse(R"("memory_mb":1.5)"), InvalidConfigError);
}

TEST_CASE("durations are parsed") {
  CHECK(ParseDuration("1500ms") == Duration(1'500));
  CHECK(ParseDuration("2.5s") == Duration(2'500));
  CHECK(ParseDuration("0ms") == Duration(0));
  CHECK(ParseDuration("1e300s") == Duration::Seconds(365 * 24 * 3'600));
  const std::string bad =
      GENERATE("", "5", "s", "-1s", "1 s", "1m", "nans", "infs", "1ss");
  CHECK_THROWS_AS(ParseDuration(bad), Error);
}

TEST_CASE("a host record survives a round trip") {
  const HostRecord record = MakeHost("h-1", "a-1", 80);
  CHECK(ReadHostRecord(WriteHostRecord(record)) == record);
  CHECK_THROWS_AS(ReadHostRecord("{}"), InvalidConfigError);
}

TEST_CASE("callers are sent to hosts of their region, by capacity") {
  HostRoster roster(MakeHost("self", "a-1", 1),
                    {{ZoneId("a-1"), RegionId("a")},
                     {ZoneId("a-2"), RegionId("a")},
                     {ZoneId("b-1"), RegionId("b")}});
  const auto ports = [&](const char* region) {
    return Ports(roster.AddressesFor({RegionId(region), ZoneId(), "10.9.0.1"}));
  };
  CHECK(ports("a").empty());
  roster.SetSelfReady(true);
  roster.OnHost(MakeHost("self", "a-1", 1), At(0));
  roster.OnHost(MakeHost("two", "a-2", 2), At(0));
  roster.OnHost(MakeHost("three", "b-1", 3), At(0));
  CHECK(ports("a") == std::set<uint16_t>{1, 2});
  CHECK(ports("b") == std::set<uint16_t>{3});
  CHECK(ports("c").size() == 2);
  CHECK(Ports(roster.PeerAddresses(RegionId("a"), true)) ==
        std::set<uint16_t>{2});
  CHECK(Ports(roster.PeerAddresses(RegionId("a"), false)) ==
        std::set<uint16_t>{3});
  std::map<ZoneId, double> capacity;
  for (const FleetHost& it : roster.FleetHosts())
    capacity[it.zone] += it.capacity;
  CHECK(capacity[ZoneId("a-1")] == 1);
  CHECK(capacity[ZoneId("b-1")] == 1);

  // Hosts with thin links used to be overloaded while strong ones idled.
  HostRecord strong = MakeHost("strong", "a-2", 4);
  strong.capacity = 10;
  roster.OnHost(strong, At(0));
  int first = 0;
  constexpr int kCallers = 600;
  for (int i = 0; i < kCallers; ++i) {
    const std::string caller = "10.9.0." + std::to_string(i);
    const auto addresses =
        roster.AddressesFor({RegionId("a"), ZoneId(), caller});
    REQUIRE(addresses.size() == 2);
    CHECK(addresses == roster.AddressesFor({RegionId("a"), ZoneId(), caller}));
    first += addresses[0].port == 4 ? 1 : 0;
  }
  // The strong host has 10/12 of the capacity.
  CHECK(first > kCallers * 3 / 4);
  CHECK(first < kCallers * 9 / 10);
}

TEST_CASE("a host without a record is dropped, after an outage with a grace") {
  HostRoster roster(MakeHost("self", "a-1", 1), {});
  roster.OnHost(MakeHost("two", "a-1", 2), At(0));
  CHECK(roster.HostCount(At(0)) == 2);
  roster.OnRemoved(HostId("two"), At(10));
  CHECK(roster.size() == 0);
  // The larger count stays in effect for a while.
  CHECK(roster.HostCount(At(20)) == 2);
  CHECK(roster.HostCount(At(20) + HostRoster::kCountMemory) == 1);
  roster.OnHost(MakeHost("two", "a-1", 2), At(0));
  roster.SetStoreUnreachable(true, At(100));
  roster.OnListed({}, At(200));
  roster.Advance(At(5'000));
  CHECK(roster.size() == 1);
  roster.SetStoreUnreachable(false, At(5'000));
  roster.OnListed({}, At(5'010));
  CHECK(roster.size() <= 1);
  roster.Advance(At(5'000) + HostRoster::kLapseGrace);
  CHECK(roster.size() == 0);
}

TEST_CASE("sheets survive a round trip; other datagrams are rejected") {
  const LoadSheet sheet{
      HostKey(HostId("h")),
      1'780'472'036'029,
      12,
      {{ServerKey(ServerId("a")), 3}, {7, 40'000}},
      {{0xfedcba9876543210, 9, Duration(1'500), true},
       {0x0123456789abcdef, 8, Duration(0), false}},
      {{3, 12.5}, {4, 0}},
      {{5, Duration(10)}},
      {{0xfedcba9876543211, Duration(299'000)}},
      {{6, 2.6, Duration(40)}, {7, std::nullopt, Duration(50)}}};
  const std::string bytes = EncodeSheet(sheet);
  const auto back = DecodeSheet(bytes);
  REQUIRE(back);
  CHECK(back->rows[0] == sheet.rows[0]);
  CHECK(back->rows[1].requests == 32'767);
  CHECK(back->sequence == 12);
  CHECK(back->crashes == sheet.crashes);
  CHECK(back->demands == sheet.demands);
  CHECK(back->completed == sheet.completed);
  CHECK(back->refused == sheet.refused);
  CHECK(back->limits == sheet.limits);
  CHECK_FALSE(DecodeSheet(""));
  std::mt19937_64 random(7);
  for (int i = 0; i < 3'000; ++i) {
    std::string mutated = bytes;
    for (uint64_t n = 1 + random() % 4; n > 0; --n)
      mutated[random() % mutated.size()] = static_cast<char>(random());
    mutated.resize(random() % (mutated.size() + 1));
    const auto sheet_or_none = DecodeSheet(mutated);
    CHECK((!sheet_or_none || sheet_or_none->rows.size() <= bytes.size()));
  }
}

TEST_CASE("sheets of an earlier incarnation or sequence are ignored") {
  PeerLoads loads;
  loads.OnLoadSheet({1, 5, 10, {{7, 3}}, {}}, At(0));
  loads.OnLoadSheet({1, 5, 9, {{7, 9}}, {}}, At(1));
  loads.OnLoadSheet({1, 4, 99, {{7, 9}}, {}}, At(1));
  loads.OnLoadSheet({2, 1, 1, {{7, 1}, {8, 2}}, {}}, At(1));
  CHECK(loads.InFlight(7) == 4);
  CHECK(loads.InFlight(8) == 2);
  CHECK(loads.fresh_hosts() == 2);
  loads.OnLoadSheet({1, 6, 1, {}, {}}, At(3));
  CHECK(loads.InFlight(7) == 1);
  loads.Expire(At(1'202));
  CHECK(loads.fresh_hosts() == 1);
  CHECK(loads.InFlight(7) == 0);
  loads.Expire(At(1'204));
  CHECK(loads.fresh_hosts() == 0);
}

TEST_CASE("a host that restarts with its clock set back is accepted") {
  PeerLoads loads;
  loads.OnLoadSheet({1, 9'000, 50, {{7, 3}}, {}}, At(0));
  // Either late or of a newer incarnation: not known yet.
  loads.OnLoadSheet({1, 4'000, 1, {{7, 1}}, {}}, At(100));
  CHECK(loads.InFlight(7) == 3);
  loads.OnLoadSheet({1, 4'000, 9, {{7, 2}}, {}},
                    At(PeerLoads::kFreshFor.ms() + 1));
  CHECK(loads.InFlight(7) == 2);
  loads.OnLoadSheet({1, 4'000, 10, {{7, 4}}, {}},
                    At(PeerLoads::kFreshFor.ms() + 2));
  CHECK(loads.InFlight(7) == 4);
}

// A caller that is sent to a host that has ended gets no connection.
TEST_CASE("an older copy of the store brings back no host that had left") {
  HostRoster roster(MakeHost("self", "a-1", 1),
                    {{ZoneId("a-1"), RegionId("a")}});
  roster.OnHost(MakeHost("gone", "a-1", 2), At(0));
  roster.OnHost(MakeHost("again", "a-1", 3), At(0));
  roster.OnHost(MakeHost("lost", "a-1", 4), At(0));
  roster.OnRemoved(HostId("gone"), At(1'000));
  roster.OnRemoved(HostId("again"), At(1'000));
  roster.OnHost(MakeHost("again", "a-1", 3), At(1'500));
  CHECK(roster.size() == 2);
  roster.OnStoreRestored(At(2'000));
  roster.OnHost(MakeHost("gone", "a-1", 2), At(2'100));
  roster.OnHost(MakeHost("again", "a-1", 3), At(2'100));
  roster.OnListed({HostId("gone"), HostId("again")}, At(2'100));
  // The copy lacks one that has written its record since.
  CHECK(roster.size() == 2);
  CHECK(roster.FleetHosts().size() == 2);
  roster.Advance(At(5'900));
  CHECK(roster.size() == 2);
  SECTION("unless its record outlives the lease") {
    roster.Advance(At(6'000));
    // The one that was lost has not come back.
    CHECK(roster.size() == 2);
    CHECK(Ports(roster.PeerAddresses(RegionId("a"), true)) ==
          std::set<uint16_t>{2, 3});
  }
  SECTION("whose record expires with the lease") {
    roster.OnRemoved(HostId("gone"), At(5'950));
    roster.Advance(At(6'000));
    CHECK(Ports(roster.PeerAddresses(RegionId("a"), true)) ==
          std::set<uint16_t>{3});
  }
}

}  // namespace toucanknot
