// Guards against followers of a zone's readers that call the store as often as
// before, that miss changes when readers stop, or that take a change for
// another one, over the store's protocol with datagrams in memory.

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <future>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "platform/platform_store.h"
#include "src/entry/store_news_codec.h"
#include "tests/platform/store_standin.h"

namespace toucanknot::platform {
namespace {

constexpr char kServer[] =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",)"
    R"("slots":4,"state":"ready","cold_left":"0ms","sequence":1,"born":7})";

std::string Config(int version, size_t bytes = 0) {
  return R"({"version":"r)" + std::to_string(version) +
         R"(","routes":{},"services":{},"limits":{"max_header_bytes":16384,)"
         R"("max_body_bytes":1000,"header_timeout":"3s","idle_timeout":"15s"})" +
         std::string(bytes, ' ') + "}";
}

struct ZoneHost {
  ZoneHost(boost::asio::io_context& loop,
           const Endpoint& endpoint,
           const std::string& name,
           std::optional<Duration> revoke_within,
           uint64_t seed)
      : record{HostId(name), ZoneId("z"), {"10.0.0.1", 80}, seed + 1, 5},
        store(loop, endpoint, {Duration(2'500), revoke_within}, seed) {}

  HostRecord record;
  PlatformStore store;
  std::set<ServerId> servers;
  std::set<HostId> hosts;
  ConfigVersion version;
  bool went_back = false;
  bool away = false;
  // Sends and receives no news.
  bool deaf = false;
};

// The hosts of one zone, on one loop.
struct Zone {
  explicit Zone(int n, std::optional<Duration> revoke_within = std::nullopt) {
    for (int i = 0; i < n; ++i) {
      hosts.push_back(std::make_unique<ZoneHost>(
          loop, standin.endpoint(), "h" + std::to_string(i), revoke_within, i));
    }
    thread = std::thread([this] { loop.run(); });
    boost::asio::post(loop, [this] {
      for (auto& it : hosts)
        Start(*it);
    });
  }
  ~Zone() {
    loop.stop();
    thread.join();
  }

  void Start(ZoneHost& host) {
    FleetStoreListener listener;
    listener.config = [&](RouteConfigPtr c) {
      host.went_back |= c->version < host.version;
      host.version = c->version;
    };
    listener.zone_evacuated = [](const ZoneId&) {};
    listener.zone_restored = [](const ZoneId&) {};
    listener.evacuations_listed = [](const std::set<ZoneId>&) {};
    listener.server = [&](const ServerEntry& e) { host.servers.insert(e.id); };
    listener.server_removed = [&](const ServerId& id) {
      host.servers.erase(id);
    };
    listener.servers_listed = [&](const std::set<ServerId>& ids) {
      std::erase_if(host.servers,
                    [&](const ServerId& id) { return !ids.contains(id); });
    };
    listener.host = [&](const HostRecord& r) { host.hosts.insert(r.host); };
    listener.host_removed = [&](const HostId& h) { host.hosts.erase(h); };
    listener.hosts_listed = [](const std::set<HostId>&) {};
    listener.store_unreachable = [&](bool away) { host.away = away; };
    listener.send_news = [this, &host](const StoreNews& news) {
      const std::string bytes = EncodeStoreNews(news);
      largest = std::max<size_t>(largest, bytes.size());
      for (auto& it : hosts) {
        if (it.get() == &host || it->deaf || host.deaf || no_news)
          continue;
        boost::asio::post(loop, [&to = *it, bytes] {
          to.store.OnNews(*DecodeStoreNews(bytes));
        });
      }
    };
    host.store.Start(listener);
    host.store.Publish(host.record);
  }

  // Runs `check` on the loop until it returns true, for at most `limit`.
  bool WaitUntil(const std::function<bool()>& check,
                 Duration limit = Duration(15'000)) {
    const Instant end = SteadyNow() + limit;
    do {
      std::promise<bool> done;
      boost::asio::post(loop, [&] { done.set_value(check()); });
      if (done.get_future().get())
        return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    } while (SteadyNow() < end);
    return false;
  }
  int Following() const {
    int n = 0;
    for (const auto& it : hosts)
      n += it->store.counts().following ? 1 : 0;
    return n;
  }
  bool WaitFollowing(int n) {
    return WaitUntil([&] { return Following() == n; });
  }
  bool AllHave(const ServerId& id) const {
    for (const auto& it : hosts) {
      if (!it->servers.contains(id))
        return false;
    }
    return true;
  }
  int Watches() { return standin.CountCalls("GET /v1/kv-watch"); }
  int Reads() { return standin.CountCalls("GET /v1/kv-range"); }

  StoreStandin standin;
  boost::asio::io_context loop;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard{loop.get_executor()};
  std::vector<std::unique_ptr<ZoneHost>> hosts;
  bool no_news = false;
  std::atomic<size_t> largest = 0;
  std::thread thread;
};

}  // namespace

TEST_CASE("two hosts of a zone watch the store, and the others follow") {
  constexpr int kHosts = 8;
  Zone zone(kHosts);
  zone.standin.Put("op/config", Config(1));
  REQUIRE(zone.WaitFollowing(kHosts - 2));
  const int watches = zone.Watches();
  const int reads = zone.Reads();
  const Instant start = SteadyNow();
  for (int i = 0; i < 12; ++i) {
    const ServerId id("s" + std::to_string(i));
    const Instant put_at = SteadyNow();
    zone.standin.Put("servers/" + id.str(), kServer);
    REQUIRE(zone.WaitUntil([&] { return zone.AllHave(id); }));
    CHECK(SteadyNow() - put_at < Duration(2'500));
  }
  const double seconds = (SteadyNow() - start).seconds();
  const double calls = zone.Watches() - watches + zone.Reads() - reads;
  INFO("calls per host and second: " << calls / seconds / kHosts);
  // Two hosts, each with a watch every 0.975 s and the one at the end.
  CHECK(calls <= 2 * (seconds / 0.975 + 1));
  CHECK(zone.Following() == kHosts - 2);
  CHECK(zone.WaitUntil([&] {
    const FleetStoreCounts c = zone.hosts[0]->store.counts();
    return c.calls == c.watches + c.reads + c.renewals + c.writes;
  }));
  zone.standin.Remove("servers/s3");
  CHECK(zone.WaitUntil(
      [&] {
        return std::none_of(zone.hosts.begin(), zone.hosts.end(), [](auto& it) {
          return it->servers.contains(ServerId("s3"));
        });
      },
      Duration(2'500)));
}

TEST_CASE("hosts that need proof, or are few in their zone, watch themselves") {
  Zone few(2);
  Zone proven(4, Duration(5'000));
  std::this_thread::sleep_for(std::chrono::seconds(4));
  CHECK(few.WaitUntil([&] { return few.Following() == 0; }));
  CHECK(proven.WaitUntil([&] { return proven.Following() == 0; }));
  CHECK(proven.largest == 0);
}

TEST_CASE("a large value is read from the store by its key") {
  Zone zone(4);
  zone.standin.Put("op/config", Config(1));
  REQUIRE(zone.WaitFollowing(2));
  const Instant put_at = SteadyNow();
  zone.standin.Put("op/config", Config(2, 60'000));
  REQUIRE(zone.WaitUntil([&] {
    return std::all_of(zone.hosts.begin(), zone.hosts.end(),
                       [](auto& it) { return it->version == 2; });
  }));
  CHECK(SteadyNow() - put_at < Duration(2'500));
  // Each follower reads that key alone.
  CHECK(zone.standin.CountCalls("GET /v1/kv-range?prefix=op") == 2);
  CHECK(zone.Following() == 2);
  CHECK(zone.largest < 8'192);
}

TEST_CASE("without news, followers read for themselves in time") {
  Zone zone(4);
  zone.standin.Put("servers/a", kServer);
  REQUIRE(zone.WaitFollowing(2));
  std::promise<void> done;
  boost::asio::post(zone.loop, [&] {
    zone.no_news = true;
    done.set_value();
  });
  done.get_future().get();
  zone.standin.Put("servers/b", kServer);
  CHECK(zone.WaitUntil([&] { return zone.AllHave(ServerId("b")); },
                       Duration(2'500)));
  CHECK(zone.WaitFollowing(0));
  // The silence of readers is not an outage of the store.
  CHECK(zone.WaitUntil([&] {
    return std::none_of(zone.hosts.begin(), zone.hosts.end(),
                        [](auto& it) { return it->away; });
  }));
  boost::asio::post(zone.loop, [&] { zone.no_news = false; });
  CHECK(zone.WaitFollowing(2));
}

TEST_CASE("a follower that missed changes reads the store and follows again") {
  Zone zone(4);
  zone.standin.Put("servers/a", kServer);
  REQUIRE(zone.WaitFollowing(2));
  ZoneHost* follower = nullptr;
  REQUIRE(zone.WaitUntil([&] {
    for (auto& it : zone.hosts)
      follower = it->store.counts().following ? it.get() : follower;
    follower->deaf = true;
    return true;
  }));
  const int reads = zone.Reads();
  zone.standin.Put("servers/b", kServer);
  CHECK(zone.WaitUntil([&] { return zone.AllHave(ServerId("b")); },
                       Duration(2'500)));
  CHECK(zone.Reads() > reads);
  boost::asio::post(zone.loop, [&] { follower->deaf = false; });
  CHECK(zone.WaitFollowing(2));
}

TEST_CASE("in an outage all hosts know that the store is away, and return") {
  Zone zone(4);
  zone.standin.Put("op/config", Config(1));
  zone.standin.Put("servers/a", kServer);
  REQUIRE(zone.WaitFollowing(2));
  const auto all_away = [&](bool away) {
    return zone.WaitUntil([&] {
      return std::all_of(zone.hosts.begin(), zone.hosts.end(),
                         [&](auto& it) { return it->away == away; });
    });
  };
  SECTION("refused") {
    zone.standin.RejectWith(503);
    CHECK(all_away(true));
    CHECK(zone.Following() == 0);
  }
  SECTION("silent") {
    zone.standin.SetSilent(true);
    CHECK(all_away(true));
    CHECK(zone.Following() == 0);
  }
  zone.standin.Remove("servers/a");
  zone.standin.Put("servers/b", kServer);
  zone.standin.Compact();
  zone.standin.RejectWith(0);
  zone.standin.SetSilent(false);
  CHECK(all_away(false));
  CHECK(zone.WaitUntil([&] { return zone.AllHave(ServerId("b")); }));
  CHECK(zone.WaitFollowing(2));
  CHECK(zone.WaitUntil([&] {
    return std::all_of(zone.hosts.begin(), zone.hosts.end(), [](auto& it) {
      return it->servers == std::set{ServerId("b")} && !it->went_back;
    });
  }));
}

TEST_CASE("malformed news is rejected") {
  StoreNews news;
  news.host = HostId("h");
  news.incarnation = 3;
  news.before = 4;
  news.revision = 9;
  news.age = Duration(30);
  news.changes = {
      {"a", 5, false, "v"}, {"b", 6, true, {}}, {"c", 9, false, {}}};
  const std::string bytes = EncodeStoreNews(news);
  const std::optional<StoreNews> decoded = DecodeStoreNews(bytes);
  REQUIRE(decoded);
  CHECK(decoded->changes == news.changes);
  CHECK(decoded->age == news.age);
  CHECK(decoded->revision == 9);
  for (size_t i = 0; i < bytes.size(); ++i)
    CHECK(!DecodeStoreNews(bytes.substr(0, i)));
  news.before = 10;
  CHECK(!DecodeStoreNews(EncodeStoreNews(news)));
}

}  // namespace toucanknot::platform
