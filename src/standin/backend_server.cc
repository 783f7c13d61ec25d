#include "src/standin/backend_server.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>
#include <chrono>
#include <cmath>
#include <utility>

namespace toucanknot {
namespace {

constexpr uint64_t kMaxBodyBytes = 16 << 20;
constexpr int kColdFactor = 4;
constexpr Duration kCrashDowntime{2'000};
// Longer than any caller's timeout.
constexpr Duration kNoResponseDelay = Duration::Seconds(3'600);
constexpr char kRunOnceMethods[] = "POST";

size_t ParseSize(std::string_view text) {
  size_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

}  // namespace

std::string StandinResponse(const std::string& work_id, size_t bytes) {
  std::string body = work_id + "\n";
  if (bytes > body.size())
    body.append(bytes - body.size(), '.');
  return body + std::to_string(XXH3_64bits(body.data(), body.size()));
}

StandinBackendServer::StandinBackendServer(WorkerPool& workers,
                                           BackendServer spec,
                                           std::shared_ptr<WorkLedger> ledger,
                                           uint64_t seed)
    : workers_(workers),
      spec_(std::move(spec)),
      ledger_(std::move(ledger)),
      random_(seed) {}

void StandinBackendServer::Start() {
  HttpServerLimits limits;
  limits.max_connections = spec_.max_connections;
  auto server = std::make_shared<HttpServer>(
      workers_, limits, [](std::string_view) { return kMaxBodyBytes; },
      [self = shared_from_this()](HttpRequest request) {
        return self->Handle(std::move(request));
      });
  server->Listen(spec_.address);
  const std::lock_guard lock(mutex_);
  server_ = std::move(server);
  started_ = SteadyNow();
}

void StandinBackendServer::Crash(Duration down) {
  ++crashes_;
  server()->Abort();
  auto restart = [self = shared_from_this(),
                  down]() -> boost::asio::awaitable<void> {
    co_await SleepFor(down);
    self->Start();
  };
  boost::asio::co_spawn(workers_.NextLoop(), restart, boost::asio::detached);
}

void StandinBackendServer::Close() {
  const std::lock_guard lock(mutex_);
  server_.reset();
}

void StandinBackendServer::SetFaults(const BackendFaults& faults) {
  const std::lock_guard lock(mutex_);
  faults_ = faults;
}

BackendFaults StandinBackendServer::faults() const {
  const std::lock_guard lock(mutex_);
  return faults_;
}

std::shared_ptr<HttpServer> StandinBackendServer::server() const {
  const std::lock_guard lock(mutex_);
  return server_;
}

int StandinBackendServer::running() const {
  const std::lock_guard lock(mutex_);
  return running_;
}

int StandinBackendServer::peak_running() const {
  const std::lock_guard lock(mutex_);
  return peak_running_;
}

Instant StandinBackendServer::last_arrival() const {
  const std::lock_guard lock(mutex_);
  return last_arrival_;
}

boost::asio::awaitable<HttpResponse> StandinBackendServer::Handle(
    HttpRequest request) {
  const int64_t open = server()->OpenConnections();
  if (open > peak_connections_)
    peak_connections_ = open;
  const int incarnation = crashes_;
  if (request.connected_at < faults().silent_before)
    co_await SleepFor(kNoResponseDelay);
  if (TargetPath(request.target) == "/health")
    co_return Health();
  HttpResponse response = co_await ServeWork(std::move(request), incarnation);
  if (incarnation != crashes_)
    co_await SleepFor(kNoResponseDelay);
  co_return response;
}

boost::asio::awaitable<HttpResponse> StandinBackendServer::ServeWork(
    HttpRequest request,
    int incarnation) {
  {
    const std::lock_guard lock(mutex_);
    last_arrival_ = SteadyNow();
  }
  if (faults().failing)
    co_return TextResponse(500, "failing");
  if (!co_await AcquireSlot())
    co_return TextResponse(503, "overloaded");
  if (incarnation != crashes_) {
    ReleaseSlot();
    co_await SleepFor(kNoResponseDelay);
  }
  const std::string work_id(request.fields.Get("Work-Id"));
  if (request.method == kRunOnceMethods && !work_id.empty())
    ledger_->RecordRun(work_id);
  co_await SleepFor(RandomServiceTime());
  ReleaseSlot();
  if (request.fields.Has("Crash-Server")) {
    Crash(kCrashDowntime);
    co_await SleepFor(kNoResponseDelay);
  }
  HttpResponse response = TextResponse(200, "");
  response.body =
      StandinResponse(work_id, ParseSize(request.fields.Get("Answer-Bytes")));
  response.fields.Add("Served-By", spec_.id.str());
  co_return response;
}

HttpResponse StandinBackendServer::Health() const {
  const std::lock_guard lock(mutex_);
  const bool truthful = !faults_.misleading;
  const bool healthy = !truthful || !faults_.failing;
  const int running = truthful ? running_ : 0;
  const int waiting = truthful ? static_cast<int>(waiting_.size()) : 0;
  return JsonResponse(
      healthy ? 200 : 503,
      std::string("{\"healthy\":") + (healthy ? "true" : "false") +
          ",\"leaving\":" + (faults_.leaving ? "true" : "false") +
          ",\"running\":" + std::to_string(running) +
          ",\"waiting\":" + std::to_string(waiting) + "}");
}

boost::asio::awaitable<bool> StandinBackendServer::AcquireSlot() {
  std::shared_ptr<SlotWaiter> waiter;
  {
    const std::lock_guard lock(mutex_);
    if (running_ < spec_.slots) {
      ++running_;
      peak_running_ = std::max(peak_running_, running_);
      co_return true;
    }
    if (static_cast<int>(waiting_.size()) >= faults_.max_waiting)
      co_return false;
    waiter = std::make_shared<SlotWaiter>(
        workers_.loop(WorkerPool::CurrentWorker()));
    waiting_.push_back(waiter);
  }
  // ReleaseSlot() transfers a slot without decrementing `running_`.
  co_await waiter->Wait(Instant::Never());
  co_return true;
}

void StandinBackendServer::ReleaseSlot() {
  const std::lock_guard lock(mutex_);
  if (waiting_.empty()) {
    --running_;
    return;
  }
  waiting_.front()->Set(true);
  waiting_.pop_front();
}

Duration StandinBackendServer::RandomServiceTime() {
  const std::lock_guard lock(mutex_);
  const double mean = static_cast<double>(faults_.service_time.ms());
  const bool cold = SteadyNow() - started_ < faults_.cold_for;
  std::exponential_distribution<double> distribution(1.0 /
                                                     std::max(mean, 0.001));
  const double ms = distribution(random_) * (cold ? kColdFactor : 1);
  return Duration(std::llround(ms));
}

}  // namespace toucanknot
