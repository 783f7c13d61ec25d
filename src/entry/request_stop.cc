// The part of RequestRunner that serves requests while the host stops.

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <string_view>

#include "src/entry/decision_log.h"
#include "src/entry/request_fields.h"
#include "src/entry/request_runner.h"

namespace toucanknot {
namespace {

// As the log names a refusal of the placer.
constexpr std::string_view kRefusedStopping = "refused:stopping";

}  // namespace

Instant RequestRunner::DeadlineOf(const HttpRequest& request,
                                  const Route& route,
                                  std::optional<Duration>& budget) const {
  Instant deadline = request.began_at + route.timeout;
  if (const auto ms =
          ParseInteger(request.fields.Get(parts_.names.deadline_ms))) {
    budget = Duration(*ms);
    deadline = std::min(deadline, request.began_at + *budget);
  }
  return deadline;
}

PlannedStop::Work RequestRunner::WorkOf(const Run& run,
                                        Duration expected) const {
  return {run.deadline,
          std::max(expected, parts_.placer.MeanTime(run.route.name)),
          run.route.kind == RequestKind::kIdempotent};
}

Instant RequestRunner::BodyCompleteBy(const HttpRequest& head) {
  const Route* route = parts_.routes.Find(head.fields.Get("Host"), head.target);
  if (!parts_.stop.begun() || route == nullptr)
    return Instant::Never();
  Run run;
  run.route = *route;
  std::optional<Duration> budget;
  run.deadline = DeadlineOf(head, *route, budget);
  return std::min(parts_.stop.LatestSend(WorkOf(run)), run.deadline);
}

HttpResponse RequestRunner::RefuseBody(const HttpRequest& head) {
  Run run;
  run.request = head;
  run.id = std::string(head.fields.Get(parts_.names.request_id));
  if (const Route* route =
          parts_.routes.Find(head.fields.Get("Host"), head.target)) {
    run.route = *route;
  }
  run.attempt_summary = "body:incomplete";
  HttpResponse response = RefuseStopping(run);
  LogOutcome(run, response);
  return response;
}

HttpResponse RequestRunner::RefuseStopping(Run& run) {
  if (run.attempt_summary.find(kRefusedStopping) == std::string::npos) {
    run.attempt_summary +=
        fmt::format(" {} queued:{}", kRefusedStopping, parts_.placer.waiting());
  }
  if (run.may_have_run) {
    return Fail(run, ServerAttemptEnd::kBroken,
                "this host stops before another attempt could end");
  }
  ++refused_stopping_;
  // Another host can serve it at once.
  return Refuse(run, 503, "this host is stopping", Duration(0));
}

void RequestRunner::Unplace(const Placement& placement) {
  PlacedAttemptResult unused;
  unused.request_id = placement.request_id;
  unused.server = placement.server;
  unused.end = ServerAttemptEnd::kCancelled;
  parts_.placements.Finish(unused);
}

void RequestRunner::LogCut() const {
  for (const Run* it : *running_) {
    LogChange("cut", {{"id", it->id},
                      {"target", it->request.target},
                      {"caller", it->request.remote_ip},
                      {"route", it->route.name},
                      {"passed_on", it->passed_on},
                      {"sent", it->sent},
                      {"took_ms", (SteadyNow() - it->request.began_at).ms()},
                      {"left_ms", (it->deadline - SteadyNow()).ms()},
                      {"story", it->attempt_summary}});
  }
}

}  // namespace toucanknot
