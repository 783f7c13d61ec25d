// RequestRunner::Explain: where a request would go now, and why.

#include <algorithm>
#include <boost/json.hpp>
#include <string>
#include <utility>

#include "src/entry/decision_log.h"
#include "src/entry/request_runner.h"

namespace toucanknot {
namespace {

int StatusOf(AccessRefusal refusal) {
  switch (refusal) {
    case AccessRefusal::kNone:
      return 200;
    case AccessRefusal::kUnknownKey:
      return 401;
    case AccessRefusal::kOverCap:
      return 429;
    default:
      return 503;
  }
}

boost::json::object RefusalJson(int status,
                                std::string_view reason,
                                int64_t retry_after_ms) {
  return {{"step", kPlacementStepNames.Name(PlacementStep::kRefuse)},
          {"status", status},
          {"refusal", reason},
          {"retry_after_ms", retry_after_ms}};
}

boost::json::object CapJson(const UsageCaps::Figures& figures) {
  return {{"allowed", figures.allowed}, {"used", figures.used},
          {"part", figures.part},       {"unreported", figures.unreported},
          {"heard", figures.heard},     {"others", figures.others}};
}

}  // namespace

std::string RequestRunner::KeyFor(const ExplainQuery& query) const {
  if (query.workspace.empty())
    return query.key;
  const RouteConfigPtr& config = parts_.routes.config();
  const auto it = std::find_if(
      config->workspaces.begin(), config->workspaces.end(),
      [&](const Workspace& w) { return w.id.str() == query.workspace; });
  return it == config->workspaces.end() || it->api_keys.empty()
             ? ""
             : it->api_keys.front();
}

std::string RequestRunner::Explain(const ExplainQuery& query) {
  boost::json::object out{{"config", VersionValue(parts_.routes.version())}};
  if (!parts_.routes.config()) {
    out["decision"] =
        RefusalJson(503, "no-configuration", kUnconfiguredRetryAfter.ms());
    return boost::json::serialize(out);
  }
  const Route* route = parts_.routes.Find(query.host_name, query.path);
  if (route == nullptr) {
    out["route"] = nullptr;
    out["decision"] = RefusalJson(404, "no-route", 0);
    return boost::json::serialize(out);
  }
  out["route"] = route->name;
  out["kind"] = kRequestKindNames.Name(route->kind);
  const Instant now = SteadyNow();
  AccessControl::Decision access;
  access.allowed_regions = route->allowed_regions;
  if (parts_.access.keys_required()) {
    const Instant boot_now = BootNow();
    access =
        parts_.access.Explain(*route, KeyFor(query), {boot_now, boot_now}, now);
    boost::json::object figures{
        {"needs_key", !route->is_public},
        {"refusal", kAccessRefusalNames.Name(access.refusal)}};
    if (access.proof_age != Duration::Max())
      figures["proof_age_ms"] = access.proof_age.ms();
    if (access.workspace) {
      figures["workspace"] = access.workspace->id.str();
      figures["cap"] =
          CapJson(parts_.access.CapFiguresOf(access.workspace->id, now));
    }
    out["access"] = std::move(figures);
  }
  const ServiceId next = parts_.routes.PeekTarget(*route);
  out["service"] = next.str();
  boost::json::object decision;
  boost::json::array targets;
  for (const RouteTarget& it : route->targets) {
    PlacementRequest request =
        MakePlacementRequest(*route, it.service, query.object, now);
    ApplyAccess(access, request);
    boost::json::value placing =
        boost::json::parse(parts_.placer.ExplainRequest(request, now));
    boost::json::object& figures = placing.as_object();
    figures["weight"] = it.weight;
    if (it.service == next) {
      for (const char* name : {"step", "server", "refusal", "retry_after_ms"}) {
        if (const auto* value = figures.if_contains(name))
          decision[name] = *value;
      }
      if (decision.contains("refusal"))
        decision["status"] = 503;
    }
    targets.push_back(std::move(placing));
  }
  out["targets"] = std::move(targets);
  if (access.refusal != AccessRefusal::kNone) {
    decision = RefusalJson(StatusOf(access.refusal),
                           kAccessRefusalNames.Name(access.refusal),
                           access.retry_after.ms());
  }
  out["decision"] = std::move(decision);
  return boost::json::serialize(out);
}

}  // namespace toucanknot
