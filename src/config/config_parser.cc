#include <algorithm>
#include <boost/json/value.hpp>
#include <limits>
#include <memory>

#include "include/base/digest.h"
#include "include/base/utc_time.h"
#include "include/config/config_text.h"
#include "include/config/json_text.h"
#include "include/config/object_reader.h"
#include "include/config/tunable_table.h"

namespace toucanknot {
namespace {

constexpr double kMaxMbit = 1e6;
constexpr int64_t kMaxOneWayMs = 10'000;
constexpr int kMaxSlots = 10'000;
constexpr int kMaxConnections = 100'000;
constexpr int kFirstStatus = 400;
constexpr int kLastStatus = 599;

template <typename T>
std::optional<T> OptionalId(ObjectReader& reader, std::string_view key) {
  const auto text = reader.OptionalName(key);
  return text ? std::optional<T>(T(*text)) : std::nullopt;
}

Region ReadRegion(ObjectReader& reader) {
  Region region;
  region.id = RegionId(reader.Name("id"));
  for (const std::string& it : reader.Texts("zones"))
    region.zones.emplace_back(it);
  const bool named =
      std::all_of(region.zones.begin(), region.zones.end(),
                  [](const ZoneId& it) { return IsName(it.str()); });
  if (region.zones.empty() || !named)
    reader.AddProblem("zones", "an array with the name of at least one zone");
  return region;
}

Link ReadLink(ObjectReader& reader) {
  Link link;
  link.from = RegionId(reader.Name("from"));
  link.to = RegionId(reader.Name("to"));
  link.mbit_per_s = reader.Number("mbit_per_s", 1, kMaxMbit);
  link.one_way = Duration(reader.Integer("one_way_ms", 0, kMaxOneWayMs));
  return link;
}

EntryHost ReadHost(ObjectReader& reader) {
  EntryHost host;
  host.id = HostId(reader.Name("id"));
  host.zone = ZoneId(reader.Name("zone"));
  host.address = reader.Address("address");
  host.peer_address = reader.Address("peer_address");
  return host;
}

BackendServer ReadServer(ObjectReader& reader) {
  BackendServer server;
  server.id = ServerId(reader.Name("id"));
  server.zone = ZoneId(reader.Name("zone"));
  server.address = reader.Address("address");
  server.slots = static_cast<int>(reader.Integer("slots", 1, kMaxSlots));
  server.max_connections =
      static_cast<int>(reader.Integer("max_connections", 1, kMaxConnections));
  return server;
}

// Whether `text` is a method, a space and a path: "POST /proofs".
bool IsMethodAndPath(const std::string& text) {
  const size_t space = text.find(' ');
  if (space == 0 || space == std::string::npos)
    return false;
  return std::all_of(text.begin(), text.begin() + space,
                     [](char c) { return c >= 'A' && c <= 'Z'; }) &&
         text[space + 1] == '/' &&
         text.find(' ', space + 1) == std::string::npos;
}

Service ReadService(ObjectReader& reader) {
  Service service;
  service.id = ServiceId(reader.Name("id"));
  service.work_class = reader.Name("work_class");
  reader.Items("servers", true, [&](ObjectReader& item) {
    service.servers.push_back(ReadServer(item));
  });
  service.idempotent_requests = reader.Texts("idempotent_requests");
  if (!std::all_of(service.idempotent_requests.begin(),
                   service.idempotent_requests.end(), IsMethodAndPath)) {
    reader.AddProblem(
        "idempotent_requests",
        "an array of method and path prefix, such as \"POST /proofs\"");
  }
  service.not_run_statuses =
      reader.Integers("not_run_statuses", kFirstStatus, kLastStatus);
  service.health_path = reader.Text("health_path", service.health_path);
  if (service.health_path.front() != '/')
    reader.AddProblem("health_path", "a path that begins with '/'");
  return service;
}

Scope ReadScope(ObjectReader& reader) {
  Scope scope;
  scope.service = OptionalId<ServiceId>(reader, "service");
  scope.region = OptionalId<RegionId>(reader, "region");
  scope.zone = OptionalId<ZoneId>(reader, "zone");
  scope.host = OptionalId<HostId>(reader, "host");
  scope.server = OptionalId<ServerId>(reader, "server");
  return scope;
}

// Calls `on_value` for each member of `values` that names a tunable and has a
// valid value; adds a problem for each other member.
template <typename OnValueFn>
void ReadTunables(const boost::json::value& values,
                  const std::string& path,
                  std::vector<Problem>& problems,
                  OnValueFn on_value) {
  ObjectReader reader(path, values, problems);
  if (!values.is_object())
    return;
  for (const auto& it : values.get_object()) {
    const std::string key(it.key());
    const TunableSpec* spec = FindTunable(key);
    Tunables scratch;
    if (!spec)
      reader.AddProblem(key, "a known key: " + ValidTunableKey(key));
    else if (!SetTunable(*spec, it.value(), scratch))
      reader.AddProblem(key, ValidTunable(*spec));
    else
      on_value(*spec, it.value());
  }
}

std::optional<int64_t> ReadEnd(ObjectReader& reader) {
  if (!reader.Member("ends"))
    return std::nullopt;
  const auto ends = ParseUtc(reader.Text("ends"));
  if (!ends)
    reader.AddProblem("ends", "a time in UTC such as \"2026-12-31T18:00:00Z\"");
  return ends;
}

// The value as canonical text, the same for 0.5 and 5E-1.
std::string CanonicalValue(const TunableSpec& spec,
                           const boost::json::value& value) {
  Tunables scratch;
  SetTunable(spec, value, scratch);
  return WriteJsonLine(GetTunable(scratch, spec));
}

ConfigException ReadException(ObjectReader& reader,
                              std::vector<Problem>& problems) {
  ConfigException exception;
  exception.id = reader.Name("id");
  exception.reason = reader.Text("reason");
  exception.author = reader.Text("author");
  exception.ends_unix_ms = ReadEnd(reader);
  if (const auto* scope = reader.Member("scope")) {
    ObjectReader item(reader.PathOf("scope"), *scope, problems);
    exception.scope = ReadScope(item);
    item.Finish();
  }
  if (exception.scope == Scope())
    reader.AddProblem("scope",
                      "at least one of service, region, zone, host, server");
  const auto* values = reader.Member("values");
  if (!values || !values->is_object() || values->get_object().empty()) {
    reader.AddProblem("values", "an object with at least one tunable");
    return exception;
  }
  const std::string path = reader.PathOf("values");
  ReadTunables(*values, path, problems,
               [&](const TunableSpec& spec, const boost::json::value& value) {
                 exception.values.push_back(
                     {std::string(spec.key), CanonicalValue(spec, value)});
               });
  std::sort(exception.values.begin(), exception.values.end(),
            [](const TunableValue& a, const TunableValue& b) {
              return a.key < b.key;
            });
  return exception;
}

void ReadTopology(ObjectReader& root, FleetConfig& config) {
  root.Items("regions", true, [&](ObjectReader& item) {
    config.regions.push_back(ReadRegion(item));
  });
  root.Items("links", false, [&](ObjectReader& item) {
    config.links.push_back(ReadLink(item));
  });
  root.Items("hosts", true, [&](ObjectReader& item) {
    config.hosts.push_back(ReadHost(item));
  });
}

FleetConfig ReadConfigObject(const boost::json::value& value,
                             std::vector<Problem>& problems) {
  FleetConfig config;
  ObjectReader root("", value, problems);
  if (!value.is_object())
    return config;
  config.version = static_cast<uint64_t>(root.Integer(
      "version", 0, std::numeric_limits<int64_t>::max(), int64_t{0}));
  ReadTopology(root, config);
  root.Items("services", true, [&](ObjectReader& item) {
    config.services.push_back(ReadService(item));
  });
  config.refusal_order = root.Texts("refusal_order");
  if (config.refusal_order.empty())
    root.AddProblem("refusal_order", "an array of at least one class of work");
  if (const auto* defaults = root.Member("defaults")) {
    ReadTunables(*defaults, "defaults", problems,
                 [&](const TunableSpec& spec, const boost::json::value& it) {
                   SetTunable(spec, it, config.defaults);
                 });
  }
  root.Items("exceptions", false, [&](ObjectReader& item) {
    config.exceptions.push_back(ReadException(item, problems));
  });
  root.Finish();
  return config;
}

}  // namespace

FleetConfig ReadFleetConfig(std::string_view text, const std::string& source) {
  const boost::json::value value = ParseJson(text, source);
  std::vector<Problem> problems;
  FleetConfig config = ReadConfigObject(value, problems);
  if (value.is_object()) {
    for (Problem& it : CheckFleetConfig(config))
      problems.push_back(std::move(it));
  }
  if (!problems.empty())
    throw InvalidConfigError(source, std::move(problems));
  return config;
}

FleetConfigPtr ParseFleetConfig(std::string_view text,
                                const std::string& source,
                                std::optional<uint64_t> version) {
  auto config = std::make_shared<FleetConfig>(ReadFleetConfig(text, source));
  config->version = version.value_or(config->version);
  config->digest = DigestOf(WriteFleetConfig(*config));
  return config;
}

}  // namespace toucanknot
