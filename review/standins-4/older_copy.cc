// The store comes back from a copy that is older than the version that took a
// key away, and a host starts before the operator has written it again.
#include <signal.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <thread>

#include "review/standins-4/fleet.h"

namespace review {
namespace {

constexpr int64_t kRevokeMs = 5'000;
constexpr int64_t kHeartbeatMs = 1'500;
// How long the store is away, and until its writers have written again.
constexpr int64_t kAwayMs = 300;
constexpr int64_t kWrittenAgainMs = 1'500;
constexpr char kShopKey[] = "k-shop-5f2a";
constexpr char kTillKey[] = "k-till-91cc";

int Main(int argc, char** argv) {
  if (argc != 4)
    return 2;
  const std::string folder = argv[2];
  const bool trouble = std::getenv("TROUBLE") == nullptr ||
                       std::string(std::getenv("TROUBLE")) != "0";
  // The threads of the stand-ins use these until the process ends.
  Record& record = *new Record(argv[3]);
  Store& store = *new Store("127.0.78.1");
  Server& first = *new Server("i-first", "127.0.78.11", 40, record);
  Server& second = *new Server("i-second", "127.0.78.12", 40, record);
  const auto beat = [&] {
    store.Put("servers/i-first", first.Entry("shop", "north-a"));
    store.Put("servers/i-second", second.Entry("shop", "north-b"));
  };
  const auto pass = [&](int64_t ms) {
    for (const int64_t until = NowMs() + ms; NowMs() < until;) {
      beat();
      SleepMs(std::min(kHeartbeatMs, until - NowMs()));
    }
  };
  const std::string before = Config(
      3, (Tenant("shop", kShopKey) + "," + Tenant("till", kTillKey)).c_str());
  const std::string after = Config(7, Tenant("till", kTillKey).c_str());
  store.Put("op/config", before);
  beat();
  Host::Options options{
      argv[1],
      folder,
      "front-north-a-1",
      "127.0.78.21",
      "north-a",
      "\"north-a\": \"north\", \"north-b\": \"north\"",
      store.endpoint(),
      "\"revoke_within\": \"5000ms\", \"cap_window\": \"5s\", "
      "\"cap_over\": 0.1, \"cap_slack\": 20,"};
  Host host(options);
  options.name = "front-north-b-1";
  options.ip = "127.0.78.22";
  options.zone = "north-b";
  Host other(options);
  host.Start();
  other.Start();
  if (!host.AwaitReady(8'000) || !other.AwaitReady(8'000))
    return 2;
  pass(4'000);

  int n = 0;
  const auto send = [&](const Host& to, const std::string& path) {
    Call call;
    call.method = path == "/order/" ? "POST" : "GET";
    call.target = path + "7";
    call.attempt = "attempt-" + std::to_string(++n);
    call.key = kShopKey;
    return Send(to, call, record);
  };
  if (send(host, "/read/") != 200 || send(other, "/read/") != 200) {
    record.Line("the key is not in force");
    return 2;
  }
  store.TakeCopy();
  SleepMs(100);
  store.Put("op/config", after);
  const int64_t revoked_at = NowMs();
  record.Line("r7 is acknowledged: the tenant 'shop' and its key are gone");
  const int allowed = n;
  pass(2'000);
  // A planned restart of one host.
  record.Line("SIGTERM to " + other.name());
  other.Signal(SIGTERM);
  pass(revoked_at + kRevokeMs + 100 - NowMs());
  if (!other.AwaitEnd(6'000))
    return 2;
  if (trouble) {
    store.GoAway();
    record.Line("the store is away");
    SleepMs(kAwayMs);
    store.ComeBackFromCopy();
    record.Line("the store is back from its copy, of before r7");
  }
  other.Start();
  const int64_t back_at = NowMs();
  std::thread writers([&] {
    SleepMs(kWrittenAgainMs);
    store.Put("op/config", after);
    beat();
    record.Line("the operator and the servers have written again");
  });
  const bool ready = other.AwaitReady(1'000);
  record.Line(other.name() + (ready ? " is ready" : " is not ready"));
  while (NowMs() < back_at + kWrittenAgainMs + 3'000) {
    send(other, "/read/");
    send(other, "/order/");
    send(host, "/read/");
    SleepMs(100);
  }
  writers.join();
  int broken = 0;
  for (Server* server : {&first, &second}) {
    for (const Server::Run& run : server->runs()) {
      if (std::stoi(run.attempt.substr(run.attempt.find('-') + 1)) <= allowed)
        continue;
      record.Line("broken: CONFIG: " + run.attempt +
                  " ran though its key was taken away " +
                  std::to_string(run.at_ms - revoked_at) + " ms before");
      ++broken;
    }
  }
  record.Line(broken > 0 ? "the rule was broken" : "the rule held");
  return broken > 0 ? 1 : 0;
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
