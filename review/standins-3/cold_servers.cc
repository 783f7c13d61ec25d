// A backend server crashes and starts again under its id while the platform's
// store is down. Counts the requests that it gets while it is cold.

#include <signal.h>

#include <algorithm>
#include <deque>
#include <string>

#include "fleet.h"

namespace review {
namespace {

constexpr int kServers = 8;
constexpr int kCallers = 160;
constexpr int kCallsPerSecond = 600;
constexpr int64_t kTimeoutMs = 4000;
constexpr int64_t kColdMs = 3000;
// As the pages have it: cold_per_s, cold_over and cold_slack.
constexpr double kColdRate = 4.1;
constexpr double kColdOver = 1.5;
constexpr double kColdSlack = 5;
constexpr double kBound = kColdRate * kColdOver + kColdSlack;

// Unsafe requests that ran and whose callers got no response of a server.
std::atomic<int> lost{0};

// A caller that keeps its connection. One in three of its requests is unsafe.
void Call(Host& host,
          const Ledger& ledger,
          int number,
          const std::atomic<bool>& ended) {
  std::unique_ptr<Connection> connection;
  int64_t next = NowMs() + number * 1000 / kCallsPerSecond;
  for (int i = number; !ended; ++i) {
    SleepMs(next - NowMs());
    next += kCallers * 1000 / kCallsPerSecond;
    if (!connection)
      connection = Connect(host.ip(), host.port(), 1000);
    const bool is_unsafe = i % 3 == 0;
    const std::string id = NewId();
    const std::string request =
        is_unsafe ? MakeRequest("POST", "/write/" + id, id, kTimeoutMs, "x")
                  : MakeRequest("GET", "/read/" + id, id, kTimeoutMs);
    const std::string name = std::string(is_unsafe ? "unsafe " : "safe ") + id;
    Record("sent " + name);
    Message answer;
    if (!connection || !connection->Write(request) ||
        !connection->Read(answer, NowMs() + kTimeoutMs)) {
      Record("no answer " + name);
      connection.reset();
    } else {
      Record("answered " + std::to_string(answer.status) + " " + name);
    }
    if (is_unsafe && answer.status != 200 && ledger.RunsOf(id) > 0)
      ++lost;
  }
}

size_t MostInOneSecond(const std::vector<int64_t>& times_ms) {
  size_t most = 0;
  for (size_t i = 0, first = 0; i < times_ms.size(); ++i) {
    while (times_ms[i] - times_ms[first] >= 1000)
      ++first;
    most = std::max(most, i - first + 1);
  }
  return most;
}

[[noreturn]] void Run(const std::string& program, const std::string& folder) {
  Store store;
  Ledger ledger;
  std::deque<Server> servers;
  for (int i = 0; i < kServers; ++i) {
    Server::Options options;
    options.id = "i-" + std::to_string(i);
    options.work_ms = 50;
    options.cold_ms = kColdMs;
    options.crashes_above = static_cast<size_t>(2 * kBound);
    servers.emplace_back(store, ledger, options);
    servers.back().Start(false);
  }
  ConfigOptions config;
  config.timeout_ms = kTimeoutMs;
  config.cold_rate = kColdRate;
  config.cold_ms = kColdMs;
  store.Put("op/config", MakeConfig(config));
  Host::Options options;
  options.program = program;
  options.folder = folder;
  options.store_port = store.port();
  Host host(options);
  host.Start();
  if (!host.AwaitReady(10'000)) {
    host.Kill();
    End(kNotRun, "the host is not ready");
  }
  std::atomic<bool> ended{false};
  std::vector<std::thread> callers;
  for (int i = 0; i < kCallers; ++i)
    callers.emplace_back([&, i] { Call(host, ledger, i, ended); });
  SleepMs(5000);
  if (HasTrouble()) {
    Record("the store goes down");
    store.SetMode(Store::Mode::kSilent);
    SleepMs(500);
  }
  Server& crashed = servers.front();
  crashed.Crash();
  SleepMs(1600);
  const int64_t back_ms = NowMs();
  crashed.Start(true);
  SleepMs(2400);
  Record("the store is up");
  store.SetMode(Store::Mode::kUp);
  crashed.Beat();
  SleepMs(2500);
  ended = true;
  for (std::thread& it : callers)
    it.join();
  std::vector<int64_t> while_cold;
  for (const Arrival& it : ledger.arrivals()) {
    if (it.cold && it.at_ms >= back_ms)
      while_cold.push_back(it.at_ms);
  }
  const size_t most = MostInOneSecond(while_cold);
  const std::string why =
      std::to_string(most) + " requests in one second at a cold server, " +
      std::to_string(while_cold.size()) + " in all; bound " +
      std::to_string(kBound) +
      "; unsafe requests lost in crashes: " + std::to_string(lost);
  host.Kill();
  End(static_cast<double>(most) > kBound ? kBroken : kHeld, why);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  if (argc != 4)
    return review::kNotRun;
  review::OpenRecord(argv[3]);
  review::Run(argv[1], argv[2]);
}
