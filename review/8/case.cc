// A planned stop while clients read large responses and have sent further
// requests on the same connection.
#include <signal.h>

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
constexpr size_t kLargeBytes = 1'000'000;
constexpr size_t kSmallBytes = 400;
constexpr int kBudgetMs = 4'000;
constexpr int kTimeoutMs = 3'000;
constexpr int kGraceMs = 6'000;
// A client takes this much of a response at a time, 0.8 MB a second.
constexpr size_t kReadBytes = 16'384;
constexpr int kReadPauseMs = 20;
constexpr int kReceiveBuffer = 65'536;
// Pause between the requests that a client sends before it has the first
// response, and how many these are.
constexpr int kFurtherMs = 200;
constexpr int kFurther = 6;
constexpr int kStopAfterMs = 300;

// What a backend server did with a request.
struct Run {
  int64_t began_ms = 0;
  int64_t ended_ms = 0;
  bool sent = false;
};

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
  void Further(const std::shared_ptr<Connection>& connection,
               int number,
               const std::atomic<bool>& done);

  const std::string program_;
  const std::string folder_;
  Record record_;
  const bool trouble_;
  std::unique_ptr<Entry> entry_;
  std::mutex mutex_;
  std::map<std::string, Run> runs_;
  std::atomic<int64_t> stop_ms_{-1};
  std::atomic<int> started_{0};
  std::atomic<int> lost_{0};
  std::atomic<int> whole_{0};
  std::atomic<int> other_{0};
};

bool Case::Serve(Backend& server,
                 Connection& connection,
                 const Message& request) {
  const std::string id = request.Field("toucanknot-attempt-id");
  const bool large = request.target().rfind("/invoice/", 0) == 0;
  {
    const std::lock_guard lock(mutex_);
    runs_[id].began_ms = NowMs();
  }
  SleepMs(kWorkMs);
  const std::string body(large ? kLargeBytes : kSmallBytes, 'i');
  const bool sent =
      connection.Send(server.Head(request, 200) + "Content-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body);
  const std::lock_guard lock(mutex_);
  runs_[id].ended_ms = NowMs();
  runs_[id].sent = sent;
  record_.Add(
      "server " + server.id() + " ran " + id + " " + request.target() +
      (sent ? ", sent its whole response" : ", could not send its response"));
  return sent;
}

void Case::Further(const std::shared_ptr<Connection>& connection,
                   int number,
                   const std::atomic<bool>& done) {
  for (int i = 0; i < kFurther && !done; ++i) {
    SleepMs(kFurtherMs);
    if (done)
      return;
    const std::string id = NewId();
    if (!connection->Send(
            RequestText("GET", "/list/" + std::to_string(i), id, kBudgetMs)))
      return;
    record_.Add("client " + std::to_string(number) + " sent " + id +
                " GET /list/" + std::to_string(i) + " behind the first");
  }
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
    ++started_;
    ++other_;
    record_.Add(name + " was not served before the stop");
    return;
  }
  ++started_;
  while (stop_ms_ < 0)
    SleepMs(5);
  const std::string id = NewId();
  const std::string path = "/invoice/" + std::to_string(number);
  connection->Send(RequestText("GET", path, id, kBudgetMs));
  const int64_t sent_ms = NowMs();
  record_.Add(name + " sent " + id + " GET " + path);
  std::atomic<bool> done{false};
  std::thread writer([&] { Further(connection, number, done); });
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
      // A client that is told of the close sends nothing more.
      if (bytes.substr(0, end).find("onnection: close") != std::string::npos)
        done = true;
    }
    SleepMs(kReadPauseMs);
  }
  const int64_t ended_ms = NowMs();
  const bool is_whole = need > 0 && bytes.size() >= need;
  done = true;
  connection->Shutdown();
  writer.join();
  Run run;
  {
    const std::lock_guard lock(mutex_);
    const auto it = runs_.find(id);
    if (it != runs_.end())
      run = it->second;
  }
  if (is_whole) {
    ++whole_;
    record_.Add(name + " got the whole response to " + id + ": " +
                bytes.substr(0, bytes.find("\r\n")));
    return;
  }
  const bool in_time = ended_ms - sent_ms < kTimeoutMs;
  const bool in_stop =
      trouble_ && ended_ms <= stop_ms_ + kStopAfterMs + kGraceMs + 1'000;
  const bool counts =
      run.sent && run.ended_ms < ended_ms && n != -2 && in_time && in_stop;
  ++(counts ? lost_ : other_);
  record_.Add(name + " lost the response to " + id +
              ": the connection ended (" +
              (n == 0 ? "closed" : connection->error()) + ") " +
              std::to_string(ended_ms - sent_ms) + " ms after the request, " +
              std::to_string(bytes.size()) + " of " + std::to_string(need) +
              " bytes; its server had ended " +
              std::to_string(ended_ms - run.ended_ms) + " ms before" +
              (counts ? "" : " (not counted)"));
}

int Case::Play() {
  LimitRunTime(60'000);
  const std::string store_ip = "127.0.46.2";
  const uint16_t store_port = FreePort(store_ip);
  // The stand-ins' threads run until the program ends.
  Store& store = *new Store(store_ip, store_port);
  store.Put("op/config",
            ConfigText(7, {{"list", "/list/", "safe", "storefront", kTimeoutMs},
                           {"invoice", "/invoice/", "download", "fulfilment",
                            kTimeoutMs}}));
  auto& servers = *new std::vector<std::unique_ptr<Backend>>;
  for (int i = 0; i < 12; ++i) {
    servers.push_back(std::make_unique<Backend>(
        store, "127.0.46.3", "i-" + std::to_string(i),
        i % 2 == 0 ? "storefront" : "fulfilment", i % 4 < 2 ? "a" : "b",
        [this](Backend& server, Connection& connection,
               const Message& request) {
          return Serve(server, connection, request);
        }));
  }
  EntryOptions options;
  options.grace_ms = kGraceMs;
  entry_ =
      std::make_unique<Entry>(program_, folder_, options, store_ip, store_port);
  if (!entry_->AwaitReady(10'000))
    return 2;
  // The host settles.
  SleepMs(3'000);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i)
    clients.emplace_back([this, i] { Client(i); });
  while (started_ < kClients)
    SleepMs(5);
  stop_ms_ = NowMs();
  SleepMs(kStopAfterMs);
  if (trouble_) {
    record_.Add("SIGTERM to the host");
    entry_->process().Signal(SIGTERM);
  }
  for (std::thread& it : clients)
    it.join();
  if (trouble_) {
    const bool ended = entry_->process().Wait(kGraceMs + 1'000);
    record_.Add(ended ? "the host has ended" : "the host has not ended");
  }
  record_.Add(std::to_string(whole_) + " whole responses, " +
              std::to_string(lost_) + " lost, " + std::to_string(other_) +
              " not counted");
  entry_.reset();
  if (lost_ > 0)
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
