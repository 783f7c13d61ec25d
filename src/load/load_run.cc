#include "src/load/load_run.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <chrono>
#include <cmath>
#include <random>
#include <thread>
#include <utility>
#include <vector>

#include "include/base/error.h"
#include "src/forward/connection_pool.h"
#include "src/http/headers.h"
#include "src/http/one_shot.h"
#include "src/http/worker_pool.h"
#include "src/load/host_directory.h"
#include "src/standin/backend_server.h"

namespace toucanknot {
namespace {

constexpr Duration kRepeatPause{100};
constexpr Duration kWaitPoll{10};
constexpr uint64_t kMaxAnswerBytes = 64 << 20;

double MillisSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - start)
      .count();
}

std::string ReasonOf(const ExchangeResult& result) {
  if (result.end != AttemptEnd::kAnswered)
    return std::string(kAttemptEndNames.Name(result.end));
  const std::string_view reason = result.response.fields.Get(kReasonHeader);
  return reason.empty() ? "status-" + std::to_string(result.response.status)
                        : std::string(reason);
}

void Check(const LoadOptions& options) {
  for (const auto& group : options.groups) {
    for (const Endpoint& it : group) {
      if (!boost::asio::ip::make_address(it.ip).is_loopback())
        throw Error("load goes to loopback addresses only: " + it.ToString());
    }
  }
  for (const LoadStream& it : options.streams) {
    if (it.per_second <= 0 || it.per_second > LoadStream::kMaxRate)
      throw Error("a rate must be above 0 and at most 20000 a second");
  }
}

}  // namespace

class LoadRun::Impl {
 public:
  explicit Impl(const LoadOptions& options)
      : options_(options), workers_(options.workers) {}
  ~Impl() { workers_.Stop(); }

  void Start();
  void Wait();
  const LoadResults& results() const { return results_; }

 private:
  using Coroutine = boost::asio::awaitable<void>;

  // One group's callers of one service, on one worker.
  struct Callers {
    Callers(WorkerPool::Loop& own_loop,
            LoadStream own_stream,
            std::vector<Endpoint> seeds)
        : loop(own_loop),
          stream(std::move(own_stream)),
          pool(own_loop),
          directory(pool, std::move(seeds)) {}

    WorkerPool::Loop& loop;
    const LoadStream stream;
    ConnectionPool pool;
    HostDirectory directory;
    std::mt19937_64 random;
  };

  Coroutine Generate(Callers& callers, double per_second);
  void Begin(Callers& callers, bool run_once);
  Coroutine RunIdempotent(Callers& callers, std::string work_id);
  Coroutine RunOnce(Callers& callers, std::string work_id);
  boost::asio::awaitable<ExchangeResult> Send(Callers& callers,
                                              Endpoint host,
                                              const std::string& work_id,
                                              const std::string& ticket);
  // Whether the answer is the work's own and whole; counts when it is not.
  bool IsOwnAnswer(const HttpResponse& response,
                   const std::string& work_id,
                   const LoadStream& stream);

  const LoadOptions options_;
  LoadResults results_;
  std::atomic<int> in_flight_{0};
  std::atomic<int> generators_{0};
  std::atomic<uint64_t> next_work_{1};
  // Keeps the work of two runs against the same stand-ins apart.
  const std::string run_tag_ = std::to_string(UnixMillis());
  WorkerPool workers_;
  std::vector<std::unique_ptr<Callers>> callers_;
};

void LoadRun::Impl::Start() {
  int worker = 0;
  for (const auto& group : options_.groups) {
    for (const LoadStream& stream : options_.streams) {
      const int i = worker++ % workers_.size();
      callers_.push_back(
          std::make_unique<Callers>(workers_.loop(i), stream, group));
      Callers& callers = *callers_.back();
      callers.random.seed(options_.seed * 1'000 + callers_.size());
      ++generators_;
      boost::asio::co_spawn(
          workers_.loop(i),
          Generate(callers, stream.per_second /
                                static_cast<double>(options_.groups.size())),
          boost::asio::detached);
    }
  }
}

void LoadRun::Impl::Wait() {
  while (generators_ > 0 || in_flight_ > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(kWaitPoll.ms()));
}

// Work arrives at random, at the same mean rate whatever becomes of it.
LoadRun::Impl::Coroutine LoadRun::Impl::Generate(Callers& callers,
                                                 double per_second) {
  const auto start = std::chrono::steady_clock::now();
  const auto end = static_cast<double>(options_.duration.ms());
  std::exponential_distribution<double> gap_ms(per_second / 1'000);
  std::bernoulli_distribution run_once(callers.stream.run_once_share);
  double next_ms = gap_ms(callers.random);
  while (next_ms < end) {
    const double left = next_ms - MillisSince(start);
    if (left >= 1)
      co_await SleepFor(Duration(std::llround(std::floor(left))));
    next_ms += gap_ms(callers.random);
    Begin(callers, run_once(callers.random));
  }
  --generators_;
}

void LoadRun::Impl::Begin(Callers& callers, bool run_once) {
  if (in_flight_ >= options_.max_in_flight) {
    results_.AddSkipped();
    return;
  }
  ++in_flight_;
  std::string work_id = callers.stream.service + "-" + run_tag_ + "-" +
                        std::to_string(next_work_++);
  const auto on_end = [this](const std::exception_ptr&) { --in_flight_; };
  if (run_once)
    boost::asio::co_spawn(callers.loop, RunOnce(callers, std::move(work_id)),
                          on_end);
  else
    boost::asio::co_spawn(callers.loop,
                          RunIdempotent(callers, std::move(work_id)), on_end);
}

boost::asio::awaitable<ExchangeResult> LoadRun::Impl::Send(
    Callers& callers,
    Endpoint host,
    const std::string& work_id,
    const std::string& ticket) {
  const LoadStream& stream = callers.stream;
  HttpRequest request;
  request.method = ticket.empty() ? "GET" : "POST";
  request.target = "/v1/services/" + stream.service + "/item/" + work_id;
  request.fields.Add("Host", host.ToString());
  request.fields.Add("Work-Id", work_id);
  request.fields.Add("Answer-Bytes", std::to_string(stream.answer_bytes));
  request.fields.Add(kDeadlineHeader, std::to_string(options_.deadline.ms()));
  if (!ticket.empty()) {
    request.fields.Add(kTicketHeader, ticket);
    request.body.assign(stream.request_bytes, 'r');
  }
  ExchangeOptions options;
  // A little longer than the hosts take, so that their answer gets here.
  options.deadline = SteadyNow() + options_.deadline + Duration(500);
  options.max_answer_bytes = kMaxAnswerBytes;
  results_.AddRequest();
  ExchangeResult result = co_await callers.pool.Exchange(
      host, std::move(request), std::move(options));
  if (result.end != AttemptEnd::kAnswered)
    callers.directory.OnDead(host);
  co_return result;
}

bool LoadRun::Impl::IsOwnAnswer(const HttpResponse& response,
                                const std::string& work_id,
                                const LoadStream& stream) {
  const std::string expected = StandinResponse(work_id, stream.answer_bytes);
  if (response.body == expected)
    return true;
  if (response.body.size() < expected.size() &&
      expected.starts_with(response.body))
    results_.AddCut();
  else
    results_.AddWrong();
  return false;
}

LoadRun::Impl::Coroutine LoadRun::Impl::RunIdempotent(Callers& callers,
                                                      std::string work_id) {
  const LoadStream& stream = callers.stream;
  const auto start = std::chrono::steady_clock::now();
  const Instant give_up = SteadyNow() + options_.patience;
  bool refused = false;
  for (size_t i = 0; SteadyNow() < give_up; ++i) {
    const std::vector<Endpoint> hosts =
        co_await callers.directory.HostsFor(stream.service);
    const ExchangeResult result =
        co_await Send(callers, hosts[i % hosts.size()], work_id, "");
    refused = result.end == AttemptEnd::kAnswered;
    if (refused && result.response.status == 200) {
      if (IsOwnAnswer(result.response, work_id, stream))
        results_.AddAnswer(MillisSince(start));
      co_return;
    }
    results_.AddRepeat(ReasonOf(result));
    co_await SleepFor(kRepeatPause);
  }
  if (refused)
    results_.AddRefused();
  else
    results_.AddFailed();
}

LoadRun::Impl::Coroutine LoadRun::Impl::RunOnce(Callers& callers,
                                                std::string work_id) {
  const LoadStream& stream = callers.stream;
  const auto start = std::chrono::steady_clock::now();
  const Instant give_up = SteadyNow() + options_.patience;
  HostDirectory::TicketOffer offer;
  std::string verdict = "not-run";
  while (SteadyNow() < give_up) {
    if (offer.ticket.empty())
      offer = co_await callers.directory.NewTicket(stream.service);
    if (offer.ticket.empty()) {
      co_await SleepFor(kRepeatPause);
      continue;
    }
    const ExchangeResult result =
        co_await Send(callers, offer.host, work_id, offer.ticket);
    verdict = result.end == AttemptEnd::kAnswered
                  ? std::string(result.response.fields.Get(kVerdictHeader))
                  : "";
    if (verdict == "ran" && result.response.status == 200) {
      if (IsOwnAnswer(result.response, work_id, stream))
        results_.AddAnswer(MillisSince(start));
      break;
    }
    if (verdict == "ran")
      break;
    results_.AddRepeat(ReasonOf(result));
    if (verdict == "not-run") {
      // It is void: begin again with the ticket that the answer offers, at the
      // host that gave it.
      offer.ticket = std::string(result.response.fields.Get(kTicketHeader));
    } else {
      // It may have run: the same ticket, at whichever host answers.
      const auto hosts = co_await callers.directory.HostsFor(stream.service);
      offer.host = hosts.front();
    }
    co_await SleepFor(kRepeatPause);
  }
  results_.AddEnd({std::move(work_id), std::move(verdict)});
}

LoadRun::LoadRun(const LoadOptions& options) {
  Check(options);
  impl_ = std::make_unique<Impl>(options);
}

LoadRun::~LoadRun() = default;

void LoadRun::Start() {
  impl_->Start();
}

void LoadRun::Wait() {
  impl_->Wait();
}

const LoadResults& LoadRun::results() const {
  return impl_->results();
}

}  // namespace toucanknot
