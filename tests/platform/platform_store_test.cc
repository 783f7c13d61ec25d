#include "platform/platform_store.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <future>
#include <set>
#include <string>
#include <thread>

#include "tests/platform/store_standin.h"

namespace toucanknot::platform {
namespace {

constexpr char kServer[] =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",)"
    R"("slots":4,"state":"ready","cold_left":"0ms","sequence":1,"born":7})";

std::string Config(int version) {
  return R"({"version":"r)" + std::to_string(version) +
         R"(","routes":{},"services":{},"limits":{"max_header_bytes":16384,)"
         R"("max_body_bytes":1000,"header_timeout":"3s","idle_timeout":"15s"}})";
}

// A PlatformStore on its own loop, and the state that it reported.
struct Fixture {
  explicit Fixture(int64_t memory_bytes = 256LL << 20)
      : store(loop,
              standin.endpoint(),
              {Duration(2'500), {}, memory_bytes},
              1) {
    thread = std::thread([this] { loop.run(); });
  }
  ~Fixture() {
    loop.stop();
    thread.join();
  }

  void Start() {
    FleetStoreListener listener;
    listener.config = [this](RouteConfigPtr c) { version = c->version; };
    listener.zone_evacuated = [this](const ZoneId& z) { zones.insert(z); };
    listener.zone_restored = [this](const ZoneId& z) { zones.erase(z); };
    listener.evacuations_listed = [this](const std::set<ZoneId>& z) {
      zones = z;
    };
    listener.server = [this](const ServerEntry& e) { servers.insert(e.id); };
    listener.server_removed = [this](const ServerId& id) { servers.erase(id); };
    listener.servers_listed = [this](const std::set<ServerId>& ids) {
      ++listings;
      std::erase_if(servers,
                    [&](const ServerId& id) { return !ids.contains(id); });
    };
    listener.host = [this](const HostRecord& r) { hosts.insert(r.host); };
    listener.host_removed = [this](const HostId& h) { hosts.erase(h); };
    listener.hosts_listed = [](const std::set<HostId>&) {};
    listener.store_unreachable = [this](bool a) { away = a; };
    boost::asio::post(loop, [this, listener] { store.Start(listener); });
  }

  // Runs `check` on the loop until it returns true, for at most 10 s.
  bool WaitUntil(const std::function<bool()>& check) {
    for (int i = 0; i < 1'000; ++i) {
      std::promise<bool> done;
      boost::asio::post(loop, [&] { done.set_value(check()); });
      if (done.get_future().get())
        return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
  }

  StoreStandin standin;
  boost::asio::io_context loop;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard{loop.get_executor()};
  PlatformStore store;
  std::thread thread;
  ConfigVersion version;
  std::set<ZoneId> zones;
  std::set<ServerId> servers;
  std::set<HostId> hosts;
  int listings = 0;
  bool away = false;
};

}  // namespace

TEST_CASE("the store is read page by page, and then watched for changes") {
  Fixture it;
  it.standin.SetPageSize(2);
  it.standin.Put("op/config", Config(3));
  for (const char* id : {"a", "b", "c", "d"})
    it.standin.Put(std::string("servers/") + id, kServer);
  it.Start();
  REQUIRE(
      it.WaitUntil([&] { return it.version == 3 && it.servers.size() == 4; }));
  it.standin.Put("op/config", Config(8));
  it.standin.Put("op/evacuate/z", "{}");
  it.standin.Remove("servers/a");
  CHECK(it.WaitUntil([&] {
    return it.version == 8 && it.servers.size() == 3 && it.zones.size() == 1;
  }));
  it.standin.Remove("op/evacuate/z");
  CHECK(it.WaitUntil([&] { return it.zones.empty(); }));
}

// Operators must see that hosts go on with an earlier version.
TEST_CASE("a configuration that cannot be used is counted while it is there") {
  Fixture it;
  it.standin.Put("op/config", Config(3));
  it.standin.Put("servers/x", "{");
  it.Start();
  REQUIRE(it.WaitUntil([&] { return it.version == 3 && it.listings == 1; }));
  CHECK(it.WaitUntil([&] {
    const FleetStoreCounts n = it.store.counts();
    return n.unusable_items == 1 && !n.config_unusable;
  }));
  it.standin.Put("op/config", R"({"version":"r4",)");
  CHECK(it.WaitUntil([&] {
    const FleetStoreCounts n = it.store.counts();
    return n.unusable_items == 2 && n.config_unusable;
  }));
  it.standin.Put("op/config", Config(5));
  it.standin.Remove("servers/x");
  CHECK(it.WaitUntil([&] {
    const FleetStoreCounts n = it.store.counts();
    return n.unusable_items == 0 && !n.config_unusable && it.version == 5;
  }));
}

TEST_CASE("malformed items do not affect other items") {
  Fixture it;
  it.standin.Put("servers/good", kServer);
  it.standin.Put("servers/no-json", "{");
  it.standin.Put("servers/list", "[1]");
  it.standin.Put("servers/state",
                 R"({"service":"s","address":"10.0.0.1:80","zone":"z",)"
                 R"("version":"v1","slots":4,"state":"odd","cold_left":"0ms",)"
                 R"("sequence":1})");
  it.standin.Put("op/config", R"({"version":7})");
  it.standin.Put("toucanknot/hosts/x", "\xff\xfe");
  it.standin.Put("elsewhere", "?");
  it.Start();
  REQUIRE(it.WaitUntil([&] { return it.listings == 1; }));
  CHECK(it.WaitUntil([&] { return it.servers == std::set{ServerId("good")}; }));
  CHECK(it.WaitUntil([&] { return it.store.counts().malformed_items == 5; }));
}

TEST_CASE("odd entries of another writer do not stop the host from following") {
  Fixture it;
  const std::string deep(50'000, '[');
  const std::string entry(kServer);
  const auto put_odd = [&](const std::string& name) {
    it.standin.Put("servers/deep" + name, deep);
    it.standin.Put("toucanknot/hosts/deep" + name, deep);
    it.standin.Put("toucanknot/hosts/number" + name,
                   R"({"host":"h","zone":"z","callers":"1.2.3.4:99999",)"
                   R"("incarnation":1e400,"capacity":-1})");
    it.standin.Put("servers/number" + name,
                   std::string(entry).replace(entry.find("\"born\":7"), 8,
                                              "\"born\":1e400"));
    it.standin.Put("op/evacuate/", "");
    it.standin.Put("servers/", "x");
    it.standin.Put("a odd&key=%\r\n" + name, "\xff");
  };
  put_odd("-listed");
  // Several pages, so that the reading goes on after odd keys.
  it.standin.SetPageSize(1);
  it.standin.Put("servers/a", kServer);
  it.Start();
  CHECK(it.WaitUntil([&] { return it.servers.contains(ServerId("a")); }));
  put_odd("-watched");
  it.standin.Put("servers/b", kServer);
  CHECK(it.WaitUntil([&] { return it.servers.contains(ServerId("b")); }));
  it.standin.Remove("servers/a");
  CHECK(it.WaitUntil([&] { return !it.servers.contains(ServerId("a")); }));
  CHECK(it.servers.size() == 1);
  CHECK(it.hosts.empty());
}

TEST_CASE("changes in quick succession are read with few calls") {
  // Each watch that returns is billed. At a fleet of 24 hosts, whose servers'
  // entries change many times a second, these calls were the largest cost
  // besides the machines.
  Fixture it;
  it.standin.Put("servers/a", kServer);
  it.Start();
  REQUIRE(it.WaitUntil([&] { return it.servers.size() == 1; }));
  const int before = it.standin.CountCalls("GET /v1/kv-watch");
  it.standin.Put("servers/first", kServer);
  REQUIRE(it.WaitUntil([&] { return it.servers.size() == 2; }));
  for (int i = 0; i < 50; ++i)
    it.standin.Put("servers/b" + std::to_string(i), kServer);
  REQUIRE(it.WaitUntil([&] { return it.servers.size() == 52; }));
  // The watch that reports the first change, and the one that reports the rest.
  CHECK(it.standin.CountCalls("GET /v1/kv-watch") <= before + 3);
}

TEST_CASE("a silently dropped watch is replaced in time") {
  // Guards against a failure where an unresponsive store dropped a pending
  // watch, and changes went unnoticed for 21 s.
  Fixture it;
  it.standin.Put("servers/a", kServer);
  it.Start();
  REQUIRE(it.WaitUntil([&] { return it.servers.size() == 1; }));
  REQUIRE(it.WaitUntil(
      [&] { return it.standin.CountCalls("GET /v1/kv-watch") > 0; }));
  it.standin.DropWatches();
  it.standin.Remove("servers/a");
  const Instant start = SteadyNow();
  REQUIRE(it.WaitUntil([&] { return it.servers.empty(); }));
  CHECK(SteadyNow() - start < Duration(5'000));
  CHECK(it.WaitUntil([&] { return it.listings >= 2; }));
}

TEST_CASE("the keys are read again after the store lost its history") {
  Fixture it;
  it.standin.Put("servers/a", kServer);
  it.Start();
  REQUIRE(it.WaitUntil([&] { return it.servers.size() == 1; }));
  it.standin.RejectWith(503);
  REQUIRE(it.WaitUntil([&] { return it.away; }));
  it.standin.Remove("servers/a");
  it.standin.Put("servers/b", kServer);
  it.standin.Compact();
  it.standin.RejectWith(0);
  CHECK(it.WaitUntil([&] { return it.servers == std::set{ServerId("b")}; }));
  CHECK(it.WaitUntil([&] { return !it.away; }));
}

TEST_CASE("a host's record is published until it is withdrawn") {
  Fixture it;
  it.Start();
  const HostRecord record{HostId("h"), ZoneId("z"), {"10.0.0.1", 80}, 5};
  boost::asio::post(it.loop, [&] { it.store.Publish(record); });
  REQUIRE(it.WaitUntil([&] { return it.hosts.size() == 1; }));
  CHECK(ReadHostRecord(it.standin.Get("toucanknot/hosts/h")) == record);
  boost::asio::post(it.loop, [&] { it.store.Withdraw(); });
  CHECK(it.WaitUntil([&] { return it.hosts.empty(); }));
}

TEST_CASE("a host's record is written again when it is removed") {
  // A late write binds the record to a lease that the host gave up; when that
  // lease expires, the record is removed, although the host renews another one.
  Fixture it;
  it.Start();
  const HostRecord record{HostId("h"), ZoneId("z"), {"10.0.0.1", 80}, 5};
  boost::asio::post(it.loop, [&] { it.store.Publish(record); });
  REQUIRE(it.WaitUntil([&] { return it.hosts.size() == 1; }));
  it.standin.Remove("toucanknot/hosts/h");
  REQUIRE(it.WaitUntil([&] { return it.hosts.empty(); }));
  CHECK(it.WaitUntil([&] { return it.hosts.size() == 1; }));
  CHECK(ReadHostRecord(it.standin.Get("toucanknot/hosts/h")) == record);
}

// A host gave up on a listing that was larger than an eighth of its memory, and
// started over for ever, without its configuration.
TEST_CASE("unreadable entries of any size do not keep a host from starting") {
  Fixture it(64 << 20);
  it.standin.Put("op/config", Config(3));
  for (int i = 0; i < 40; ++i)
    it.standin.Put("servers/" + std::to_string(i),
                   std::string(1 << 20, '\xff'));
  it.standin.Put("servers/x", kServer);
  it.Start();
  REQUIRE(it.WaitUntil([&] { return it.listings == 1; }));
  CHECK(it.version == 3);
  CHECK(it.servers == std::set<ServerId>{ServerId("x")});
  CHECK(it.store.counts().unusable_items == 40);
}

TEST_CASE("of unreadable keys, a bounded number is remembered") {
  Fixture it;
  it.standin.Put("op/config", Config(3));
  for (int i = 0; i < 5'000; ++i)
    it.standin.Put("servers/" + std::to_string(i), "{");
  it.standin.Put("servers/x", kServer);
  it.Start();
  REQUIRE(it.WaitUntil([&] { return it.listings == 1; }));
  CHECK(it.servers.contains(ServerId("x")));
  CHECK(it.store.counts().unusable_items == 1'000);
  // One that can be read later is, whether it was remembered or not.
  for (const char* id : {"0", "999", "4999"})
    it.standin.Put(std::string("servers/") + id, kServer);
  CHECK(it.WaitUntil([&] { return it.servers.size() == 4; }));
}

TEST_CASE("keys of others are passed over, and come before no key of ours") {
  Fixture it;
  it.standin.SetPageSize(10);
  for (int i = 0; i < 300; ++i) {
    for (const char* prefix : {"a/", "p/", "t/", "z/"})
      it.standin.Put(prefix + std::to_string(i), "?");
  }
  it.standin.Put("op/config", Config(3));
  it.standin.Put("servers/x", kServer);
  it.Start();
  REQUIRE(it.WaitUntil([&] { return it.listings == 1; }));
  CHECK(it.version == 3);
  CHECK(it.servers.size() == 1);
  CHECK(it.standin.CountCalls("GET /v1/kv-range") <= 5);
}

TEST_CASE("a page that fails costs none of the pages before it") {
  Fixture it;
  it.standin.SetPageSize(1);
  it.standin.Put("op/config", Config(3));
  for (int i = 10; i < 40; ++i)
    it.standin.Put("servers/" + std::to_string(i), kServer);
  it.standin.SetDelay(Duration(30));
  it.Start();
  const auto pages = [&] { return it.standin.CountCalls("GET /v1/kv-range"); };
  REQUIRE(it.WaitUntil([&] { return pages() > 10; }));
  it.standin.RejectWith(503);
  CHECK(it.WaitUntil([&] { return it.version == 3; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  it.standin.RejectWith(0);
  const int before = pages();
  REQUIRE(it.WaitUntil([&] { return it.listings == 1; }));
  CHECK(it.servers.size() == 30);
  CHECK(pages() - before <= 22);
}

TEST_CASE("a long listing holds up no change, and what it lacks is gone") {
  Fixture it;
  it.standin.SetPageSize(1);
  it.standin.Put("op/config", Config(3));
  for (int i = 10; i < 40; ++i)
    it.standin.Put("servers/" + std::to_string(i), kServer);
  it.Start();
  REQUIRE(it.WaitUntil([&] { return it.listings == 1; }));
  // The next reading takes 31 pages of 150 ms.
  it.standin.SetDelay(Duration(150));
  it.standin.Compact();
  it.standin.DropWatches();
  const int reads = it.standin.CountCalls("GET /v1/kv-range");
  it.standin.Put("servers/11", kServer);
  it.standin.Compact();
  REQUIRE(it.WaitUntil(
      [&] { return it.standin.CountCalls("GET /v1/kv-range") > reads + 15; }));
  // One that the listing has passed, one that it has not, and one of each that
  // is new.
  it.standin.Remove("servers/12");
  it.standin.Remove("servers/38");
  it.standin.Put("servers/00", kServer);
  it.standin.Put("servers/zz", kServer);
  it.standin.Put("op/config", Config(4));
  REQUIRE(it.WaitUntil([&] { return it.version == 4; }));
  CHECK(it.listings == 1);
  REQUIRE(it.WaitUntil([&] { return it.listings == 2; }));
  CHECK(it.WaitUntil([&] { return it.servers.size() == 30; }));
  CHECK_FALSE(it.servers.contains(ServerId("12")));
  CHECK_FALSE(it.servers.contains(ServerId("38")));
  CHECK(it.servers.contains(ServerId("00")));
  CHECK(it.servers.contains(ServerId("zz")));
}

}  // namespace toucanknot::platform
