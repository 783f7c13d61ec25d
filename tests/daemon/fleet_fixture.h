#ifndef TESTS_DAEMON_FLEET_FIXTURE_H_
#define TESTS_DAEMON_FLEET_FIXTURE_H_

#include <spdlog/spdlog.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "include/config/config_text.h"
#include "include/daemon/host_daemon.h"
#include "include/store/change_writer.h"
#include "include/store/config_reader.h"
#include "include/store/http_exchange.h"
#include "src/http/headers.h"
#include "src/standin/standin_fleet.h"
#include "src/store/http_store.h"

namespace toucanknot {

// Three entry hosts and six backend servers of one service in one region, over
// loopback, with the stand-in for the platform.
class FleetFixture {
 public:
  static constexpr int kHosts = 3;
  static constexpr int kServers = 6;
  // Upper limit of waits; only a failing test reaches it.
  static constexpr Duration kMaxWait{20'000};

  FleetFixture() : fleet(2, ConfigText()) {
    spdlog::set_level(spdlog::level::off);
    for (const auto& [id, server] : fleet.servers()) {
      BackendFaults faults;
      faults.service_time = Duration(2);
      server->SetFaults(faults);
    }
    fleet.Start(kStore);
  }

  // Starts host `n`, from 1 to kHosts; `seeds` are hosts from which it may
  // fetch the configuration.
  void StartHost(int n, const std::vector<int>& seeds = {}) {
    HostSettings settings;
    settings.host = HostId("h" + std::to_string(n));
    settings.zone = ZoneId(n == kHosts ? "z2" : "z1");
    settings.callers = Callers(n);
    settings.peers = Peers(n);
    settings.admin = {Ip(n), 25300};
    settings.store = kStore;
    settings.store_timeout = Duration(500);
    settings.store_watch = Duration(300);
    settings.fleet_keys = {{1, "a-key-for-tests-0123456789"}};
    settings.workers = 1;
    settings.leave_notice = Duration(100);
    for (const int it : seeds)
      settings.seeds.push_back(Peers(it));
    hosts[n] = std::make_unique<HostDaemon>(
        settings,
        std::make_shared<HttpStore>(settings.store, settings.store_timeout));
    hosts[n]->Start();
  }
  // Starts all hosts and waits until the look-ups of each list all of them.
  void StartAll() {
    for (int n = 1; n <= kHosts; ++n)
      StartHost(n);
    WaitUntil([&] {
      for (int n = 1; n <= kHosts; ++n) {
        const std::string body = Get(n, "/v1/lookup?service=jobs").body;
        for (int k = 1; k <= kHosts; ++k) {
          if (body.find("\"h" + std::to_string(k) + "\"") == std::string::npos)
            return false;
        }
      }
      return true;
    });
  }

  // Waits until `done` returns true; fails the test after kMaxWait.
  static void WaitUntil(const std::function<bool()>& done) {
    const Instant end = SteadyNow() + kMaxWait;
    while (!done()) {
      if (SteadyNow() > end)
        FAIL("timed out waiting for a condition");
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }

  // Where host `n` listens for callers.
  static Endpoint Callers(int n) { return {Ip(n), 25100}; }
  static HttpClientResult Send(int n, const HttpClientRequest& request) {
    return Exchange(Callers(n), request, kMaxWait);
  }
  static HttpClientResult Get(int n, const std::string& target) {
    HttpClientRequest request;
    request.target = target;
    return Send(n, request);
  }
  static std::string Ticket(int n) {
    return Get(n, "/v1/lookup?service=jobs&ticket=1").Field(kTicketHeader);
  }
  // Sends a run-once request with the work id `id`.
  static HttpClientResult Post(int n,
                               const std::string& id,
                               const std::string& ticket,
                               const std::string& body = "body") {
    HttpClientRequest request;
    request.method = "POST";
    request.target = "/v1/services/jobs/job/" + id;
    request.fields = {{"Work-Id", id}, {kDeadlineHeader, "3000"}};
    if (!ticket.empty())
      request.fields.push_back({kTicketHeader, ticket});
    request.body = body;
    return Send(n, request);
  }
  static std::string Verdict(const HttpClientResult& outcome) {
    return outcome.Field(kVerdictHeader);
  }

  // Changes the configuration as an operator would; returns the new version.
  uint64_t Change(const std::function<void(FleetConfig&)>& edit) {
    Store& store = *fleet.store();
    const RootSnapshot base = ReadRootSnapshot(store);
    FleetConfig next = *ReadConfig(store);
    edit(next);
    toucanknot::Change change;
    change.id = NewChangeId(base.revision, base.revision);
    change.author = "test";
    change.reason = "test";
    change.config_text = WriteFleetConfig(next);
    const ChangeResult result = ChangeWriter(store).Write(base, change);
    REQUIRE(result.outcome == ChangeOutcome::kApplied);
    return result.version;
  }
  void AwaitVersion(uint64_t version) {
    WaitUntil([&] {
      for (const auto& [n, host] : hosts) {
        if (host->ConfigVersion() < version)
          return false;
      }
      return true;
    });
  }

  StandinFleet fleet;
  std::map<int, std::unique_ptr<HostDaemon>> hosts;

 private:
  inline static const Endpoint kStore{"127.0.77.100", 25000};

  static std::string Ip(int n) { return "127.0.77." + std::to_string(n); }
  static Endpoint Peers(int n) { return {Ip(n), 25200}; }

  static std::string ConfigText() {
    std::string hosts;
    for (int n = 1; n <= kHosts; ++n) {
      hosts += std::string(n > 1 ? "," : "") + R"({"id":"h)" +
               std::to_string(n) + R"(","zone":")" +
               (n == kHosts ? "z2" : "z1") + R"(","address":")" +
               Callers(n).ToString() + R"(","peer_address":")" +
               Peers(n).ToString() + R"("})";
    }
    std::string servers;
    for (int n = 1; n <= kServers; ++n) {
      servers += std::string(n > 1 ? "," : "") + R"({"id":"s)" +
                 std::to_string(n) + R"(","zone":")" +
                 (n % 2 == 0 ? "z2" : "z1") + R"(","address":"127.0.78.)" +
                 std::to_string(n) +
                 R"(:25400","slots":2,"max_connections":60})";
    }
    return R"({"regions":[{"id":"r","zones":["z1","z2"]}],"hosts":[)" + hosts +
           R"(],"services":[{"id":"jobs","work_class":"c",)" +
           R"("not_run_statuses":[503],"servers":[)" + servers +
           R"(]}],"refusal_order":["c"]})";
  }
};

}  // namespace toucanknot

#endif  // TESTS_DAEMON_FLEET_FIXTURE_H_
