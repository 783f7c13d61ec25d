// A version of the configuration raises max_header_bytes. Later than
// config_apply after its ack, callers send heads within the new limit.

#include <signal.h>

#include <deque>
#include <string>

#include "fleet.h"

namespace review {
namespace {

constexpr int kRequests = 200;
// The kinds of head: one in ten is larger than the first version allows.
constexpr int kLargeEvery = 10;
constexpr size_t kSmallHeadBytes = 600;
constexpr size_t kLargeHeadBytes = 20'000;
constexpr int kFirstLimit = 16'384;
constexpr int kSecondLimit = 32'768;
constexpr int64_t kConfigApplyMs = 2500;
constexpr int64_t kTimeoutMs = 4000;

std::string Fields(size_t bytes) {
  std::string out;
  for (int i = 0; out.size() + 512 < bytes; ++i)
    out += "X-Context-" + std::to_string(i) + ": " + std::string(480, 'c') +
           "\r\n";
  return out;
}

[[noreturn]] void Run(const std::string& program, const std::string& folder) {
  Store store;
  Ledger ledger;
  std::deque<Server> servers;
  for (int i = 0; i < 2; ++i) {
    Server::Options options;
    options.id = "i-" + std::to_string(i);
    servers.emplace_back(store, ledger, options);
    servers.back().Start(false);
  }
  ConfigOptions config;
  config.timeout_ms = kTimeoutMs;
  config.max_header_bytes = kFirstLimit;
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
  config.version = 2;
  if (HasTrouble())
    config.max_header_bytes = kSecondLimit;
  store.Put("op/config", MakeConfig(config));
  Record("version r2, max_header_bytes " +
         std::to_string(config.max_header_bytes));
  SleepMs(kConfigApplyMs + 1500);
  int denied = 0;
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    // Callers stay within the limit in force.
    const bool large = HasTrouble() && i % kLargeEvery == 0;
    const std::string id = NewId();
    const std::string request =
        MakeRequest("GET", "/read/" + id, id, kTimeoutMs, "",
                    Fields(large ? kLargeHeadBytes : kSmallHeadBytes));
    Record("sent " + id + ", " + std::to_string(request.size()) + " bytes");
    const auto connection = Connect(host.ip(), host.port(), 1000);
    Message answer;
    if (connection && connection->Write(request))
      connection->Read(answer, NowMs() + kTimeoutMs);
    Record("answered " + id + " " + std::to_string(answer.status) + ", runs " +
           std::to_string(ledger.RunsOf(id)));
    served += answer.status == 200 ? 1 : 0;
    denied += answer.status >= 300 && answer.status < 500 ? 1 : 0;
  }
  const double bound = 5 + kRequests / 500.0;
  const std::string why = std::to_string(denied) + " of " +
                          std::to_string(kRequests) +
                          " proper requests denied, " + std::to_string(served) +
                          " served; bound " + std::to_string(bound);
  host.Kill();
  End(denied > bound ? kBroken : kHeld, why);
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
