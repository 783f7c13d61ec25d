// toucanknot-bench forward: latency that one entry host adds to a request, and
// its rate of lookups, over loopback in one process.

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <chrono>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "bench/registry.h"
#include "include/base/error.h"
#include "include/daemon/host_daemon.h"
#include "src/forward/connection_pool.h"
#include "src/standin/standin_fleet.h"
#include "src/store/http_store.h"

namespace toucanknot::bench {
namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr size_t kWarmUp = 500;
constexpr size_t kRequests = 5'000;
constexpr Duration kLimit{10'000};
const Endpoint kStore{"127.0.87.1", 26000};
const Endpoint kHost{"127.0.87.1", 26001};
const Endpoint kServer{"127.0.87.1", 26002};
constexpr char kConfig[] = R"({
  "regions": [{"id": "r", "zones": ["z"]}],
  "hosts": [{"id": "h", "zone": "z", "address": "127.0.87.1:26001",
             "peer_address": "127.0.87.1:26003"}],
  "services": [{"id": "jobs", "work_class": "c", "servers": [
    {"id": "s", "zone": "z", "address": "127.0.87.1:26002", "slots": 8,
     "max_connections": 100}]}],
  "refusal_order": ["c"]})";

struct Times {
  double p50_us = 0;
  double p99_us = 0;
  double per_second = 0;
};

// Sends requests one after another over one connection.
boost::asio::awaitable<Times> Measure(ConnectionPool& pool,
                                      Endpoint to,
                                      std::string target) {
  std::vector<double> took_us;
  SteadyClock::time_point begin;
  for (size_t i = 0; i < kWarmUp + kRequests; ++i) {
    if (i == kWarmUp)
      begin = SteadyClock::now();
    HttpRequest request;
    request.method = "GET";
    request.target = target;
    request.fields.Add("Host", to.ToString());
    request.fields.Add("Work-Id", "w");
    ExchangeOptions options;
    options.deadline = SteadyNow() + kLimit;
    const auto start = SteadyClock::now();
    const ExchangeResult result =
        co_await pool.Exchange(to, std::move(request), std::move(options));
    if (result.end != AttemptEnd::kAnswered || result.response.status != 200)
      throw Error("a request failed: " + result.error);
    if (i >= kWarmUp) {
      took_us.push_back(
          std::chrono::duration<double, std::micro>(SteadyClock::now() - start)
              .count());
    }
  }
  const std::chrono::duration<double> all = SteadyClock::now() - begin;
  std::sort(took_us.begin(), took_us.end());
  co_return Times{took_us[kRequests / 2], took_us[kRequests / 100 * 99],
                  static_cast<double>(kRequests) / all.count()};
}

HostSettings Settings() {
  HostSettings settings;
  settings.host = HostId("h");
  settings.zone = ZoneId("z");
  settings.callers = kHost;
  settings.peers = {"127.0.87.1", 26003};
  settings.admin = {"127.0.87.1", 26004};
  settings.store = kStore;
  settings.store_watch = Duration(500);
  settings.fleet_keys = {{1, "a-key-for-the-bench-0123456789"}};
  settings.workers = 1;
  return settings;
}

void Print(const char* what, const Times& times) {
  std::printf("%s\n", fmt::format("{:<28}{:>10.1f}{:>10.1f}{:>12.0f}", what,
                                  times.p50_us, times.p99_us, times.per_second)
                          .c_str());
}

int Run(const std::vector<std::string>&) {
  spdlog::set_level(spdlog::level::off);
  StandinFleet fleet(1, kConfig);
  BackendFaults faults;
  faults.service_time = Duration(0);
  fleet.servers().begin()->second->SetFaults(faults);
  fleet.Start(kStore);
  HostDaemon host(Settings(),
                  std::make_shared<HttpStore>(kStore, Duration(1'000)));
  host.Start();
  const Instant end = SteadyNow() + kLimit;
  while (host.ConfigVersion() == 0 && SteadyNow() < end)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  std::this_thread::sleep_for(std::chrono::milliseconds(500));

  WorkerPool workers(1);
  ConnectionPool pool(workers.loop(0));
  const auto measure = [&](const Endpoint& to, const char* target) {
    return boost::asio::co_spawn(workers.loop(0), Measure(pool, to, target),
                                 boost::asio::use_future)
        .get();
  };
  const Times direct = measure(kServer, "/x");
  const Times forwarded = measure(kHost, "/v1/services/jobs/x");
  const Times lookup = measure(kHost, "/v1/lookup?service=jobs");
  workers.Stop();
  std::printf("%-28s%10s%10s%12s\n", "one connection, one at a time", "p50 us",
              "p99 us", "per second");
  Print("direct", direct);
  Print("through one entry host", forwarded);
  Print("look-up", lookup);
  std::printf("added: p50 %.1f us, p99 %.1f us; p50 ratio %.2f\n",
              forwarded.p50_us - direct.p50_us,
              forwarded.p99_us - direct.p99_us,
              forwarded.p50_us / direct.p50_us);
  return 0;
}

const Registration kForward{
    {"forward", "latency that one entry host adds to a request", Run}};

}  // namespace
}  // namespace toucanknot::bench
