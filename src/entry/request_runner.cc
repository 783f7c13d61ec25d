#include "src/entry/request_runner.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>
#include <memory>
#include <utility>

#include "include/placing/retry_after.h"
#include "src/entry/request_fields.h"
#include "src/http/one_shot.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;

// A host that has just started reads its configuration within a few round trips
// to the store. Requests that arrive before wait for it, since most callers
// retry only once after a refusal.
constexpr Duration kConfigurationRead{1'000};
constexpr Duration kConfigurationWait{400};
constexpr Duration kConfigurationPoll{20};
// Time reserved for the response to reach the caller.
constexpr Duration kResponseMargin{15};
// A connection whose server acknowledges no bytes for this long is treated as
// broken: several round trips between regions.
constexpr Duration kSilentAfter{800};
// Maximum number of servers that a request is sent to while none runs it. The
// retry budget of the service limits them too.
constexpr int kMaxSends = 6;
// Larger responses are aborted.
constexpr uint64_t kMaxResponseBytes = 64 << 20;
// Fraction of the allowed retries that this host uses, since the limit holds
// for sliding windows and the hosts count in steps.
constexpr double kRetryShare = 0.85;

Duration ExpectedAt(const Placement& placement) {
  return Duration(static_cast<int64_t>(placement.expected_ms));
}

}  // namespace

RequestRunner::RequestRunner(const Parts& parts) : parts_(parts) {}

RequestRunner::Retries& RequestRunner::RetriesOf(const ServiceId& service) {
  const EntrySettings& settings = parts_.settings;
  const auto floor =
      static_cast<int64_t>(settings.retry_slack * kRetryShare / host_count_);
  return retries_
      .try_emplace(service,
                   Retries{RetryBudget(settings.retry_ratio * kRetryShare,
                                       floor, settings.retry_window),
                           RetryReserve()})
      .first->second;
}

void RequestRunner::SetHostCount(int n) {
  if (n == host_count_)
    return;
  host_count_ = n;
  for (auto& [service, retries] : retries_) {
    retries.budget.set_floor(static_cast<int64_t>(parts_.settings.retry_slack *
                                                  kRetryShare / host_count_));
  }
}

void RequestRunner::OnConfig(const RouteConfig& config) {
  std::set<std::string> routes;
  for (const Route& it : config.routes)
    routes.insert(it.name);
  std::erase_if(caller_budgets_,
                [&](const auto& it) { return !routes.contains(it.first); });
  std::erase_if(retries_, [&](const auto& it) {
    return !config.services.contains(it.first) && running_->empty();
  });
}

asio::awaitable<HttpResponse> RequestRunner::Handle(HttpRequest request) {
  Run run;
  running_->insert(&run);
  // Also removes it if the handler throws, or ends with the loop, which
  // outlives the runner.
  const auto end = [running = running_](const Run* it) { running->erase(it); };
  const std::unique_ptr<const Run, decltype(end)> counted(&run, end);
  co_return co_await HandleCounted(run, std::move(request));
}

asio::awaitable<HttpResponse> RequestRunner::HandleCounted(
    Run& run,
    HttpRequest request) {
  run.request = std::move(request);
  const HttpFields& fields = run.request.fields;
  run.id = std::string(fields.Get(parts_.names.request_id));
  if (!parts_.routes.config())
    co_await AwaitConfiguration(run.request);
  if (!parts_.routes.config()) {
    HttpResponse response = Refuse(run, 503, "this host has no configuration",
                                   kUnconfiguredRetryAfter);
    LogOutcome(run, response);
    co_return response;
  }
  const Route* route =
      parts_.routes.Find(fields.Get("Host"), run.request.target);
  if (route == nullptr) {
    run.attempt_summary = "no route";
    HttpResponse response = TextResponse(404, "no route matches");
    LogOutcome(run, response);
    co_return response;
  }
  run.route = *route;
  run.service = parts_.routes.NextTarget(*route);
  std::optional<HttpResponse> refusal = CheckAccess(run);
  if (refusal) {
    LogOutcome(run, *refusal);
    co_return std::move(*refusal);
  }
  HttpResponse response = co_await Serve(run);
  if (!run.may_have_run)
    parts_.access.Refund(run.access, SteadyNow());
  LogOutcome(run, response);
  co_return response;
}

asio::awaitable<void> RequestRunner::AwaitConfiguration(
    const HttpRequest& request) {
  const Instant until = std::min(request.began_at + kConfigurationWait,
                                 started_at_ + kConfigurationRead);
  while (!parts_.routes.config() && SteadyNow() < until &&
         !parts_.stop.begun() && !(request.caller && request.caller->left())) {
    co_await SleepFor(kConfigurationPoll);
  }
}

asio::awaitable<HttpResponse> RequestRunner::Serve(Run& run) {
  const Instant began = run.request.began_at;
  const HttpFields& fields = run.request.fields;
  std::optional<Duration> budget;
  run.deadline = DeadlineOf(run.request, run.route, budget);
  Duration spent;
  if (budget) {
    spent = caller_budgets_[run.route.name].TimeSpent(*budget);
    run.caller_retried = spent > Duration(0);
  }
  run.fingerprint = FingerprintOf(run.request);
  run.body = std::make_shared<const std::string>(std::move(run.request.body));
  const Duration refused_for =
      parts_.crashes.RefusedFor(run.fingerprint, SteadyNow());
  if (refused_for > Duration(0)) {
    run.attempt_summary = "crashes servers";
    co_return Refuse(run, 503, "requests like this crash backend servers",
                     refused_for);
  }
  run.placement_request = MakePlacementRequest(
      run.route, run.service, fields.Get(parts_.names.object), began - spent);
  run.placement_request.returned = run.caller_retried;
  ApplyAccess(run.access, run.placement_request);
  parts_.metrics.SetGauge("toucanknot_requests_in_flight", in_flight());
  RetriesOf(run.service).budget.OnSuccess(SteadyNow());
  for (;;) {
    if (!parts_.stop.MaySend(WorkOf(run)))
      co_return RefuseStopping(run);
    run.placement_request.id = parts_.placements.NextRequestId();
    run.placement_request.deadline =
        std::min(run.deadline, parts_.stop.answer_by()) - kResponseMargin;
    const std::optional<Placement> placement = co_await parts_.placements.Place(
        run.placement_request, WorkOf(run), run.request.caller);
    if (!placement) {
      run.caller_left = true;
      co_return Refuse(run, 503, "the caller left", Duration(0));
    }
    if (placement->step == PlacementStep::kRefuse) {
      run.attempt_summary += fmt::format(
          " refused:{} queued:{} filled:{:.2f} busy:{:.1f} heard:{}/{}",
          kPlacementRefusalNames.Name(placement->refusal), placement->queued,
          placement->utilization, placement->busy, placement->fresh_peers,
          placement->other_hosts);
      if (placement->refusal == PlacementRefusal::kStopping)
        co_return RefuseStopping(run);
      if (run.may_have_run)
        co_return Fail(run, ServerAttemptEnd::kTimedOut,
                       "no time for another attempt");
      co_return Refuse(
          run, 503, "no backend server can answer in time",
          parts_.stop.begun() ? Duration(0) : placement->retry_after);
    }
    if (!parts_.stop.MaySend(WorkOf(run, ExpectedAt(*placement)))) {
      Unplace(*placement);
      co_return RefuseStopping(run);
    }
    if (!MayStillRun(run))
      co_return RefuseRevoked(run, *placement);
    parts_.access.OnRun(run.access, SteadyNow());
    Attempt attempt = co_await Send(run, *placement);
    if (attempt.too_late)
      co_return RefuseStopping(run);
    RemoveHopByHop(attempt.response.fields);
    if (attempt.end == ServerAttemptEnd::kAnswered)
      co_return std::move(attempt.response);
    if (attempt.end == ServerAttemptEnd::kCancelled) {
      run.caller_left = true;
      co_return Fail(run, attempt.end, "the caller left");
    }
    Avoid(run, placement->server, attempt.end);
    if (MayRetry(run, attempt.end))
      continue;
    // A failure reported by the server is passed on to the caller.
    if (attempt.end == ServerAttemptEnd::kFailed)
      co_return std::move(attempt.response);
    if (!run.may_have_run)
      co_return Refuse(run, 503, "the backend servers did not run it",
                       parts_.stop.begun()
                           ? Duration(0)
                           : RetryAfterRejection(placement->utilization));
    co_return Fail(run, attempt.end, attempt.error);
  }
}

PlacementRequest RequestRunner::MakePlacementRequest(const Route& route,
                                                     const ServiceId& service,
                                                     std::string_view object,
                                                     Instant began) const {
  PlacementRequest placement_request;
  placement_request.route = &route;
  placement_request.service = service;
  if (!object.empty())
    placement_request.object =
        std::max<uint64_t>(HashText(object, HashText(route.name, 0)), 1);
  placement_request.target = began + route.target_latency;
  placement_request.deadline = began + route.timeout - kResponseMargin;
  return placement_request;
}

HttpRequest RequestRunner::ForServer(const Run& run,
                                     const ServerId& server) const {
  HttpRequest out;
  out.method = run.request.method;
  out.target = run.request.target;
  out.fields = run.request.fields;
  RemoveHopByHop(out.fields);
  out.fields.Remove("Expect");
  const Instant end = std::min(run.deadline, parts_.stop.answer_by());
  const Duration left = end - SteadyNow() - kResponseMargin;
  out.fields.Set(parts_.names.deadline_ms,
                 std::to_string(std::max<int64_t>(left.ms(), 1)));
  out.fields.Set(parts_.names.target_server, server.str());
  out.fields.Remove(parts_.names.api_key);
  out.fields.Remove(parts_.names.workspace);
  if (run.access.workspace)
    out.fields.Add(parts_.names.workspace, run.access.workspace->id.str());
  return out;
}

asio::awaitable<RequestRunner::Attempt> RequestRunner::Send(
    Run& run,
    const Placement& placement) {
  const ServerRegistry::Server* server = parts_.registry.Find(placement.server);
  Attempt attempt;
  if (server == nullptr) {
    attempt.end = ServerAttemptEnd::kNotConnected;
    attempt.error = "the server is gone";
    Report(run, placement, Incarnation(), attempt, Duration(0));
    co_return attempt;
  }
  ExchangeOptions options;
  options.deadline = run.deadline;
  // The request is not sent after this.
  const PlannedStop::Work work = WorkOf(run, ExpectedAt(placement));
  options.connect_limit = std::min(
      options.connect_limit,
      std::max(parts_.stop.LatestSend(work) - SteadyNow(), Duration(1)));
  options.before_first_byte = [&, this] {
    attempt.too_late = !parts_.stop.MaySend(work);
    run.passed_on = run.passed_on || !attempt.too_late;
    return !attempt.too_late;
  };
  options.silent_after = kSilentAfter;
  options.max_answer_bytes = kMaxResponseBytes;
  options.id_hash = HashText(run.id, 0);
  options.single_fields = {parts_.names.request_id, parts_.names.stamp};
  options.body = run.body;
  options.is_own_response = [&run, this](const HttpResponse& response) {
    return response.fields.Get(parts_.names.request_id) == run.id;
  };
  options.is_refusal = [this](const HttpResponse& response) {
    return response.fields.Has(parts_.names.not_run) ||
           PromisesNotRun(response.status);
  };
  const auto cancel = std::make_shared<asio::cancellation_signal>();
  const std::shared_ptr<CallerWatch> caller = run.request.caller;
  if (caller) {
    caller->OnLeft(
        [cancel] { cancel->emit(asio::cancellation_type::terminal); });
  }
  ++run.sent;
  // The entry may change while the request runs.
  const Incarnation incarnation = server->entry.incarnation;
  const Instant start = SteadyNow();
  ExchangeResult exchange;
  if (!caller || !caller->left()) {
    try {
      exchange = co_await asio::co_spawn(
          parts_.loop,
          parts_.connections.Exchange(server->entry.endpoint,
                                      ForServer(run, placement.server),
                                      std::move(options)),
          asio::bind_cancellation_slot(cancel->slot(), asio::use_awaitable));
    } catch (const boost::system::system_error& e) {
      // A cancelled coroutine ends this way.
      exchange.end = AttemptEnd::kCancelled;
      exchange.error = e.what();
    }
  }
  if (caller)
    caller->Clear();
  attempt.end = caller && caller->left() ? ServerAttemptEnd::kCancelled
                                         : Classify(exchange);
  attempt.response = std::move(exchange.response);
  attempt.error = std::move(exchange.error);
  const bool did_not_run = attempt.too_late ||
                           attempt.end == ServerAttemptEnd::kRefused ||
                           attempt.end == ServerAttemptEnd::kMisdirected ||
                           attempt.end == ServerAttemptEnd::kNotConnected;
  run.may_have_run = run.may_have_run || !did_not_run;
  if (attempt.too_late)
    attempt.end = ServerAttemptEnd::kCancelled;
  if (attempt.end == ServerAttemptEnd::kBroken && !exchange.response_started &&
      exchange.end == AttemptEnd::kBroken) {
    RecordCrash(run, placement.server, incarnation);
  }
  attempt.connect_took = exchange.connect_took;
  attempt.earlier_requests = exchange.earlier_requests;
  attempt.other_responses = exchange.other_responses;
  Report(run, placement, incarnation, attempt, SteadyNow() - start);
  co_return attempt;
}

void RequestRunner::Avoid(Run& run,
                          const ServerId& server,
                          ServerAttemptEnd end) {
  // A server that sheds part of its load may accept the request the next time,
  // and has its object cached.
  const bool first = run.rejected_by.insert(server).second;
  if (end != ServerAttemptEnd::kRefused || !first)
    run.placement_request.avoid.push_back(server);
}

bool RequestRunner::MayRetry(Run& run, ServerAttemptEnd end) {
  const bool not_run = end == ServerAttemptEnd::kRefused ||
                       end == ServerAttemptEnd::kMisdirected ||
                       end == ServerAttemptEnd::kNotConnected;
  if (!not_run && run.route.kind == RequestKind::kNonIdempotent)
    return false;
  if (end == ServerAttemptEnd::kTimedOut)
    return false;
  if (run.sent >= std::max(run.route.attempts, not_run ? kMaxSends : 1))
    return false;
  if (parts_.crashes.IsCrasher(run.fingerprint, SteadyNow()))
    return false;
  if (!parts_.stop.MaySend(WorkOf(run)))
    return false;
  // A refused connection puts no load on the service.
  if (end == ServerAttemptEnd::kNotConnected)
    return true;
  // A request that may have run counts once more towards the cap.
  if (!not_run && !parts_.access.AdmitAgain(run.access, SteadyNow()))
    return false;
  Retries& retries = RetriesOf(run.service);
  const double reserved =
      run.caller_retried
          ? 0
          : retries.reserve.ReservedShare(parts_.settings.retry_ratio);
  return retries.budget.TryTake(SteadyNow(), reserved);
}

}  // namespace toucanknot
