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

constexpr Duration kRepeatDelay{100};
constexpr Duration kPollInterval{10};
constexpr uint64_t kMaxResponseBytes = 64 << 20;

double MillisSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - start)
      .count();
}

std::string RepeatReason(const ExchangeResult& result) {
  if (result.end != AttemptEnd::kAnswered)
    return std::string(kAttemptEndNames.Name(result.end));
  const std::string_view reason = result.response.fields.Get(kReasonHeader);
  return reason.empty() ? "status-" + std::to_string(result.response.status)
                        : std::string(reason);
}

void ValidateOptions(const LoadOptions& options) {
  for (const auto& group : options.groups) {
    for (const Endpoint& it : group) {
      if (!boost::asio::ip::make_address(it.ip).is_loopback())
        throw Error("load may be sent to loopback addresses only: " +
                    it.ToString());
    }
  }
  for (const LoadStream& it : options.streams) {
    if (it.per_second <= 0 || it.per_second > LoadStream::kMaxRate)
      throw Error("the rate must be above 0 and at most 20000 per second");
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

  // The callers of one service in one group, on one worker.
  struct CallerGroup {
    CallerGroup(WorkerPool::Loop& group_loop,
                LoadStream group_stream,
                std::vector<Endpoint> seeds)
        : loop(group_loop),
          stream(std::move(group_stream)),
          pool(group_loop),
          directory(pool, std::move(seeds)) {}

    WorkerPool::Loop& loop;
    const LoadStream stream;
    ConnectionPool pool;
    HostDirectory directory;
    std::mt19937_64 random;
  };

  Coroutine Generate(CallerGroup& caller_group, double per_second);
  void StartWork(CallerGroup& caller_group, bool run_once);
  Coroutine RunIdempotent(CallerGroup& caller_group, std::string work_id);
  Coroutine RunOnce(CallerGroup& caller_group, std::string work_id);
  boost::asio::awaitable<ExchangeResult> Send(CallerGroup& caller_group,
                                              Endpoint host,
                                              const std::string& work_id,
                                              const std::string& ticket);
  // Returns whether the response is complete and belongs to the work item;
  // otherwise counts the error.
  bool ValidateResponse(const HttpResponse& response,
                        const std::string& work_id,
                        const LoadStream& stream);

  const LoadOptions options_;
  LoadResults results_;
  std::atomic<int> in_flight_{0};
  std::atomic<int> generators_{0};
  std::atomic<uint64_t> next_work_{1};
  // Makes work ids unique among runs against the same stand-in servers.
  const std::string run_id_ = std::to_string(UnixMillis());
  WorkerPool workers_;
  std::vector<std::unique_ptr<CallerGroup>> caller_groups_;
};

void LoadRun::Impl::Start() {
  int worker = 0;
  for (const auto& group : options_.groups) {
    for (const LoadStream& stream : options_.streams) {
      const int i = worker++ % workers_.size();
      caller_groups_.push_back(
          std::make_unique<CallerGroup>(workers_.loop(i), stream, group));
      CallerGroup& caller_group = *caller_groups_.back();
      caller_group.random.seed(options_.seed * 1'000 + caller_groups_.size());
      ++generators_;
      boost::asio::co_spawn(
          workers_.loop(i),
          Generate(
              caller_group,
              stream.per_second / static_cast<double>(options_.groups.size())),
          boost::asio::detached);
    }
  }
}

void LoadRun::Impl::Wait() {
  while (generators_ > 0 || in_flight_ > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(kPollInterval.ms()));
}

// Starts work items as a Poisson process, independent of their progress (open
// loop).
LoadRun::Impl::Coroutine LoadRun::Impl::Generate(CallerGroup& caller_group,
                                                 double per_second) {
  const auto start = std::chrono::steady_clock::now();
  const auto end = static_cast<double>(options_.duration.ms());
  std::exponential_distribution<double> gap_ms(per_second / 1'000);
  std::bernoulli_distribution run_once(caller_group.stream.run_once_share);
  double next_ms = gap_ms(caller_group.random);
  while (next_ms < end) {
    const double left = next_ms - MillisSince(start);
    if (left >= 1)
      co_await SleepFor(Duration(std::llround(std::floor(left))));
    next_ms += gap_ms(caller_group.random);
    StartWork(caller_group, run_once(caller_group.random));
  }
  --generators_;
}

void LoadRun::Impl::StartWork(CallerGroup& caller_group, bool run_once) {
  if (in_flight_ >= options_.max_in_flight) {
    results_.AddSkipped();
    return;
  }
  ++in_flight_;
  std::string work_id = caller_group.stream.service + "-" + run_id_ + "-" +
                        std::to_string(next_work_++);
  const auto on_end = [this](const std::exception_ptr&) { --in_flight_; };
  if (run_once)
    boost::asio::co_spawn(caller_group.loop,
                          RunOnce(caller_group, std::move(work_id)), on_end);
  else
    boost::asio::co_spawn(caller_group.loop,
                          RunIdempotent(caller_group, std::move(work_id)),
                          on_end);
}

boost::asio::awaitable<ExchangeResult> LoadRun::Impl::Send(
    CallerGroup& caller_group,
    Endpoint host,
    const std::string& work_id,
    const std::string& ticket) {
  const LoadStream& stream = caller_group.stream;
  HttpRequest request;
  request.method = ticket.empty() ? "GET" : "POST";
  request.target = "/v1/services/" + stream.service + "/item/" + work_id;
  request.fields.Add("Host", host.ToString());
  request.fields.Add("Work-Id", work_id);
  request.fields.Add("Answer-Bytes", std::to_string(stream.response_bytes));
  request.fields.Add(kDeadlineHeader, std::to_string(options_.deadline.ms()));
  if (!ticket.empty()) {
    request.fields.Add(kTicketHeader, ticket);
    request.body.assign(stream.request_bytes, 'r');
  }
  ExchangeOptions options;
  // Longer than the hosts' deadline, so that their timeout response arrives.
  options.deadline = SteadyNow() + options_.deadline + Duration(500);
  options.max_answer_bytes = kMaxResponseBytes;
  results_.AddRequest();
  ExchangeResult result = co_await caller_group.pool.Exchange(
      host, std::move(request), std::move(options));
  if (result.end != AttemptEnd::kAnswered)
    caller_group.directory.MarkUnresponsive(host);
  co_return result;
}

bool LoadRun::Impl::ValidateResponse(const HttpResponse& response,
                                     const std::string& work_id,
                                     const LoadStream& stream) {
  const std::string expected = StandinResponse(work_id, stream.response_bytes);
  if (response.body == expected)
    return true;
  if (response.body.size() < expected.size() &&
      expected.starts_with(response.body))
    results_.AddTruncated();
  else
    results_.AddWrong();
  return false;
}

LoadRun::Impl::Coroutine LoadRun::Impl::RunIdempotent(CallerGroup& caller_group,
                                                      std::string work_id) {
  const LoadStream& stream = caller_group.stream;
  const auto start = std::chrono::steady_clock::now();
  const Instant give_up_at = SteadyNow() + options_.patience;
  bool responded = false;
  for (size_t i = 0; SteadyNow() < give_up_at; ++i) {
    const std::vector<Endpoint> hosts =
        co_await caller_group.directory.HostsFor(stream.service);
    const ExchangeResult result =
        co_await Send(caller_group, hosts[i % hosts.size()], work_id, "");
    responded = result.end == AttemptEnd::kAnswered;
    if (responded && result.response.status == 200) {
      if (ValidateResponse(result.response, work_id, stream))
        results_.AddSuccess(MillisSince(start));
      co_return;
    }
    results_.AddRepeat(RepeatReason(result));
    co_await SleepFor(kRepeatDelay);
  }
  if (responded)
    results_.AddRefused();
  else
    results_.AddFailed();
}

LoadRun::Impl::Coroutine LoadRun::Impl::RunOnce(CallerGroup& caller_group,
                                                std::string work_id) {
  const LoadStream& stream = caller_group.stream;
  const auto start = std::chrono::steady_clock::now();
  const Instant give_up_at = SteadyNow() + options_.patience;
  HostDirectory::IssuedTicket issued;
  std::string verdict = "not-run";
  while (SteadyNow() < give_up_at) {
    if (issued.ticket.empty())
      issued = co_await caller_group.directory.NewTicket(stream.service);
    if (issued.ticket.empty()) {
      co_await SleepFor(kRepeatDelay);
      continue;
    }
    const ExchangeResult result =
        co_await Send(caller_group, issued.host, work_id, issued.ticket);
    verdict = result.end == AttemptEnd::kAnswered
                  ? std::string(result.response.fields.Get(kVerdictHeader))
                  : "";
    if (verdict == "ran" && result.response.status == 200) {
      if (ValidateResponse(result.response, work_id, stream))
        results_.AddSuccess(MillisSince(start));
      break;
    }
    if (verdict == "ran")
      break;
    results_.AddRepeat(RepeatReason(result));
    if (verdict == "not-run") {
      // The ticket is void: start again with the new ticket in the response, at
      // the host that issued it.
      issued.ticket = std::string(result.response.fields.Get(kTicketHeader));
    } else {
      // It may have run: repeat with the same ticket at any live host.
      const auto hosts =
          co_await caller_group.directory.HostsFor(stream.service);
      issued.host = hosts.front();
    }
    co_await SleepFor(kRepeatDelay);
  }
  results_.AddRunOnceResult({std::move(work_id), std::move(verdict)});
}

LoadRun::LoadRun(const LoadOptions& options) {
  ValidateOptions(options);
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
