#include "src/daemon/idempotent_runner.h"
#include "src/daemon/crash_admission.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <condition_variable>
#include <mutex>

#include "tests/forward/fake_server.h"

namespace toucanknot {
namespace {

using Responses = FakeServer::Responses;

constexpr char kResponse[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr Duration kLongTimeout{20'000};

// Records the calls to a dispatcher; the test waits for them.
struct DispatcherCalls {
  void Add(AttemptEnd end) {
    const std::lock_guard lock(mutex);
    ends.push_back(end);
    changed.notify_all();
  }
  void Withdraw() {
    const std::lock_guard lock(mutex);
    ++withdrawn;
    changed.notify_all();
  }
  bool Await(const std::function<bool()>& done) {
    std::unique_lock lock(mutex);
    return changed.wait_for(lock, std::chrono::milliseconds(kLongTimeout.ms()),
                            done);
  }
  int Count(AttemptEnd end) const {
    return static_cast<int>(std::count(ends.begin(), ends.end(), end));
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::vector<AttemptEnd> ends;
  int withdrawn = 0;
};

// Sends to the first server that is not to be avoided; the first item waits
// forever if `hold_first` is set.
class FakeDispatcher : public Dispatcher {
 public:
  FakeDispatcher(DispatcherCalls* ends,
                 std::vector<ServerId> servers,
                 bool hold_first)
      : ends_(ends), servers_(std::move(servers)), hold_(hold_first) {}

  DispatchDecision Offer(const DispatchRequest& item, Instant) override {
    DispatchDecision decision;
    decision.request_id = item.id;
    if (std::exchange(hold_, false))
      return decision;
    decision.step = Step::kRefuse;
    decision.refusal = Refusal::kNoServer;
    for (const ServerId& it : servers_) {
      if (std::find(item.avoid.begin(), item.avoid.end(), it) !=
          item.avoid.end()) {
        continue;
      }
      decision.step = Step::kSend;
      decision.server = it;
      break;
    }
    return decision;
  }
  void Withdraw(uint64_t, Instant) override { ends_->Withdraw(); }
  void Finish(const AttemptResult& it, Instant) override { ends_->Add(it.end); }
  std::vector<DispatchDecision> Advance(Instant) override { return {}; }
  Instant NextWake() const override { return Instant::Never(); }
  void OnLoadReport(const LoadReport&, Instant) override {}
  void OnPeerLoad(const PeerLoad&, Instant) override {}
  void OnHosts(const std::vector<HostId>&, Instant) override {}
  void OnConfig(const FleetConfigPtr&, int64_t, Instant) override {}
  PeerLoad OwnLoad() const override { return {}; }
  std::string Explain(Instant) const override { return {}; }

 private:
  DispatcherCalls* const ends_;
  const std::vector<ServerId> servers_;
  bool hold_;
};

struct Fixture {
  explicit Fixture(const std::vector<Endpoint>& endpoints,
                   bool hold_first = false) {
    std::vector<ServerId> ids;
    for (const Endpoint& it : endpoints) {
      ids.emplace_back("s" + std::to_string(ids.size()));
      entry->servers[ids.back()] = it;
    }
    entry->dispatcher = std::make_shared<SharedDispatcher>(
        std::make_unique<FakeDispatcher>(&ends, ids, hold_first));
    hooks.try_acquire_retry = [this](const ServiceEntry&) {
      return retries-- > 0;
    };
    hooks.try_acquire_hedge = [](const ServiceEntry&) { return true; };
    hooks.hedge_after = [this](const ServiceEntry&) { return hedge_after; };
  }
  ~Fixture() { workers.Stop(); }

  HttpResponse Serve() {
    auto call = std::make_shared<ServiceRequest>();
    call->entry = entry;
    call->original.method = "GET";
    call->server_target = "/";
    call->deadline = SteadyNow() + kLongTimeout;
    IdempotentRunner runner(workers, sender, gate, next_item, hooks);
    return boost::asio::co_spawn(
               workers.loop(0),
               [&]() -> boost::asio::awaitable<HttpResponse> {
                 return runner.Serve(call);
               },
               boost::asio::use_future)
        .get();
  }

  DispatcherCalls ends;
  std::shared_ptr<ServiceEntry> entry = std::make_shared<ServiceEntry>();
  std::atomic<uint64_t> next_item{1};
  int retries = 0;
  std::optional<Duration> hedge_after;
  IdempotentRunner::Hooks hooks;
  WorkerPool workers{1};
  Sender sender{workers, HostIncarnation(), nullptr};
  std::shared_ptr<ServiceState> state = std::make_shared<ServiceState>(
      ServiceId("s"),
      HostId("h"),
      1,
      std::make_shared<SharedForwardingLimits>(HostId("h"), 1, SteadyNow()));
  CrashAdmission gate{workers, ZoneId("z"),
                      [this](const ServiceId&) { return state; }};
};

}  // namespace

TEST_CASE("a slow attempt is hedged; the loser is cancelled and reported") {
  FakeServer slow{Responses{""}};
  FakeServer quick{Responses{kResponse}};
  Fixture it({slow.endpoint(), quick.endpoint()});
  it.hedge_after = Duration(20);
  CHECK(it.Serve().body == "ok");
  CHECK(it.ends.Await([&] { return it.ends.ends.size() == 2; }));
  CHECK(it.ends.Count(AttemptEnd::kAnswered) == 1);
  CHECK(it.ends.Count(AttemptEnd::kCancelled) == 1);
}

TEST_CASE("a hedge that lost while still queued is withdrawn") {
  FakeServer quick{Responses{kResponse}};
  Fixture it({quick.endpoint()}, true);
  it.hedge_after = Duration(20);
  CHECK(it.Serve().body == "ok");
  CHECK(it.ends.Await([&] { return it.ends.withdrawn == 1; }));
}

TEST_CASE("a broken attempt is retried on another server within the budget") {
  const int budget = GENERATE(0, 1);
  FakeServer cut{Responses{"HTTP/1.1 2"}};
  FakeServer good{Responses{kResponse}};
  Fixture it({cut.endpoint(), good.endpoint()});
  it.retries = budget;
  const HttpResponse response = it.Serve();
  CHECK(response.status == (budget > 0 ? 200 : 502));
  if (budget == 0) {
    CHECK(response.fields.Get("Toucanknot-Verdict") == "unknown");
    // Connects to the unused fake server, whose destructor waits for that.
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    socket.connect(
        {boost::asio::ip::make_address("127.0.0.1"), good.endpoint().port});
  }
}

TEST_CASE("a stale idle connection costs no retry budget") {
  FakeServer server{Responses{kResponse, FakeServer::kClose},
                    Responses{kResponse}};
  Fixture it({server.endpoint()});
  CHECK(it.Serve().body == "ok");
  CHECK(it.Serve().body == "ok");
  CHECK(it.ends.Count(AttemptEnd::kAnswered) == 2);
  CHECK(it.ends.ends.size() == 2);
}

}  // namespace toucanknot
