#include "src/config/exception_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <map>
#include <set>
#include <string_view>
#include <utility>

#include "include/config/tunable_table.h"

namespace toucanknot {
namespace {

// A time at which no exception has expired.
constexpr int64_t kBeforeAllEnds = std::numeric_limits<int64_t>::min();

// Maximum number of retries and hedged requests per successful request.
constexpr double kMaxExtraShare = 0.5;

// The keys that CheckRelatedTunables() reads.
constexpr std::string_view kRelatedKeys[] = {
    "deadline_ms",        "max_deadline_ms",   "drain_limit_ms",
    "max_report_age_ms",  "probe_interval_ms", "keep_answer_ms",
    "ticket_lifetime_ms", "retry_ratio",       "hedge_ratio"};

bool ChangesRelatedKeys(const ConfigException& exception) {
  return std::any_of(exception.values.begin(), exception.values.end(),
                     [](const TunableValue& it) {
                       return std::count(std::begin(kRelatedKeys),
                                         std::end(kRelatedKeys), it.key) != 0;
                     });
}

bool HasDrain(const ConfigException& exception) {
  return std::any_of(exception.values.begin(), exception.values.end(),
                     [](const TunableValue& it) { return it.key == "drain"; });
}

template <typename T>
bool PartOverlaps(const std::optional<T>& a, const std::optional<T>& b) {
  return !a || !b || *a == *b;
}

bool Overlaps(const Scope& a, const Scope& b) {
  return PartOverlaps(a.service, b.service) &&
         PartOverlaps(a.region, b.region) && PartOverlaps(a.zone, b.zone) &&
         PartOverlaps(a.host, b.host) && PartOverlaps(a.server, b.server);
}

bool IsDrained(const FleetConfig& config, const Scope& location) {
  return config.Resolve(location, kBeforeAllEnds).drain;
}

}  // namespace

ExceptionCheck::ExceptionCheck(const FleetConfig& config,
                               const ConfigIndex& index)
    : config_(config), index_(index) {}

std::vector<Problem> ExceptionCheck::Run() {
  CheckRelatedTunables(config_.defaults, "defaults");
  std::set<std::string> ids;
  for (size_t i = 0; i < config_.exceptions.size(); ++i) {
    const ConfigException& it = config_.exceptions[i];
    if (ChangesRelatedKeys(it))
      CheckRelatedTunables(ResolveUpTo(i), "exceptions." + it.id + ".values");
    if (!it.id.empty() && !ids.insert(it.id).second)
      AddProblem("exceptions." + it.id, it.id,
                 "an id that no other exception has");
    CheckException(it);
  }
  CheckDrains();
  return std::move(problems_);
}

void ExceptionCheck::AddProblem(std::string path,
                                std::string found,
                                std::string valid) {
  problems_.push_back({std::move(path), std::move(found), std::move(valid)});
}

void ExceptionCheck::CheckRelatedTunables(const Tunables& t,
                                          const std::string& path) {
  const auto at_least = [&](const char* key, Duration value, const char* other,
                            Duration least) {
    if (value < least) {
      AddProblem(path + "." + key, std::to_string(value.ms()),
                 fmt::format("at least {} ({})", least.ms(), other));
    }
  };
  at_least("max_deadline_ms", t.max_deadline, "deadline_ms", t.deadline);
  at_least("drain_limit_ms", t.drain_limit, "max_deadline_ms", t.max_deadline);
  at_least("max_report_age_ms", t.max_report_age, "probe_interval_ms",
           t.probe_interval);
  at_least("keep_answer_ms", t.keep_answer, "ticket_lifetime_ms",
           t.ticket_lifetime);
  if (t.retry_ratio + t.hedge_ratio > kMaxExtraShare) {
    AddProblem(
        path + ".retry_ratio",
        fmt::format("{} with hedge_ratio {}", t.retry_ratio, t.hedge_ratio),
        fmt::format("at most {} together", kMaxExtraShare));
  }
}

Tunables ExceptionCheck::ResolveUpTo(size_t last) const {
  const Scope& scope = config_.exceptions[last].scope;
  FleetConfig part;
  part.defaults = config_.defaults;
  for (size_t i = 0; i <= last; ++i) {
    const ConfigException& it = config_.exceptions[i];
    if (!Overlaps(it.scope, scope))
      continue;
    part.exceptions.push_back(it);
    part.exceptions.back().scope = Scope();
  }
  return part.Resolve(Scope(), kBeforeAllEnds);
}

void ExceptionCheck::CheckException(const ConfigException& exception) {
  const std::string path = "exceptions." + exception.id + ".scope";
  CheckScope(exception.scope, path);
  for (const TunableValue& it : exception.values) {
    const TunableSpec* spec = FindTunable(it.key);
    if (spec && !LocationAllows(spec->location, exception.scope)) {
      AddProblem(path, "a part that does not apply to " + it.key,
                 "any of " + AllowedScopeParts(spec->location));
    }
  }
}

void ExceptionCheck::CheckScope(const Scope& scope, const std::string& path) {
  if (scope.service && !config_.FindService(*scope.service))
    AddProblem(path + ".service", scope.service->str(), "one of the services");
  if (scope.region && !index_.HasRegion(*scope.region))
    AddProblem(path + ".region", scope.region->str(), "one of the regions");
  if (scope.zone && !index_.HasZone(*scope.zone))
    AddProblem(path + ".zone", scope.zone->str(),
               "one of the zones in regions");
  if (scope.host && !index_.FindHost(*scope.host))
    AddProblem(path + ".host", scope.host->str(), "one of the entry hosts");
  if (scope.server && !index_.FindServer(*scope.server))
    AddProblem(path + ".server", scope.server->str(),
               "one of the backend servers");
  if (PartsAreKnown(scope) && !MatchesAnyLocation(scope)) {
    AddProblem(path, "parts that no location has together",
               "parts that one host or backend server has");
  }
}

bool ExceptionCheck::PartsAreKnown(const Scope& scope) const {
  return (!scope.service || config_.FindService(*scope.service)) &&
         (!scope.region || index_.HasRegion(*scope.region)) &&
         (!scope.zone || index_.HasZone(*scope.zone)) &&
         (!scope.host || index_.FindHost(*scope.host)) &&
         (!scope.server || index_.FindServer(*scope.server));
}

bool ExceptionCheck::MatchesAnyLocation(const Scope& scope) const {
  if (scope.server) {
    const ConfigIndex::Server* found = index_.FindServer(*scope.server);
    return scope.Matches(index_.LocationOf(found->service->id, *found->server));
  }
  if (scope.host) {
    Scope location = index_.LocationOf(*index_.FindHost(*scope.host));
    location.service = scope.service;
    return scope.Matches(location);
  }
  return !scope.zone || !scope.region ||
         index_.RegionOf(*scope.zone) == *scope.region;
}

void ExceptionCheck::CheckDrains() {
  if (config_.defaults.drain) {
    AddProblem("defaults.drain", "true",
               "false (drains are set by exceptions)");
    return;
  }
  FleetConfig drains;
  std::copy_if(config_.exceptions.begin(), config_.exceptions.end(),
               std::back_inserter(drains.exceptions), HasDrain);
  if (drains.exceptions.empty())
    return;
  std::set<RegionId> open;
  for (const EntryHost& it : config_.hosts) {
    const Scope location = index_.LocationOf(it);
    if (open.count(*location.region) == 0 && !IsDrained(drains, location))
      open.insert(*location.region);
  }
  for (const Service& it : config_.services)
    CheckServiceDrain(drains, open, it);
}

// Only entry hosts in a server's region send requests to it.
void ExceptionCheck::CheckServiceDrain(const FleetConfig& drains,
                                       const std::set<RegionId>& open,
                                       const Service& service) {
  const bool served = std::any_of(
      service.servers.begin(), service.servers.end(),
      [&](const BackendServer& it) {
        return open.count(index_.RegionOf(it.zone)) != 0 &&
               !IsDrained(drains, index_.LocationOf(service.id, it));
      });
  if (!served && !service.servers.empty() && !config_.hosts.empty()) {
    AddProblem(
        "exceptions",
        "drains that leave service " + service.id.str() + " nowhere to go",
        "at least one region with an entry host and a backend server of the "
        "service that are not drained");
  }
}

}  // namespace toucanknot
