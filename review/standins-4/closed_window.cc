// A planned stop of a host while servers with small windows are at work at the
// first part of requests.
#include <signal.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <map>
#include <thread>

#include "review/standins-4/fleet.h"

namespace review {
namespace {

// Figures of seal-signoff in the site file, and of the servers.
constexpr size_t kBodyBytes = 7'200;
constexpr int64_t kBudgetMs = 6'000;
constexpr int kReceiveBuffer = 4'096;
constexpr int64_t kPauseMs = 1'350;
constexpr int64_t kWorkMs = 100;
// Of the route.
constexpr int64_t kTimeoutMs = 2'000;
constexpr int64_t kGraceMs = 6'000;
constexpr int kClients = 12;
constexpr int kServers = 4;

int Main(int argc, char** argv) {
  if (argc != 4)
    return 2;
  const std::string folder = argv[2];
  const bool trouble = std::getenv("TROUBLE") == nullptr ||
                       std::string(std::getenv("TROUBLE")) != "0";
  // The threads of the stand-ins use these until the process ends.
  Record& record = *new Record(argv[3]);
  Store& store = *new Store("127.0.80.1");
  std::vector<Server*> servers;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(new Server("i-" + std::to_string(i),
                                 "127.0.80.1" + std::to_string(i + 1), kWorkMs,
                                 record, {kReceiveBuffer, kPauseMs}));
  }
  const auto beat = [&] {
    for (Server* it : servers)
      store.Put("servers/" + it->id(), it->Entry("shop", "north-a"));
  };
  store.Put("op/config", Config(3, nullptr));
  beat();
  Host host({argv[1], folder, "front-north-a-1", "127.0.80.21", "north-a",
             "\"north-a\": \"north\"", store.endpoint(), ""});
  host.Start();
  if (!host.AwaitReady(8'000))
    return 2;
  for (int i = 0; i < 4; ++i) {
    beat();
    SleepMs(1'000);
  }
  std::vector<int> statuses(kClients);
  std::vector<int64_t> ended_at_ms(kClients);
  const int64_t sent_at_ms = NowMs();
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      Call call;
      call.method = "POST";
      call.target = "/order/" + std::to_string(i);
      call.attempt = "attempt-" + std::to_string(i);
      call.budget_ms = kBudgetMs;
      call.body = std::string(kBodyBytes, 'x');
      statuses[static_cast<size_t>(i)] =
          Send(host, call, record, &ended_at_ms[static_cast<size_t>(i)]);
    });
  }
  SleepMs(200);
  if (trouble) {
    record.Line("SIGTERM");
    host.Signal(SIGTERM);
  }
  for (std::thread& it : clients)
    it.join();
  int lost = 0;
  std::map<std::string, int64_t> busy_until;
  for (Server* it : servers)
    busy_until.merge(it->busy_until());
  for (int i = 0; i < kClients; ++i) {
    const std::string attempt = "attempt-" + std::to_string(i);
    const auto index = static_cast<size_t>(i);
    const auto busy = busy_until.find(attempt);
    if (statuses[index] == 200 || busy == busy_until.end() ||
        ended_at_ms[index] >= busy->second ||
        ended_at_ms[index] >= sent_at_ms + kTimeoutMs) {
      continue;
    }
    record.Line("the host broke off " + attempt + " after " +
                std::to_string(ended_at_ms[index] - sent_at_ms) +
                " ms, its server was at work for " +
                std::to_string(busy->second - ended_at_ms[index]) +
                " ms more, and the client got " +
                std::to_string(statuses[index]));
    ++lost;
  }
  if (trouble && !host.AwaitEnd(kGraceMs + 1'000))
    return 2;
  record.Line(std::to_string(lost) + " of " + std::to_string(kClients) +
              " requests were broken off");
  // Outside planned work no rule counts it.
  const bool broken = trouble && lost > 0;
  record.Line(broken ? "the rule was broken" : "the rule held");
  return broken ? 1 : 0;
}

}  // namespace
}  // namespace review

// Arguments: the program, a folder for settings and logs, the record's path.
int main(int argc, char** argv) {
  const int status = review::Main(argc, argv);
  // Threads of the stand-ins still run.
  std::fflush(nullptr);
  _exit(status);
}
