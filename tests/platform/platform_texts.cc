#include "tests/platform/platform_texts.h"

#include <boost/json.hpp>

namespace toucanknot::platform {
namespace {

namespace json = boost::json;

std::string Time(Duration d) {
  return std::to_string(d.ms()) + "ms";
}

json::array Array(const std::vector<RegionId>& regions) {
  json::array out;
  for (const RegionId& it : regions)
    out.emplace_back(it.str());
  return out;
}

json::object WorkspaceObject(const Workspace& workspace) {
  json::object out{{"api_keys", json::value_from(workspace.api_keys)},
                   {"rate_per_s", workspace.rate},
                   {"burst", workspace.burst},
                   {"allowed_regions", Array(workspace.allowed_regions)}};
  if (workspace.priority)
    out["priority"] = *workspace.priority;
  return out;
}

std::string KindOf(const Route& route) {
  if (route.large_responses)
    return "download";
  return route.kind == RequestKind::kIdempotent ? "safe" : "unsafe";
}

json::object RouteObject(const Route& route) {
  json::array parts;
  for (const RouteTarget& it : route.targets)
    parts.push_back({{"service", it.service.str()}, {"weight", it.weight}});
  return {{"host", route.host_name},
          {"prefix", route.prefix},
          {"kind", KindOf(route)},
          {"timeout", Time(route.timeout)},
          {"target_latency", Time(route.target_latency)},
          {"priority", route.priority},
          {"attempts", route.attempts},
          {"sticky_sessions", route.sticky},
          {"public", route.is_public},
          {"allowed_regions", Array(route.allowed_regions)},
          {"backends", std::move(parts)}};
}

}  // namespace

std::string EncodeConfig(const RouteConfig& config) {
  json::object routes;
  for (const Route& it : config.routes)
    routes[it.name] = RouteObject(it);
  json::object services;
  for (const auto& [id, options] : config.services) {
    services[id.str()] =
        json::object{{"health_path", options.health_path},
                     {"max_connections", options.max_connections},
                     {"protocol", "h1"},
                     {"tls", false},
                     {"cold_start", Time(options.cold_start)},
                     {"cold_per_s", options.cold_rate}};
  }
  json::object tenants;
  for (const Workspace& it : config.workspaces)
    tenants[it.id.str()] = WorkspaceObject(it);
  const CallerLimits& limits = config.limits;
  json::object out{{"version", "r" + config.version.ToString()},
                   {"routes", std::move(routes)},
                   {"services", std::move(services)},
                   {"limits",
                    {{"max_header_bytes", limits.max_header_bytes},
                     {"max_body_bytes", limits.max_body_bytes},
                     {"header_timeout", Time(limits.header_timeout)},
                     {"idle_timeout", Time(limits.idle_timeout)}}}};
  if (config.keys_required || !tenants.empty())
    out["tenants"] = std::move(tenants);
  return json::serialize(out);
}

std::string EncodeServer(const ServerEntry& entry) {
  return json::serialize(
      json::value{{"service", entry.service.str()},
                  {"address", entry.endpoint.ToString()},
                  {"zone", entry.zone.str()},
                  {"version", "v1"},
                  {"slots", entry.slots},
                  {"state", entry.leaving ? "draining" : "ready"},
                  {"cold_left", Time(entry.cold_left)},
                  {"sequence", entry.sequence},
                  {"born", entry.incarnation}});
}

void AddNotice(const ServerNotice& notice, HttpFields& fields) {
  if (notice.leaving)
    fields.Add("Server-Leaving", "1");
  if (notice.pause)
    fields.Add("Retry-After", std::to_string(notice.pause->seconds()));
  if (notice.limit)
    fields.Add("Server-Limit", std::to_string(*notice.limit));
}

std::string ConfigKey() {
  return "op/config";
}

std::string EvacuationKey(const ZoneId& zone) {
  return "op/evacuate/" + zone.str();
}

std::string ServerKeyInStore(const ServerId& id) {
  return "servers/" + id.str();
}

}  // namespace toucanknot::platform
