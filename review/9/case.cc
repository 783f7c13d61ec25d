// Entries of another writer in the servers' registry, and a restart of the
// host.
#include <signal.h>
#include <sys/wait.h>

#include <atomic>
#include <cstdlib>
#include <memory>
#include <thread>

#include "../standins-2/loopback.h"
#include "../standins-2/platform.h"

namespace review {
namespace {

constexpr int kWorkMs = 100;
constexpr int kBudgetMs = 2'000;
constexpr int kTimeoutMs = 1'500;
constexpr int kClients = 10;
constexpr int kMemoryMb = 160;
// The largest value that the store takes.
constexpr size_t kEntryBytes = 1'048'576;
constexpr int kEntries = 16;
constexpr int kDownMs = 1'000;
constexpr int kRecoverMs = 15'000;
// How long requests are counted before and after.
constexpr int kCountMs = 8'000;

class Case {
 public:
  explicit Case(const char* const* arguments)
      : program_(arguments[1]),
        folder_(arguments[2]),
        record_(arguments[3]),
        trouble_(std::getenv("TROUBLE") == nullptr ||
                 std::string(std::getenv("TROUBLE")) != "0") {}

  int Play();

 private:
  // A client that sends a request each half second, each on a new connection.
  void Client(int number);
  // The share of the requests of the next kCountMs that are served.
  double CountServed(const std::string& when);

  const std::string program_;
  const std::string folder_;
  Record record_;
  const bool trouble_;
  std::unique_ptr<Entry> entry_;
  std::atomic<bool> done_{false};
  // Incremented when counting starts anew.
  std::atomic<int> period_{0};
  std::atomic<int> sent_{0};
  std::atomic<int> served_{0};
};

void Case::Client(int number) {
  while (!done_) {
    const std::string id = NewId();
    const int period = period_;
    ++sent_;
    std::string result = "no connection";
    if (const auto connection =
            Connection::Open(entry_->ip(), entry_->port())) {
      connection->Send(
          RequestText("GET", "/list/" + std::to_string(number), id, kBudgetMs));
      Message answer;
      const MessageReader::End end =
          MessageReader(*connection).Read(answer, NowMs() + kBudgetMs);
      result = end == MessageReader::End::kMessage ? answer.start : "no answer";
      if (answer.status() == 200 && end == MessageReader::End::kMessage)
        served_ += period == period_ ? 1 : 0;
    }
    record_.Add("client " + std::to_string(number) + " sent " + id + ": " +
                result);
    SleepMs(500);
  }
}

double Case::CountServed(const std::string& when) {
  ++period_;
  sent_ = 0;
  served_ = 0;
  SleepMs(kCountMs);
  const int sent = sent_;
  const int served = served_;
  record_.Add(when + ": " + std::to_string(served) + " of " +
              std::to_string(sent) + " requests served");
  return sent == 0 ? 0 : static_cast<double>(served) / sent;
}

int Case::Play() {
  LimitRunTime(100'000);
  const std::string store_ip = "127.0.48.2";
  const uint16_t store_port = FreePort(store_ip);
  // The stand-ins' threads run until the program ends.
  Store& store = *new Store(store_ip, store_port);
  store.Put(
      "op/config",
      ConfigText(7, {{"list", "/list/", "safe", "storefront", kTimeoutMs}}));
  auto& servers = *new std::vector<std::unique_ptr<Backend>>;
  for (int i = 0; i < 12; ++i) {
    servers.push_back(std::make_unique<Backend>(
        store, "127.0.48.3", "i-" + std::to_string(i), "storefront",
        i % 2 == 0 ? "a" : "b",
        [this](Backend& server, Connection& connection,
               const Message& request) {
          SleepMs(kWorkMs);
          record_.Add("server " + server.id() + " ran " +
                      request.Field("toucanknot-attempt-id"));
          return connection.Send(server.Head(request, 200) +
                                 "Content-Length: 4\r\n\r\nlist");
        }));
  }
  EntryOptions options;
  options.ip = "127.0.48.1";
  options.memory_mb = kMemoryMb;
  entry_ =
      std::make_unique<Entry>(program_, folder_, options, store_ip, store_port);
  if (!entry_->AwaitReady(10'000))
    return 2;
  SleepMs(3'500);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i)
    clients.emplace_back([this, i] { Client(i); });
  if (trouble_) {
    for (int i = 0; i < kEntries; ++i) {
      store.Put("servers/x-" + std::to_string(i),
                std::string(kEntryBytes, '\xff'));
      SleepMs(100);
    }
    record_.Add("another writer has written " + std::to_string(kEntries) +
                " entries of " + std::to_string(kEntryBytes) + " bytes");
  }
  const double before = CountServed("before the final fault");
  record_.Add("the host's process is killed");
  entry_->process().Signal(SIGKILL);
  entry_->process().Wait(2'000);
  SleepMs(kDownMs);
  entry_->Restart();
  record_.Add("the host's process is started again");
  const bool ready = entry_->AwaitReady(kRecoverMs);
  record_.Add(ready ? "the host is ready" : "the host is not ready");
  if (!ready && entry_->process().Ended())
    record_.Add("the host's process has ended");
  if (ready)
    SleepMs(kRecoverMs);
  const double after = CountServed("later than `recover` after it was back");
  done_ = true;
  for (std::thread& it : clients)
    it.join();
  entry_.reset();
  if (before < 0.25)
    return 2;
  return after < 0.25 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 4) {
    std::fprintf(stderr, "usage: case PROGRAM FOLDER RECORD\n");
    return 2;
  }
  try {
    const int result = (new review::Case(argv))->Play();
    std::fflush(nullptr);
    std::_Exit(result);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
    std::_Exit(2);
  }
}
