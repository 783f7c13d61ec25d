// A change of the configuration that adds a route of low rank.
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

constexpr int kWorkMs = 50;
constexpr int kBudgetMs = 2'000;
constexpr int kTimeoutMs = 1'500;
// `config_apply`, and how long requests are judged after it.
constexpr int kApplyMs = 2'500;
constexpr int kJudgedMs = 10'000;
constexpr int kPauseMs = 100;
// Ranks of the added route: with the trouble, and without it.
constexpr int kHighNumber = 2'000;
constexpr int kLowNumber = 5;

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
  // Sends one request. Returns its status, and the service that ran it.
  int Ask(const std::string& path, std::string& service);

  const std::string program_;
  const std::string folder_;
  Record record_;
  const bool trouble_;
  std::unique_ptr<Entry> entry_;
  std::mutex mutex_;
  // The service that ran a request, by the request's id.
  std::map<std::string, std::string> ran_by_;
};

int Case::Ask(const std::string& path, std::string& service) {
  const std::string id = NewId();
  Message answer;
  int status = 0;
  if (const auto connection = Connection::Open(entry_->ip(), entry_->port())) {
    connection->Send(RequestText("GET", path, id, kBudgetMs));
    if (MessageReader(*connection).Read(answer, NowMs() + kBudgetMs) ==
        MessageReader::End::kMessage)
      status = answer.status();
  }
  {
    const std::lock_guard lock(mutex_);
    const auto it = ran_by_.find(id);
    service = it == ran_by_.end() ? "nobody" : it->second;
  }
  record_.Add("client sent " + id + " GET " + path + ": " +
              std::to_string(status) + ", run by " + service);
  return status;
}

int Case::Play() {
  LimitRunTime(60'000);
  const std::string store_ip = "127.0.49.2";
  const uint16_t store_port = FreePort(store_ip);
  // The stand-ins' threads run until the program ends.
  Store& store = *new Store(store_ip, store_port);
  RouteSpec list{"list", "/list/", "safe", "storefront", kTimeoutMs};
  const RouteSpec old{"old", "/old/", "safe", "storefront", kTimeoutMs};
  store.Put("op/config", ConfigText(7, {list, old}));
  auto& servers = *new std::vector<std::unique_ptr<Backend>>;
  for (int i = 0; i < 8; ++i) {
    const std::string service = i % 2 == 0 ? "storefront" : "fulfilment";
    servers.push_back(std::make_unique<Backend>(
        store, "127.0.49.3", "i-" + std::to_string(i), service,
        i % 4 < 2 ? "a" : "b",
        [this, service](Backend& server, Connection& connection,
                        const Message& request) {
          SleepMs(kWorkMs);
          {
            const std::lock_guard lock(mutex_);
            ran_by_[request.Field("toucanknot-attempt-id")] = service;
          }
          return connection.Send(server.Head(request, 200) +
                                 "Content-Length: 4\r\n\r\ndone");
        }));
  }
  EntryOptions options;
  options.ip = "127.0.49.1";
  entry_ =
      std::make_unique<Entry>(program_, folder_, options, store_ip, store_port);
  if (!entry_->AwaitReady(10'000))
    return 2;
  SleepMs(3'500);
  std::string service;
  if (Ask("/list/1", service) != 200 || service != "storefront")
    return 2;
  // The new version moves one route, drops one and adds one.
  list.service = "fulfilment";
  RouteSpec added{"report", "/report/", "safe", "storefront", kTimeoutMs};
  added.priority = trouble_ ? kHighNumber : kLowNumber;
  store.Put("op/config", ConfigText(12, {list, added}));
  record_.Add(
      "the store has acknowledged version r12; the added route has "
      "priority " +
      std::to_string(added.priority));
  SleepMs(kApplyMs);
  int broken = 0;
  int judged = 0;
  for (const int64_t until_ms = NowMs() + kJudgedMs; NowMs() < until_ms;) {
    std::string by;
    broken += Ask("/list/1", by) == 200 && by == "storefront" ? 1 : 0;
    broken += Ask("/old/1", by) == 200 ? 1 : 0;
    broken += Ask("/report/1", by) == 404 ? 1 : 0;
    judged += 3;
    SleepMs(kPauseMs);
  }
  record_.Add(std::to_string(broken) + " of " + std::to_string(judged) +
              " requests were handled as only the older version allows");
  entry_.reset();
  return broken > 0 ? 1 : 0;
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
