// The part of RequestRunner that judges and reports how attempts and requests
// ended.

#include <fmt/format.h>

#include <boost/json.hpp>
#include <utility>

#include "src/entry/decision_log.h"
#include "src/entry/request_fields.h"
#include "src/entry/request_runner.h"

namespace toucanknot {

void RequestRunner::RecordCrash(const Run& run,
                                const ServerId& server,
                                Incarnation incarnation) {
  const CrashTracker::Crash crash = parts_.crashes.OnBroken(
      run.fingerprint, ServerRunKey(server, incarnation), SteadyNow());
  LogChange("crash",
            {{"id", run.id},
             {"caller", run.request.remote_ip},
             {"fingerprint", fmt::format("{:016x}", run.fingerprint)},
             {"server", server.str()},
             {"excused", crash.excused},
             {"servers", parts_.crashes.CrashedServers(run.fingerprint)},
             {"refused", parts_.crashes.IsCrasher(run.fingerprint, crash.at)}});
}

ServerAttemptEnd RequestRunner::Classify(const ExchangeResult& exchange) const {
  switch (exchange.end) {
    case AttemptEnd::kNotSent:
      return ServerAttemptEnd::kNotConnected;
    case AttemptEnd::kTimedOut:
      return ServerAttemptEnd::kTimedOut;
    case AttemptEnd::kCancelled:
    case AttemptEnd::kBroken:
      return ServerAttemptEnd::kBroken;
    default:
      break;
  }
  const HttpResponse& response = exchange.response;
  if (response.fields.Has(parts_.names.not_run)) {
    // A success contradicts the statement.
    if (response.status < 400)
      return ServerAttemptEnd::kBroken;
    return response.status == 421 ? ServerAttemptEnd::kMisdirected
                                  : ServerAttemptEnd::kRefused;
  }
  // A server that is not the one named in the request states it with this
  // status alone. One that ran the request stamps its response.
  const bool stamped = response.fields.Has(parts_.names.stamp);
  if (response.status == 421 && !stamped)
    return ServerAttemptEnd::kMisdirected;
  // Only backend servers of the platform stamp their responses. One that states
  // with its status alone that it did not run the request may have run it, and
  // the caller would repeat it.
  if (!stamped || PromisesNotRun(response.status))
    return ServerAttemptEnd::kBroken;
  return response.status >= 500 ? ServerAttemptEnd::kFailed
                                : ServerAttemptEnd::kAnswered;
}

void RequestRunner::Report(Run& run,
                           const Placement& placement,
                           Incarnation incarnation,
                           const Attempt& attempt,
                           Duration took) {
  PlacedAttemptResult result;
  result.request_id = placement.request_id;
  result.server = placement.server;
  result.end = attempt.end;
  result.took = took;
  result.connect_took = attempt.connect_took;
  const std::string_view load = attempt.response.fields.Get(parts_.names.load);
  ParseLoad(load, result);
  if (parts_.names.read_work_ratio)
    result.work_ratio = parts_.names.read_work_ratio(load);
  result.notice = NoticeOf(run, attempt);
  if (result.notice && result.notice->leaving)
    parts_.registry.OnLeavingResponse(placement.server, incarnation);
  const std::optional<double> limit = parts_.placer.LimitOf(placement.server);
  parts_.placements.Finish(result);
  LogLimitChange(placement.server, limit);
  parts_.metrics.CountAttempt(run.service, attempt.end, took);
  RetriesOf(run.service)
      .reserve.OnAttempt(attempt.end == ServerAttemptEnd::kRefused);
  // A server may report a failure without having run the request.
  if (attempt.end == ServerAttemptEnd::kAnswered)
    parts_.crashes.OnCompleted(run.fingerprint, SteadyNow());
  run.attempt_summary += fmt::format(
      " {}:{}:{}ms {} busy:{:.1f} expected:{:.0f}ms warm:{} queued:{} "
      "entry-age:{}ms heard:{}/{}",
      placement.server.str(), kServerAttemptEndNames.Name(attempt.end),
      took.ms(), ConnectionSummary(attempt), placement.busy,
      placement.expected_ms, placement.warm, placement.queued,
      placement.entry_age.ms(), placement.fresh_peers, placement.other_hosts);
}

std::string RequestRunner::ConnectionSummary(const Attempt& attempt) {
  std::string out = attempt.earlier_requests
                        ? fmt::format("conn:{}", *attempt.earlier_requests)
                        : "conn:none";
  if (attempt.other_responses > 0)
    out += fmt::format(" others:{}", attempt.other_responses);
  return out;
}

void RequestRunner::LogLimitChange(const ServerId& server,
                                   std::optional<double> before) const {
  const std::optional<double> limit = parts_.placer.LimitOf(server);
  if (limit == before)
    return;
  boost::json::value named;
  if (limit)
    named = *limit;
  LogChange("server_limit", {{"server", server.str()}, {"limit", named}});
}

std::optional<ServerNotice> RequestRunner::NoticeOf(
    const Run& run,
    const Attempt& attempt) const {
  const HttpFields& fields = attempt.response.fields;
  // The response may belong to another request if its connection broke later.
  const bool own_response =
      fields.Get(parts_.names.request_id) == run.id &&
      (fields.Has(parts_.names.stamp) || fields.Has(parts_.names.not_run));
  if (!own_response || attempt.end == ServerAttemptEnd::kMisdirected ||
      !parts_.names.read_notice) {
    return std::nullopt;
  }
  return parts_.names.read_notice(
      attempt.response.status,
      [&fields](std::string_view name) { return fields.Get(name); });
}

HttpResponse RequestRunner::Refuse(const Run& run,
                                   int status,
                                   const std::string& why,
                                   Duration retry_after) {
  if (run.may_have_run)
    return Fail(run, ServerAttemptEnd::kBroken, why);
  HttpResponse response = TextResponse(status, why);
  if (!run.id.empty())
    response.fields.Add(parts_.names.request_id, run.id);
  if (retry_after > Duration(0)) {
    // Adds up to half of it at random, so that callers do not retry at the same
    // time.
    std::uniform_int_distribution<int64_t> spread(0, retry_after.ms() / 2);
    response.fields.Add(
        "Retry-After",
        fmt::format("{:.3f}",
                    (retry_after + Duration(spread(random_))).seconds()));
  }
  return response;
}

HttpResponse RequestRunner::Fail(const Run& run,
                                 ServerAttemptEnd end,
                                 const std::string& why) {
  HttpResponse response =
      TextResponse(end == ServerAttemptEnd::kTimedOut ? 504 : 502,
                   "the request may have run: " + why);
  if (!run.id.empty())
    response.fields.Add(parts_.names.request_id, run.id);
  return response;
}

void RequestRunner::LogOutcome(const Run& run, const HttpResponse& response) {
  const Duration took = SteadyNow() - run.request.began_at;
  parts_.metrics.CountRequest(run.service, response.status, took);
  const Duration since_store_response =
      SteadyNow() - parts_.store.counts().last_response_at;
  LogRequest(
      response.status < 300,
      {{"id", run.id},
       {"target", run.request.target},
       {"caller", run.request.remote_ip},
       {"route", run.route.name},
       {"service", run.service.str()},
       {"config", VersionValue(parts_.routes.version())},
       {"store_heard_ms_ago", since_store_response.ms()},
       {"status", response.status},
       {"took_ms", took.ms()},
       {"sent", run.sent},
       {"may_have_run", run.may_have_run},
       {"caller_left", run.caller_left},
       {"workspace", run.access.workspace
                         ? boost::json::value(run.access.workspace->id.str())
                         : boost::json::value()},
       {"story", run.attempt_summary}});
}

}  // namespace toucanknot
