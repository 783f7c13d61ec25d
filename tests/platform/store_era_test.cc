// A store that comes back from an older copy. Guards against hosts that take
// what is written then for what they have seen already, since revisions and
// leases are given out again.

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <future>
#include <map>
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

std::string Server(int sequence) {
  return R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",)"
         R"("slots":4,"state":"ready","cold_left":"0ms","born":7,"sequence":)" +
         std::to_string(sequence) + "}";
}

std::string Config(int version) {
  return R"({"version":"r)" + std::to_string(version) +
         R"(","routes":{},"services":{},"limits":{"max_header_bytes":16384,)"
         R"("max_body_bytes":1000,"header_timeout":"3s","idle_timeout":"15s"}})";
}

struct Host {
  Host(boost::asio::io_context& loop,
       const Endpoint& endpoint,
       int i,
       std::optional<Duration> revoke_within)
      : record{HostId("h" + std::to_string(i)),
               ZoneId("z"),
               {"10.0.0.1", 80},
               static_cast<Incarnation>(i + 1),
               5},
        store(loop,
              endpoint,
              {Duration(2'500), revoke_within},
              static_cast<uint64_t>(i)) {}

  HostRecord record;
  PlatformStore store;
  ConfigVersion version;
  std::map<ServerId, uint64_t> servers;
  int restored = 0;
};

// Hosts of one zone, which pass news of the store on.
struct Fixture {
  explicit Fixture(int n, std::optional<Duration> revoke_within = {}) {
    for (int i = 0; i < n; ++i) {
      hosts.push_back(
          std::make_unique<Host>(loop, standin.endpoint(), i, revoke_within));
    }
    // Without the hosts' records and leases.
    standin.TakeCopy();
    thread = std::thread([this] { loop.run(); });
    boost::asio::post(loop, [this] {
      for (auto& it : hosts)
        Start(*it);
    });
  }
  ~Fixture() {
    loop.stop();
    thread.join();
  }

  void Start(Host& host) {
    FleetStoreListener listener;
    listener.config = [&](const RouteConfigPtr& c) {
      host.version = std::max(host.version, c->version);
    };
    listener.zone_evacuated = listener.zone_restored = [](const ZoneId&) {};
    listener.evacuations_listed = [](const std::set<ZoneId>&) {};
    listener.server = [&](const ServerEntry& e) {
      host.servers[e.id] = e.sequence;
    };
    listener.server_removed = [&](const ServerId& id) {
      host.servers.erase(id);
    };
    listener.servers_listed = [&](const std::set<ServerId>& ids) {
      std::erase_if(host.servers,
                    [&](const auto& it) { return !ids.contains(it.first); });
    };
    listener.host = [](const HostRecord&) {};
    listener.host_removed = [](const HostId&) {};
    listener.hosts_listed = [](const std::set<HostId>&) {};
    listener.store_unreachable = [](bool) {};
    listener.store_restored = [&] { ++host.restored; };
    listener.send_news = [this, &host](const StoreNews& news) {
      const std::string bytes = EncodeStoreNews(news);
      for (auto& it : hosts) {
        if (it.get() == &host)
          continue;
        boost::asio::post(loop, [&to = *it, bytes] {
          to.store.OnNews(*DecodeStoreNews(bytes));
        });
      }
    };
    host.store.Start(listener);
    host.store.Publish(host.record);
  }

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
  bool All(const std::function<bool(const Host&)>& check,
           Duration limit = Duration(15'000)) {
    return WaitUntil(
        [&] {
          return std::all_of(hosts.begin(), hosts.end(),
                             [&](const auto& it) { return check(*it); });
        },
        limit);
  }
  bool AllPublished(Duration limit) {
    return WaitUntil(
        [&] {
          return standin.Keys("toucanknot/hosts/").size() == hosts.size();
        },
        limit);
  }

  StoreStandin standin;
  boost::asio::io_context loop;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard{loop.get_executor()};
  std::vector<std::unique_ptr<Host>> hosts;
  std::thread thread;
};

}  // namespace

TEST_CASE("what is written after the store was restored is not taken for old") {
  // With five hosts in the zone, three follow the news of the others.
  const int n = GENERATE(1, 5);
  INFO(n << " hosts");
  Fixture it(n);
  it.standin.Put("op/config", Config(1));
  it.standin.Put("servers/a", Server(1));
  REQUIRE(it.All([](const Host& h) { return h.servers.size() == 1; }));
  REQUIRE(it.AllPublished(Duration(5'000)));
  if (n > 2) {
    REQUIRE(it.WaitUntil([&] {
      return std::count_if(it.hosts.begin(), it.hosts.end(), [](auto& h) {
               return h->store.counts().following;
             }) == n - 2;
    }));
  }
  it.standin.TakeCopy();
  // Lost, with revisions that are then given out again.
  it.standin.Put("op/config", Config(2));
  for (int i = 2; i < 40; ++i)
    it.standin.Put("servers/a", Server(i));
  it.standin.Put("servers/lost", Server(1));
  REQUIRE(it.All([](const Host& h) {
    return h.version == 2 && h.servers.contains(ServerId("lost"));
  }));
  it.standin.RestoreCopy();
  it.standin.Put("servers/a", Server(41));
  it.standin.Put("op/config", Config(3));
  it.standin.Put("servers/new", Server(1));
  CHECK(it.All(
      [](const Host& h) {
        return h.restored == 1 && h.version == 3 &&
               h.servers == std::map<ServerId, uint64_t>{{ServerId("a"), 41},
                                                         {ServerId("new"), 1}};
      },
      Duration(4'000)));
  it.standin.Remove("servers/a");
  CHECK(it.All([](const Host& h) { return !h.servers.contains(ServerId("a")); },
               Duration(4'000)));
}

TEST_CASE("a revision that the store has passed again hides no change") {
  Fixture it(1);
  it.standin.Put("op/config", Config(1));
  REQUIRE(it.All([](const Host& h) { return h.version == 1; }));
  REQUIRE(it.AllPublished(Duration(5'000)));
  it.standin.TakeCopy();
  for (int i = 1; i < 5; ++i)
    it.standin.Put("servers/a", Server(i));
  REQUIRE(it.All([](const Host& h) { return h.servers.size() == 1; }));
  it.standin.RejectWith(503);
  it.standin.RestoreCopy();
  // Later than all that the host has seen, so that its next watch finds events.
  it.standin.Put("servers/b", Server(1));
  for (int i = 0; i < 40; ++i)
    it.standin.Put("servers/c", Server(i));
  it.standin.RejectWith(0);
  CHECK(it.All(
      [](const Host& h) {
        return h.servers == std::map<ServerId, uint64_t>{{ServerId("b"), 1},
                                                         {ServerId("c"), 39}};
      },
      Duration(4'000)));
}

TEST_CASE("the records of hosts are written again under leases of their own") {
  Fixture it(4);
  REQUIRE(it.AllPublished(Duration(5'000)));
  it.standin.RestoreCopy();
  CHECK(it.standin.Keys("toucanknot/hosts/").empty());
  REQUIRE(it.AllPublished(Duration(3'000)));
  // They stay, beyond the lifetime of any lease.
  for (int i = 0; i < 30; ++i) {
    CHECK(it.standin.Keys("toucanknot/hosts/").size() == 4);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
  }
}

TEST_CASE("a read of an older copy does not prove that keys are current") {
  Fixture it(1, Duration(5'000));
  const auto proven_at = [&] { return it.hosts[0]->store.counts().proven_at; };
  REQUIRE(it.WaitUntil([&] { return proven_at().has_value(); }));
  it.standin.RestoreCopy();
  REQUIRE(it.All([](const Host& h) { return h.restored == 1; }));
  const Instant restored_at = BootNow();
  while (BootNow() - restored_at < Duration(4'500)) {
    CHECK(it.WaitUntil([&] { return *proven_at() <= restored_at; },
                       Duration(100)));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  CHECK(it.WaitUntil([&] { return *proven_at() > restored_at; },
                     Duration(4'000)));
}

}  // namespace toucanknot::platform
