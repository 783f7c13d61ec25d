// Outages of the store whose calls end in different ways, before the store is
// sound again.

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "platform/platform_store.h"
#include "soak/fault_proxy.h"
#include "tests/platform/store_standin.h"

namespace toucanknot::platform {
namespace {

using soak::FaultProxy;
using soak::ResponseFault;

// A host's bound for changes, which holds for those made later than
// kSettle - kMaxStaleness after an outage.
constexpr Duration kMaxStaleness{2'500};
constexpr Duration kSettle{3'000};

std::string Config(int version) {
  return R"({"version":"r)" + std::to_string(version) +
         R"(","routes":{},"services":{}})";
}

void Sleep(Duration d) {
  std::this_thread::sleep_for(std::chrono::milliseconds(d.ms()));
}

// A host whose calls to the store pass a link with faults.
class LinkedHost {
 public:
  LinkedHost()
      : link_(loop_, standin_.endpoint()),
        store_(loop_, link_.endpoint(), {kMaxStaleness, {}}, 1) {
    thread_ = std::thread([this] { loop_.run(); });
  }
  ~LinkedHost() {
    loop_.stop();
    thread_.join();
  }

  void Start() {
    FleetStoreListener listener;
    listener.config = [this](const RouteConfigPtr& it) {
      version_ = it->version;
    };
    listener.zone_evacuated = listener.zone_restored = [](const ZoneId&) {};
    listener.evacuations_listed = [](const std::set<ZoneId>&) {};
    listener.server = [](const ServerEntry&) {};
    listener.server_removed = [](const ServerId&) {};
    listener.servers_listed = [](const std::set<ServerId>&) {};
    listener.host = [](const HostRecord&) {};
    listener.host_removed = [](const HostId&) {};
    listener.hosts_listed = [](const std::set<HostId>&) {};
    listener.store_unreachable = [](bool) {};
    Run([=, this] { store_.Start(listener); });
  }
  // Runs `task` on the host's loop.
  void Run(const std::function<void()>& task) {
    std::promise<void> done;
    boost::asio::post(loop_, [&] {
      task();
      done.set_value();
    });
    done.get_future().get();
  }
  // Whether the host knows the version by `end`.
  bool Knows(const ConfigVersion& version, Instant end) {
    for (;;) {
      bool known = false;
      Run([&] { known = version_ == version; });
      if (known || SteadyNow() >= end)
        return known;
      Sleep(Duration(10));
    }
  }

  StoreStandin& standin() { return standin_; }
  void SetFault(ResponseFault fault) {
    Run([&] { link_.SetResponseFault(fault); });
  }
  void Reset() {
    Run([&] { link_.ResetConnections(); });
  }
  // Delays each part of 16 kB.
  void SetDelay(Duration delay) {
    Run([&] { link_.SetLink({.delay = delay}); });
  }
  // Calls get no response, also later.
  void SetSilent(bool silent) {
    Run([&] {
      link_.SilenceOpenConnections();
      link_.SetLink({.from_target = !silent});
    });
  }

 private:
  StoreStandin standin_;
  boost::asio::io_context loop_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard_{loop_.get_executor()};
  FaultProxy link_;
  PlatformStore store_;
  ConfigVersion version_;
  std::thread thread_;
};

// What precedes the silence of the store.
struct Outage {
  std::string name;
  std::function<void(LinkedHost&)> begin;
  std::function<void(LinkedHost&)> end;
  Duration lasts{4'000};
  // Whether a watch is pending when the store falls silent.
  bool watches = false;
};

std::vector<Outage> Outages() {
  std::vector<Outage> out;
  for (const int status : {503, 429, 500}) {
    out.push_back({std::to_string(status),
                   [=](LinkedHost& it) { it.standin().RejectWith(status); },
                   [](LinkedHost& it) { it.standin().RejectWith(0); }});
  }
  for (const ResponseFault fault :
       {ResponseFault::kCut, ResponseFault::kStalled,
        ResponseFault::kTrickled}) {
    out.push_back({std::string(soak::kResponseFaultNames.Name(fault)),
                   [=](LinkedHost& it) { it.SetFault(fault); },
                   [](LinkedHost& it) { it.SetFault(ResponseFault::kNone); },
                   Duration(6'500)});
  }
  const auto nothing = [](LinkedHost&) {};
  out.push_back({"nothing", nothing, nothing, Duration(0), true});
  out.push_back({"slow",
                 [](LinkedHost& it) { it.standin().SetDelay(Duration(900)); },
                 [](LinkedHost& it) { it.standin().SetDelay(Duration(0)); }});
  out.push_back({"malformed",
                 [](LinkedHost& it) { it.standin().RespondWith("{"); },
                 [](LinkedHost& it) { it.standin().RespondWith(""); }});
  return out;
}

// Returns whether the host knows a change in time that is made after the
// outage.
bool KnowsChangeAfter(const Outage& outage, Duration silent_for) {
  LinkedHost it;
  it.standin().Put("op/config", Config(3));
  it.Start();
  if (!it.Knows(3, SteadyNow() + Duration(10'000)))
    return false;
  outage.begin(it);
  if (!outage.watches) {
    // Only a listing shows what was changed now.
    it.standin().Compact();
    it.Reset();
  }
  Sleep(outage.lasts);
  outage.end(it);
  it.SetSilent(true);
  Sleep(silent_for);
  it.SetSilent(false);
  Sleep(kSettle - kMaxStaleness);
  it.standin().Put("op/config", Config(4));
  return it.Knows(4, SteadyNow() + kMaxStaleness);
}

// Entries that fill a page, and cannot be used.
void PutLargeEntries(LinkedHost& it) {
  for (int i = 10; i < 20; ++i)
    it.standin().Put("servers/" + std::to_string(i), std::string(50'000, 'x'));
}

}  // namespace

TEST_CASE("no call that gets no answer holds up changes after an outage") {
  const std::vector<Outage> outages = Outages();
  std::vector<std::pair<std::string, std::future<bool>>> hosts;
  for (const Outage& it : outages) {
    for (const Duration silent_for : {Duration(700), Duration(1'500)}) {
      hosts.emplace_back(
          it.name + ", silent for " + std::to_string(silent_for.ms()),
          std::async(std::launch::async,
                     [=] { return KnowsChangeAfter(it, silent_for); }));
    }
  }
  for (auto& [name, known] : hosts) {
    INFO(name);
    CHECK(known.get());
  }
}

TEST_CASE("a page that arrives slowly is read, and holds up no change") {
  LinkedHost it;
  PutLargeEntries(it);
  it.standin().Put("op/config", Config(3));
  it.SetDelay(Duration(150));
  it.Start();
  REQUIRE(it.Knows(3, SteadyNow() + Duration(12'000)));
  // The next page arrives in over 6 s.
  it.Reset();
  Sleep(Duration(1'000));
  it.standin().Put("op/config", Config(4));
  CHECK(it.Knows(4, SteadyNow() + kMaxStaleness));
}

}  // namespace toucanknot::platform
