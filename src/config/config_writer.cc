#include <boost/json/value.hpp>

#include "include/base/utc_time.h"
#include "include/config/config_text.h"
#include "include/config/json_text.h"
#include "include/config/tunable_table.h"

namespace toucanknot {
namespace {

using boost::json::array;
using boost::json::object;
using boost::json::value;

template <typename List, typename Fn>
array MapToArray(const List& list, Fn fn) {
  array out;
  out.reserve(list.size());
  for (const auto& it : list)
    out.push_back(fn(it));
  return out;
}

value WriteRegion(const Region& region) {
  return object{{"id", region.id.str()},
                {"zones", MapToArray(region.zones, [](const ZoneId& it) {
                   return value(it.str());
                 })}};
}

value WriteLink(const Link& link) {
  return object{{"from", link.from.str()},
                {"to", link.to.str()},
                {"mbit_per_s", link.mbit_per_s},
                {"one_way_ms", link.one_way.ms()}};
}

value WriteHost(const EntryHost& host) {
  return object{{"id", host.id.str()},
                {"zone", host.zone.str()},
                {"address", host.address.ToString()},
                {"peer_address", host.peer_address.ToString()}};
}

value WriteServer(const BackendServer& server) {
  return object{{"id", server.id.str()},
                {"zone", server.zone.str()},
                {"address", server.address.ToString()},
                {"slots", server.slots},
                {"max_connections", server.max_connections}};
}

value WriteText(const std::string& text) {
  return value(text);
}

value WriteService(const Service& service) {
  return object{
      {"id", service.id.str()},
      {"work_class", service.work_class},
      {"servers", MapToArray(service.servers, WriteServer)},
      {"idempotent_requests",
       MapToArray(service.idempotent_requests, WriteText)},
      {"not_run_statuses",
       MapToArray(service.not_run_statuses, [](int it) { return value(it); })},
      {"health_path", service.health_path}};
}

template <typename T>
void WritePart(const char* key, const std::optional<T>& part, object& out) {
  if (part)
    out[key] = part->str();
}

value WriteScope(const Scope& scope) {
  object out;
  WritePart("service", scope.service, out);
  WritePart("region", scope.region, out);
  WritePart("zone", scope.zone, out);
  WritePart("host", scope.host, out);
  WritePart("server", scope.server, out);
  return out;
}

value WriteException(const ConfigException& exception) {
  object out{{"id", exception.id},
             {"scope", WriteScope(exception.scope)},
             {"reason", exception.reason},
             {"author", exception.author}};
  if (exception.ends_unix_ms)
    out["ends"] = FormatUtc(*exception.ends_unix_ms);
  object values;
  for (const TunableValue& it : exception.values)
    values[it.key] = ParseJson(it.json, "exception " + exception.id);
  out["values"] = std::move(values);
  return out;
}

// Writes only values that operators changed. A release with more tunables thus
// writes the same text, which hosts of an older release can still parse.
value WriteDefaults(const Tunables& defaults) {
  const Tunables built_in;
  object out;
  for (const TunableSpec& it : TunableTable()) {
    value present = GetTunable(defaults, it);
    if (present != GetTunable(built_in, it))
      out[it.key] = std::move(present);
  }
  return out;
}

object WriteConfigObject(const FleetConfig& config) {
  return object{{"regions", MapToArray(config.regions, WriteRegion)},
                {"links", MapToArray(config.links, WriteLink)},
                {"hosts", MapToArray(config.hosts, WriteHost)},
                {"services", MapToArray(config.services, WriteService)},
                {"refusal_order", MapToArray(config.refusal_order, WriteText)},
                {"defaults", WriteDefaults(config.defaults)},
                {"exceptions", MapToArray(config.exceptions, WriteException)}};
}

}  // namespace

std::string WriteFleetConfig(const FleetConfig& config) {
  return WriteJson(WriteConfigObject(config));
}

std::string WriteVersionedConfig(const FleetConfig& config) {
  object out{{"version", config.version}};
  for (auto& it : WriteConfigObject(config))
    out[it.key()] = std::move(it.value());
  return WriteJson(out);
}

}  // namespace toucanknot
