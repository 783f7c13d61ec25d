// The store turns a host away for some seconds, is silent for a moment, and is
// sound from then on.
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <set>

#include "review/standins-4/fleet.h"

namespace review {
namespace {

// Bounds of the site, and how long the store is disturbed.
constexpr int64_t kSettleMs = 3'000;
constexpr int64_t kConfigApplyMs = 2'500;
constexpr int64_t kDrainMs = 2'500;
constexpr int64_t kRejectMs = 4'000;
constexpr int64_t kSilentMs = 1'500;
constexpr int64_t kHeartbeatMs = 1'500;
constexpr int64_t kMarginMs = 200;

int Main(int argc, char** argv) {
  if (argc != 4)
    return 2;
  const std::string folder = argv[2];
  const bool trouble = std::getenv("TROUBLE") == nullptr ||
                       std::string(std::getenv("TROUBLE")) != "0";
  // The threads of the stand-ins use these until the process ends.
  Record& record = *new Record(argv[3]);
  Store& store = *new Store("127.0.79.1");
  Server& leaver = *new Server("i-leaver", "127.0.79.11", 40, record);
  Server& stayer = *new Server("i-stayer", "127.0.79.12", 40, record);
  std::string state = "ready";
  const auto beat = [&] {
    store.Put("servers/i-leaver", leaver.Entry("shop", "north-a", state));
    store.Put("servers/i-stayer", stayer.Entry("shop", "north-a"));
  };
  int n = 0;
  const auto send = [&](Host& host, const std::string& target) {
    Call call;
    call.target = target;
    call.attempt = "attempt-" + std::to_string(++n);
    return Send(host, call, record);
  };
  store.Put("op/config", Config(3, nullptr));
  beat();
  Host host({argv[1], folder, "front-north-a-1", "127.0.79.21", "north-a",
             "\"north-a\": \"north\"", store.endpoint(), ""});
  host.Start();
  if (!host.AwaitReady(8'000))
    return 2;
  int64_t beat_at = NowMs();
  // Lets time pass, with the servers' heartbeats and some load.
  const auto pass = [&](int64_t ms, bool heartbeats) {
    for (const int64_t until = NowMs() + ms; NowMs() < until;) {
      if (heartbeats && NowMs() >= beat_at) {
        beat();
        beat_at = NowMs() + kHeartbeatMs;
      }
      send(host, "/read/" + std::to_string(n % 20));
      SleepMs(std::min<int64_t>(50, until - NowMs()));
    }
  };
  pass(4'000, true);
  if (trouble) {
    store.SetRejecting(true);
    record.Line("the store turns calls away with 503");
    pass(kRejectMs, false);
    store.SetRejecting(false);
    store.SetSilent(true);
    record.Line("the store is silent");
    pass(kSilentMs, false);
    store.SetSilent(false);
  }
  record.Line("the store is sound");
  pass(kSettleMs + kMarginMs, true);
  store.Put("op/config", Config(8, nullptr, Route("r-new", "/new/")));
  const int64_t config_at = NowMs();
  record.Line("r8 is acknowledged, with the route /new/");
  state = "draining";
  beat();
  const int64_t leaving_at = NowMs();
  record.Line("i-leaver is draining, acknowledged");
  pass(kConfigApplyMs + kMarginMs, true);
  int broken = 0;
  for (int i = 0; i < 10; ++i) {
    const int64_t sent_at = NowMs();
    if (send(host, "/new/1") == 404) {
      record.Line(
          "broken: CONFIG: 404 on a route whose version was "
          "acknowledged " +
          std::to_string(sent_at - config_at) + " ms before");
      ++broken;
    }
    pass(100, true);
  }
  for (const Server::Run& run : leaver.runs()) {
    if (run.at_ms - leaving_at <= kDrainMs + kMarginMs)
      continue;
    record.Line("broken: DRAIN: " + run.attempt + " reached i-leaver " +
                std::to_string(run.at_ms - leaving_at) +
                " ms after it was draining");
    ++broken;
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
