#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "include/config/config_text.h"
#include "src/config/config_index.h"
#include "src/config/exception_check.h"

namespace toucanknot {
namespace {

// Checks regions, links, hosts and services: duplicates, references,
// reachability.
class TopologyCheck {
 public:
  TopologyCheck(const FleetConfig& config, const ConfigIndex& index)
      : config_(config), index_(index) {}

  std::vector<Problem> Run() {
    CheckRegions();
    CheckLinks();
    CheckHosts();
    CheckClasses();
    for (const Service& it : config_.services)
      CheckService(it);
    return std::move(problems_);
  }

 private:
  // Maps each name of a kind to the path where it first occurred.
  using Seen = std::unordered_map<std::string, std::string>;

  void AddProblem(std::string path, std::string found, std::string valid) {
    problems_.push_back({std::move(path), std::move(found), std::move(valid)});
  }

  // Adds a problem if `name` already occurs in `seen`.
  void CheckUnique(Seen& seen,
                   const std::string& name,
                   const std::string& path) {
    if (name.empty())
      return;
    const auto [it, is_new] = seen.emplace(name, path);
    if (!is_new)
      AddProblem(path, name, "a value other than at " + it->second);
  }

  void CheckUniqueAddress(const Endpoint& address, const std::string& path) {
    if (address.port != 0)
      CheckUnique(addresses_, address.ToString(), path);
  }

  void CheckZoneExists(const ZoneId& zone, const std::string& path) {
    if (!zone.empty() && !index_.HasZone(zone))
      AddProblem(path, zone.str(), "one of the zones in regions");
  }

  void CheckRegions() {
    Seen ids;
    Seen zones;
    for (const Region& it : config_.regions) {
      const std::string path = "regions." + it.id.str();
      CheckUnique(ids, it.id.str(), path);
      for (const ZoneId& zone : it.zones)
        CheckUnique(zones, zone.str(), path + ".zones");
    }
  }

  void CheckLinks() {
    Seen seen;
    std::set<RegionId> linked;
    for (size_t i = 0; i < config_.links.size(); ++i) {
      const Link& it = config_.links[i];
      const std::string path = fmt::format("links.{}", i);
      CheckLinkEnds(it, path);
      CheckUnique(seen, it.from.str() + " to " + it.to.str(), path);
      linked.insert(it.from);
    }
    for (const Region& it : config_.regions) {
      if (config_.regions.size() > 1 && linked.count(it.id) == 0) {
        AddProblem("regions." + it.id.str(), "no link",
                   "a link to and from another region");
      }
    }
  }

  void CheckLinkEnds(const Link& link, const std::string& path) {
    if (link.from.empty() || link.to.empty())
      return;
    if (!index_.HasRegion(link.from))
      AddProblem(path + ".from", link.from.str(), "one of the regions");
    if (!index_.HasRegion(link.to))
      AddProblem(path + ".to", link.to.str(), "one of the regions");
    if (link.from == link.to) {
      AddProblem(path + ".to", link.to.str(), "a region other than from");
    } else if (!config_.FindLink(link.to, link.from)) {
      AddProblem(path, "no link back",
                 "a link from " + link.to.str() + " to " + link.from.str());
    }
  }

  void CheckHosts() {
    Seen ids;
    for (const EntryHost& it : config_.hosts) {
      const std::string path = "hosts." + it.id.str();
      CheckUnique(ids, it.id.str(), path);
      CheckZoneExists(it.zone, path + ".zone");
      CheckUniqueAddress(it.address, path + ".address");
      CheckUniqueAddress(it.peer_address, path + ".peer_address");
      ++hosts_in_[index_.RegionOf(it.zone)];
    }
  }

  void CheckClasses() {
    Seen classes;
    for (const std::string& it : config_.refusal_order)
      CheckUnique(classes, it, "refusal_order");
    Seen ids;
    for (const Service& it : config_.services) {
      const std::string path = "services." + it.id.str();
      CheckUnique(ids, it.id.str(), path);
      if (!it.work_class.empty() && classes.count(it.work_class) == 0) {
        AddProblem(path + ".work_class", it.work_class,
                   "one of the classes in refusal_order");
      }
    }
  }

  void CheckService(const Service& service) {
    const std::string path = "services." + service.id.str() + ".servers";
    std::set<RegionId> regions;
    for (const BackendServer& it : service.servers) {
      CheckServer(it, path + "." + it.id.str());
      regions.insert(index_.RegionOf(it.zone));
    }
    for (const auto& [region, hosts] : hosts_in_) {
      if (!region.empty() && !Reaches(region, regions)) {
        AddProblem(path, "none that is reachable from region " + region.str(),
                   "a server there, or in a region with a link from it");
      }
    }
  }

  void CheckServer(const BackendServer& server, const std::string& path) {
    CheckUnique(server_ids_, server.id.str(), path);
    CheckZoneExists(server.zone, path + ".zone");
    CheckUniqueAddress(server.address, path + ".address");
    const RegionId region = index_.RegionOf(server.zone);
    const auto hosts = hosts_in_.find(region);
    if (!region.empty() && hosts == hosts_in_.end()) {
      AddProblem(path + ".zone", server.zone.str(),
                 "a zone of a region that has an entry host");
      return;
    }
    const int min_connections =
        std::max(server.slots, hosts == hosts_in_.end() ? 0 : hosts->second);
    if (server.max_connections < min_connections) {
      AddProblem(
          path + ".max_connections", std::to_string(server.max_connections),
          fmt::format("at least {}: one for each slot and for each entry "
                      "host of the region",
                      min_connections));
    }
  }

  bool Reaches(const RegionId& from, const std::set<RegionId>& regions) const {
    return std::any_of(regions.begin(), regions.end(), [&](const RegionId& it) {
      return it == from || config_.FindLink(from, it);
    });
  }

  const FleetConfig& config_;
  const ConfigIndex& index_;
  std::vector<Problem> problems_;
  Seen addresses_;
  Seen server_ids_;
  // Number of entry hosts by region; ordered for a deterministic order of
  // problems.
  std::map<RegionId, int> hosts_in_;
};

}  // namespace

std::vector<Problem> CheckFleetConfig(const FleetConfig& config) {
  const ConfigIndex index(config);
  std::vector<Problem> problems = TopologyCheck(config, index).Run();
  for (Problem& it : ExceptionCheck(config, index).Run())
    problems.push_back(std::move(it));
  return problems;
}

}  // namespace toucanknot
