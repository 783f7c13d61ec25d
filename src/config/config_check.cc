#include <fmt/format.h>

#include <functional>
#include <limits>
#include <map>
#include <set>
#include <string>

#include "include/config/config_text.h"
#include "include/config/places.h"
#include "include/config/tunable_table.h"

namespace toucanknot {
namespace {

// Before every exception's end, so that the verdict does not depend on when
// and where a configuration is checked.
constexpr int64_t kBeforeAllEnds = std::numeric_limits<int64_t>::min();

class Checker {
 public:
  explicit Checker(const FleetConfig& config) : config_(config) {}

  std::vector<Problem> Run() {
    CheckRegions();
    CheckLinks();
    CheckHosts();
    CheckClasses();
    for (const Service& it : config_.services)
      CheckService(it);
    CheckTunables();
    CheckExceptions();
    CheckDrains();
    return std::move(problems_);
  }

 private:
  void Note(std::string path, std::string found, std::string valid) {
    problems_.push_back({std::move(path), std::move(found), std::move(valid)});
  }

  // Notes `name` if it was seen before in `seen`.
  void Unique(std::map<std::string, std::string>& seen,
              const std::string& name,
              const std::string& path) {
    if (name.empty())
      return;
    const auto [it, is_new] = seen.emplace(name, path);
    if (!is_new)
      Note(path, name, "something other than at " + it->second);
  }

  void UniqueAddress(const Endpoint& address, const std::string& path) {
    if (address.port != 0)
      Unique(addresses_, address.ToString(), path);
  }

  void KnownZone(const ZoneId& zone, const std::string& path) {
    if (!zone.empty() && zones_.count(zone.str()) == 0)
      Note(path, zone.str(), "one of the zones in regions");
  }

  void CheckRegions() {
    std::map<std::string, std::string> ids;
    for (const Region& it : config_.regions) {
      const std::string path = "regions." + it.id.str();
      Unique(ids, it.id.str(), path);
      for (const ZoneId& zone : it.zones)
        Unique(zones_, zone.str(), path + ".zones");
    }
  }

  bool HasRegion(const RegionId& id) const {
    for (const Region& it : config_.regions) {
      if (it.id == id)
        return true;
    }
    return false;
  }

  void CheckLinks() {
    std::map<std::string, std::string> seen;
    std::set<RegionId> linked;
    for (size_t i = 0; i < config_.links.size(); ++i) {
      const Link& it = config_.links[i];
      const std::string path = fmt::format("links.{}", i);
      CheckLinkEnds(it, path);
      Unique(seen, it.from.str() + " to " + it.to.str(), path);
      linked.insert(it.from);
    }
    for (const Region& it : config_.regions) {
      if (config_.regions.size() > 1 && linked.count(it.id) == 0)
        Note("regions." + it.id.str(), "no link",
             "a link to and from another region");
    }
  }

  void CheckLinkEnds(const Link& link, const std::string& path) {
    if (link.from.empty() || link.to.empty())
      return;
    if (!HasRegion(link.from))
      Note(path + ".from", link.from.str(), "one of the regions");
    if (!HasRegion(link.to))
      Note(path + ".to", link.to.str(), "one of the regions");
    if (link.from == link.to)
      Note(path + ".to", link.to.str(), "a region other than from");
    else if (!config_.FindLink(link.to, link.from))
      Note(path, "no link back",
           "a link from " + link.to.str() + " to " + link.from.str());
  }

  void CheckHosts() {
    std::map<std::string, std::string> ids;
    for (const EntryHost& it : config_.hosts) {
      const std::string path = "hosts." + it.id.str();
      Unique(ids, it.id.str(), path);
      KnownZone(it.zone, path + ".zone");
      UniqueAddress(it.address, path + ".address");
      UniqueAddress(it.peer_address, path + ".peer_address");
      ++hosts_in_[config_.RegionOf(it.zone)];
    }
  }

  void CheckClasses() {
    std::map<std::string, std::string> classes;
    for (const std::string& it : config_.refusal_order)
      Unique(classes, it, "refusal_order");
    std::map<std::string, std::string> ids;
    for (const Service& it : config_.services) {
      const std::string path = "services." + it.id.str();
      Unique(ids, it.id.str(), path);
      if (!it.work_class.empty() && classes.count(it.work_class) == 0)
        Note(path + ".work_class", it.work_class,
             "one of the classes in refusal_order");
    }
  }

  void CheckService(const Service& service) {
    std::set<RegionId> regions;
    for (const BackendServer& it : service.servers) {
      CheckServer(it,
                  "services." + service.id.str() + ".servers." + it.id.str());
      regions.insert(config_.RegionOf(it.zone));
    }
    for (const auto& [region, hosts] : hosts_in_) {
      if (!region.empty() && !Reaches(region, regions))
        Note("services." + service.id.str() + ".servers",
             "none that region " + region.str() + " can reach",
             "a server there, or in a region with a link from it");
    }
  }

  void CheckServer(const BackendServer& server, const std::string& path) {
    Unique(server_ids_, server.id.str(), path);
    KnownZone(server.zone, path + ".zone");
    UniqueAddress(server.address, path + ".address");
    const RegionId region = config_.RegionOf(server.zone);
    const auto hosts = hosts_in_.find(region);
    if (!region.empty() && hosts == hosts_in_.end()) {
      Note(path + ".zone", server.zone.str(),
           "a zone of a region that has an entry host");
      return;
    }
    const int least =
        std::max(server.slots, hosts == hosts_in_.end() ? 0 : hosts->second);
    if (server.max_connections < least)
      Note(path + ".max_connections", std::to_string(server.max_connections),
           fmt::format("at least {}: one for each slot and for each entry "
                       "host of the region",
                       least));
  }

  bool Reaches(const RegionId& from, const std::set<RegionId>& regions) const {
    for (const RegionId& it : regions) {
      if (it == from || config_.FindLink(from, it))
        return true;
    }
    return false;
  }

  // Notes a fault of `scope` as a whole in the tunables that hold there.
  void CheckSums(const Tunables& t, const std::string& path) {
    const auto at_least = [&](const char* key, Duration value,
                              const char* other, Duration least) {
      if (value < least)
        Note(path + "." + key, std::to_string(value.ms()),
             fmt::format("at least {} ({})", least.ms(), other));
    };
    at_least("max_deadline_ms", t.max_deadline, "deadline_ms", t.deadline);
    at_least("drain_limit_ms", t.drain_limit, "max_deadline_ms",
             t.max_deadline);
    at_least("max_report_age_ms", t.max_report_age, "probe_interval_ms",
             t.probe_interval);
    at_least("keep_answer_ms", t.keep_answer, "ticket_lifetime_ms",
             t.ticket_lifetime);
    if (t.retry_ratio + t.hedge_ratio > kMaxExtraShare)
      Note(path + ".retry_ratio",
           fmt::format("{} with hedge_ratio {}", t.retry_ratio, t.hedge_ratio),
           fmt::format("at most {} together", kMaxExtraShare));
  }

  void CheckTunables() {
    CheckSums(config_.defaults, "defaults");
    for (size_t i = 0; i < config_.exceptions.size(); ++i) {
      const ConfigException& it = config_.exceptions[i];
      if (ChangesSums(it))
        CheckSums(ResolvedAt(it.scope, i), "exceptions." + it.id + ".values");
    }
  }

  static bool ChangesSums(const ConfigException& exception) {
    static const std::set<std::string> keys = {
        "deadline_ms",        "max_deadline_ms",   "drain_limit_ms",
        "max_report_age_ms",  "probe_interval_ms", "keep_answer_ms",
        "ticket_lifetime_ms", "retry_ratio",       "hedge_ratio"};
    for (const TunableValue& it : exception.values) {
      if (keys.count(it.key) != 0)
        return true;
    }
    return false;
  }

  // What holds for `scope` when the exceptions up to the one at `last`, whose
  // scopes overlap with it, are merged.
  Tunables ResolvedAt(const Scope& scope, size_t last) const {
    FleetConfig part;
    part.defaults = config_.defaults;
    for (size_t i = 0; i <= last; ++i) {
      ConfigException it = config_.exceptions[i];
      if (!Overlaps(it.scope, scope))
        continue;
      it.scope = Scope();
      part.exceptions.push_back(std::move(it));
    }
    return part.Resolve(Scope(), kBeforeAllEnds);
  }

  template <typename T>
  static bool PartOverlaps(const std::optional<T>& a,
                           const std::optional<T>& b) {
    return !a || !b || *a == *b;
  }

  static bool Overlaps(const Scope& a, const Scope& b) {
    return PartOverlaps(a.service, b.service) &&
           PartOverlaps(a.region, b.region) && PartOverlaps(a.zone, b.zone) &&
           PartOverlaps(a.host, b.host) && PartOverlaps(a.server, b.server);
  }

  void CheckExceptions() {
    std::map<std::string, std::string> ids;
    for (const ConfigException& it : config_.exceptions) {
      const std::string path = "exceptions." + it.id;
      Unique(ids, it.id, path);
      CheckScope(it.scope, path + ".scope");
      for (const TunableValue& value : it.values) {
        const TunableSpec* spec = FindTunable(value.key);
        if (spec && !PlaceAllows(spec->place, it.scope))
          Note(path + ".scope", "a part that " + value.key + " does not have",
               "any of " + AllowedParts(spec->place));
      }
    }
  }

  void CheckScope(const Scope& scope, const std::string& path) {
    if (scope.service && !config_.FindService(*scope.service))
      Note(path + ".service", scope.service->str(), "one of the services");
    if (scope.region && !HasRegion(*scope.region))
      Note(path + ".region", scope.region->str(), "one of the regions");
    if (scope.zone)
      KnownZone(*scope.zone, path + ".zone");
    if (scope.host && !config_.FindHost(*scope.host))
      Note(path + ".host", scope.host->str(), "one of the entry hosts");
    if (scope.server && server_ids_.count(scope.server->str()) == 0)
      Note(path + ".server", scope.server->str(), "one of the backend servers");
    if (KnownParts(scope) && !MatchesAnyPlace(scope))
      Note(path, "parts that no place has together",
           "parts that one host or backend server has");
  }

  bool KnownParts(const Scope& scope) const {
    return (!scope.service || config_.FindService(*scope.service)) &&
           (!scope.region || HasRegion(*scope.region)) &&
           (!scope.zone || zones_.count(scope.zone->str()) != 0) &&
           (!scope.host || config_.FindHost(*scope.host)) &&
           (!scope.server || server_ids_.count(scope.server->str()) != 0);
  }

  bool MatchesAnyPlace(const Scope& scope) const {
    for (const EntryHost& host : config_.hosts) {
      Scope place = PlaceOfHost(config_, host);
      place.service = scope.service;
      if (scope.Matches(place))
        return true;
    }
    for (const Service& service : config_.services) {
      for (const BackendServer& it : service.servers) {
        if (scope.Matches(PlaceOfServer(config_, service.id, it)))
          return true;
      }
    }
    return false;
  }

  bool Drained(const Scope& place) const {
    return config_.Resolve(place, kBeforeAllEnds).drain;
  }

  void CheckDrains() {
    if (config_.defaults.drain)
      Note("defaults.drain", "true",
           "false: a drain is an exception with a scope");
    else
      for (const Service& it : config_.services)
        CheckServiceDrain(it);
  }

  // A service needs one region where both a backend server and an entry host
  // that serves it are not drained: only hosts of a server's region send to it.
  void CheckServiceDrain(const Service& service) {
    std::set<RegionId> open;
    for (const EntryHost& it : config_.hosts) {
      if (!Drained(PlaceOfService(config_, it, service.id)))
        open.insert(config_.RegionOf(it.zone));
    }
    for (const BackendServer& it : service.servers) {
      if (open.count(config_.RegionOf(it.zone)) != 0 &&
          !Drained(PlaceOfServer(config_, service.id, it)))
        return;
    }
    if (!service.servers.empty() && !config_.hosts.empty() &&
        !config_.exceptions.empty())
      Note("exceptions",
           "drains that leave service " + service.id.str() + " nowhere to go",
           "at least one region with an entry host and a backend server of "
           "the service that take work");
  }

  // Extra requests that retries and hedges may make of each success.
  static constexpr double kMaxExtraShare = 0.5;

  const FleetConfig& config_;
  std::vector<Problem> problems_;
  std::map<std::string, std::string> zones_;
  std::map<std::string, std::string> addresses_;
  std::map<std::string, std::string> server_ids_;
  std::map<RegionId, int> hosts_in_;
};

}  // namespace

std::vector<Problem> CheckFleetConfig(const FleetConfig& config) {
  return Checker(config).Run();
}

}  // namespace toucanknot
