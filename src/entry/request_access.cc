// The part of RequestRunner that decides whether a request may be served at
// all: its API key, the workspace's cap, and how recent the configuration is.

#include <fmt/format.h>

#include <utility>

#include "src/entry/request_runner.h"

namespace toucanknot {
namespace {

// A request that began at `began_at`, and now, on the clock that counts
// suspension. If the host was suspended since, it seems to have begun later,
// which is the safe side.
AccessControl::Times BootTimesOf(Instant began_at, Instant now) {
  const Instant boot_now = BootNow();
  return {boot_now - (now - began_at), boot_now};
}

}  // namespace

std::optional<HttpResponse> RequestRunner::CheckAccess(Run& run) {
  if (!parts_.access.keys_required()) {
    run.access.allowed_regions = run.route.allowed_regions;
    return std::nullopt;
  }
  const Instant now = SteadyNow();
  run.access = parts_.access.Admit(run.route, KeyOf(run),
                                   BootTimesOf(run.request.began_at, now), now);
  if (run.access.refusal == AccessRefusal::kNone)
    return std::nullopt;
  run.attempt_summary = fmt::format(
      " refused:{} proof-age:{}ms",
      kAccessRefusalNames.Name(run.access.refusal), run.access.proof_age.ms());
  if (run.access.refusal == AccessRefusal::kOverCap) {
    const UsageCaps::Figures it = parts_.access.CapFiguresOf(run.access, now);
    run.attempt_summary += fmt::format(
        " allowed:{:.0f} used:{:.0f} share:{:.2f} unreported:{:.0f} "
        "heard:{}/{}",
        it.allowed, it.used, it.part, it.unreported, it.heard, it.others);
  }
  switch (run.access.refusal) {
    case AccessRefusal::kUnknownKey:
      return TextResponse(401, "the API key is missing or unknown");
    case AccessRefusal::kOverCap:
      return Refuse(run, 429, "the workspace has used up its cap",
                    run.access.retry_after);
    case AccessRefusal::kNoRegion:
      return Refuse(run, 503, "no region may serve both route and workspace",
                    run.access.retry_after);
    default:
      return Refuse(run, 503, "this host may not know the current API keys",
                    run.access.retry_after);
  }
}

bool RequestRunner::MayStillRun(const Run& run) const {
  return !parts_.access.keys_required() ||
         parts_.access.MayStillRun(
             run.route, KeyOf(run), run.access,
             BootTimesOf(run.request.began_at, SteadyNow()));
}

HttpResponse RequestRunner::RefuseRevoked(Run& run,
                                          const Placement& placement) {
  Unplace(placement);
  run.attempt_summary += " revoked";
  return Refuse(run, 503, "the API key may have been removed",
                kUnconfiguredRetryAfter);
}

void RequestRunner::ApplyAccess(const AccessControl::Decision& access,
                                PlacementRequest& request) {
  if (const WorkspacePtr& workspace = access.workspace) {
    request.priority = workspace->priority;
    request.workspace = WorkspaceKey(workspace->id);
  }
  request.allowed_regions = access.allowed_regions;
}

}  // namespace toucanknot
