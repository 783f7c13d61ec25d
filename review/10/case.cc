// Clients that read large responses slowly on connections that the host takes
// for idle.
#include <atomic>
#include <cstdlib>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

#include "../standins-2/loopback.h"
#include "../standins-2/platform.h"

namespace review {
namespace {

constexpr int kClients = 6;
constexpr int kWorkMs = 300;
constexpr size_t kLargeBytes = 1'500'000;
constexpr size_t kSmallBytes = 400;
constexpr int kBudgetMs = 6'000;
constexpr int kTimeoutMs = 6'000;
// The limit of the configuration for idle clients.
constexpr int kIdleMs = 1'500;
// A slow client takes this much of a response at a time, 0.4 MB a second.
constexpr size_t kReadBytes = 8'192;
constexpr int kReadPauseMs = 20;
constexpr int kReceiveBuffer = 65'536;
// When a client sends another request behind the first, if it has no whole
// response by then.
constexpr int kFurtherAfterMs = 3'000;
// The rule allows this many.
constexpr int kAllowed = 3;

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
  bool Serve(Backend& server, Connection& connection, const Message& request);
  void Client(int number);

  const std::string program_;
  const std::string folder_;
  Record record_;
  const bool trouble_;
  std::unique_ptr<Entry> entry_;
  std::mutex mutex_;
  // When a server had sent its whole response, by the request's id.
  std::map<std::string, int64_t> sent_;
  std::atomic<int> lost_{0};
  std::atomic<int> whole_{0};
  std::atomic<int> other_{0};
};

bool Case::Serve(Backend& server,
                 Connection& connection,
                 const Message& request) {
  const std::string id = request.Field("toucanknot-attempt-id");
  const bool large = request.target().rfind("/invoice/", 0) == 0;
  SleepMs(kWorkMs);
  const std::string body(large ? kLargeBytes : kSmallBytes, 'i');
  const bool sent =
      connection.Send(server.Head(request, 200) + "Content-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body);
  const std::lock_guard lock(mutex_);
  if (sent)
    sent_[id] = NowMs();
  record_.Add(
      "server " + server.id() + " ran " + id + " " + request.target() +
      (sent ? ", sent its whole response" : ", could not send its response"));
  return sent;
}

void Case::Client(int number) {
  const std::string name = "client " + std::to_string(number);
  const auto connection =
      Connection::Open(entry_->ip(), entry_->port(), kReceiveBuffer);
  Message answer;
  // The connection is a kept one.
  if (!connection ||
      !connection->Send(
          RequestText("GET", "/list/first", NewId(), kBudgetMs)) ||
      MessageReader(*connection).Read(answer, NowMs() + kBudgetMs) !=
          MessageReader::End::kMessage ||
      answer.status() != 200) {
    ++other_;
    record_.Add(name + " was not served at first");
    return;
  }
  const std::string id = NewId();
  const std::string path = "/invoice/" + std::to_string(number);
  connection->Send(RequestText("GET", path, id, kBudgetMs));
  const int64_t sent_ms = NowMs();
  record_.Add(name + " sent " + id + " GET " + path);
  bool further = false;
  std::string bytes;
  size_t need = 0;
  int n = 0;
  while (need == 0 || bytes.size() < need) {
    n = connection->Receive(bytes, kBudgetMs - (NowMs() - sent_ms), kReadBytes);
    if (n <= 0)
      break;
    const size_t end = bytes.find("\r\n\r\n");
    if (need == 0 && end != std::string::npos) {
      const size_t at = bytes.find("Content-Length: ");
      need =
          end + 4 +
          (at < end ? static_cast<size_t>(std::atoll(bytes.c_str() + at + 16))
                    : 0);
    }
    if (!trouble_)
      continue;
    SleepMs(kReadPauseMs);
    if (!further && NowMs() - sent_ms >= kFurtherAfterMs) {
      further = true;
      const std::string next = NewId();
      if (connection->Send(RequestText("GET", "/list/next", next, kBudgetMs)))
        record_.Add(name + " sent " + next +
                    " GET /list/next behind the first");
    }
  }
  const int64_t ended_ms = NowMs();
  if (need > 0 && bytes.size() >= need) {
    ++whole_;
    record_.Add(name + " got the whole response to " + id + ": " +
                bytes.substr(0, bytes.find("\r\n")));
    return;
  }
  int64_t server_ms = 0;
  {
    const std::lock_guard lock(mutex_);
    if (const auto it = sent_.find(id); it != sent_.end())
      server_ms = it->second;
  }
  const bool counts =
      server_ms > 0 && n != -2 && ended_ms - sent_ms < kBudgetMs;
  ++(counts ? lost_ : other_);
  record_.Add(name + " lost the response to " + id +
              ": the connection ended (" +
              (n == 0 ? "closed" : connection->error()) + ") " +
              std::to_string(ended_ms - sent_ms) + " ms after the request, " +
              std::to_string(bytes.size()) + " of " + std::to_string(need) +
              " bytes; its server had sent all " +
              std::to_string(ended_ms - server_ms) + " ms before" +
              (counts ? "" : " (not counted)"));
}

int Case::Play() {
  LimitRunTime(60'000);
  const std::string store_ip = "127.0.47.2";
  const uint16_t store_port = FreePort(store_ip);
  // The stand-ins' threads run until the program ends.
  Store& store = *new Store(store_ip, store_port);
  store.Put("op/config",
            ConfigText(7,
                       {{"list", "/list/", "safe", "storefront", kTimeoutMs},
                        {"invoice", "/invoice/", "download", "fulfilment",
                         kTimeoutMs}},
                       kIdleMs));
  auto& servers = *new std::vector<std::unique_ptr<Backend>>;
  for (int i = 0; i < 12; ++i) {
    servers.push_back(std::make_unique<Backend>(
        store, "127.0.47.3", "i-" + std::to_string(i),
        i % 2 == 0 ? "storefront" : "fulfilment", i % 4 < 2 ? "a" : "b",
        [this](Backend& server, Connection& connection,
               const Message& request) {
          return Serve(server, connection, request);
        }));
  }
  EntryOptions options;
  options.ip = "127.0.47.1";
  entry_ =
      std::make_unique<Entry>(program_, folder_, options, store_ip, store_port);
  if (!entry_->AwaitReady(10'000))
    return 2;
  // The host settles.
  SleepMs(3'500);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i)
    clients.emplace_back([this, i] { Client(i); });
  for (std::thread& it : clients)
    it.join();
  record_.Add(std::to_string(whole_) + " whole responses, " +
              std::to_string(lost_) + " lost, " + std::to_string(other_) +
              " not counted");
  entry_.reset();
  if (lost_ > kAllowed)
    return 1;
  return whole_ == kClients ? 0 : 2;
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
