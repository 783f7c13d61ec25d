#include "src/cli/preview.h"

#include <boost/json/value.hpp>
#include <map>
#include <set>
#include <tuple>

#include "include/config/json_text.h"
#include "include/config/locations.h"
#include "include/config/tunable_table.h"

namespace toucanknot {
namespace {

// In text output, further places are shown as a count.
constexpr size_t kMaxShownPlaces = 8;

// The effective tunables of all places of a kind, by the place's name.
using ResolvedTunables = std::map<std::string, Tunables>;

struct PlaceKind {
  TunableLocation place;
  // Resolves every place of the kind.
  ResolvedTunables (*resolve)(const FleetConfig& config, int64_t unix_ms);
};

ResolvedTunables ResolveHosts(const FleetConfig& config, int64_t unix_ms) {
  ResolvedTunables out;
  for (const EntryHost& it : config.hosts) {
    out["host " + it.id.str()] =
        config.Resolve(LocationOfHost(config, it), unix_ms);
  }
  return out;
}

ResolvedTunables ResolveServices(const FleetConfig& config, int64_t unix_ms) {
  ResolvedTunables out;
  for (const EntryHost& it : config.hosts) {
    for (const Service& service : config.services) {
      out[service.id.str() + " at " + it.id.str()] =
          config.Resolve(LocationOfService(config, it, service.id), unix_ms);
    }
  }
  return out;
}

ResolvedTunables ResolveServers(const FleetConfig& config, int64_t unix_ms) {
  ResolvedTunables out;
  for (const Service& service : config.services) {
    for (const BackendServer& it : service.servers) {
      out["server " + it.id.str()] =
          config.Resolve(LocationOfServer(config, service.id, it), unix_ms);
    }
  }
  return out;
}

ResolvedTunables ResolveRegions(const FleetConfig& config, int64_t unix_ms) {
  ResolvedTunables out;
  for (const Region& it : config.regions) {
    for (const Service& service : config.services) {
      out["region " + it.id.str() + ", " + service.id.str()] =
          config.Resolve(LocationOfRegion(it.id, service.id), unix_ms);
    }
  }
  return out;
}

ResolvedTunables ResolveLinks(const FleetConfig& config, int64_t unix_ms) {
  ResolvedTunables out;
  for (const Link& it : config.links) {
    out["link " + it.from.str() + " to " + it.to.str()] =
        config.Resolve(LocationOfLink(it), unix_ms);
  }
  return out;
}

constexpr PlaceKind kPlaceKinds[] = {
    {TunableLocation::kHost, ResolveHosts},
    {TunableLocation::kHostOrServer, ResolveServers},
    {TunableLocation::kService, ResolveServices},
    {TunableLocation::kRegion, ResolveRegions},
    {TunableLocation::kLink, ResolveLinks},
};

// Whether a tunable is used at places of kind `place`.
bool IsUsedAt(const TunableSpec& spec, TunableLocation place) {
  const bool also_at_hosts = spec.location == TunableLocation::kHostOrServer &&
                             place == TunableLocation::kHost;
  return spec.location == place || also_at_hosts;
}

// Collects changes of tunables and groups the places with the same change.
class ChangeTable {
 public:
  void Compare(const PlaceKind& kind,
               const ResolvedTunables& before,
               const ResolvedTunables& after) {
    for (const auto& [name, tunables] : after) {
      const auto it = before.find(name);
      if (it == before.end() || it->second == tunables)
        continue;
      for (const TunableSpec& spec : TunableTable()) {
        if (IsUsedAt(spec, kind.place))
          Add(spec, name, it->second, tunables);
      }
    }
  }

  std::vector<TunableChange> TakeChanges() {
    std::vector<TunableChange> list;
    for (auto& [key, places] : places_) {
      list.push_back({std::get<0>(key), std::get<1>(key), std::get<2>(key),
                      std::move(places)});
    }
    return list;
  }

 private:
  void Add(const TunableSpec& spec,
           const std::string& place,
           const Tunables& before,
           const Tunables& after) {
    const std::string old_value = WriteJsonLine(GetTunable(before, spec));
    const std::string new_value = WriteJsonLine(GetTunable(after, spec));
    if (old_value != new_value)
      places_[{std::string(spec.key), old_value, new_value}].push_back(place);
  }

  std::map<std::tuple<std::string, std::string, std::string>,
           std::vector<std::string>>
      places_;
};

// The names of hosts and servers that are not drained.
std::set<std::string> UndrainedNames(const FleetConfig& config,
                                     int64_t unix_ms) {
  std::set<std::string> names;
  for (const auto& resolved :
       {ResolveHosts(config, unix_ms), ResolveServers(config, unix_ms)}) {
    for (const auto& [name, tunables] : resolved) {
      if (!tunables.drain)
        names.insert(name);
    }
  }
  return names;
}

std::vector<std::string> Difference(const std::set<std::string>& all,
                                    const std::set<std::string>& excluded) {
  std::vector<std::string> rest;
  for (const std::string& it : all) {
    if (excluded.count(it) == 0)
      rest.push_back(it);
  }
  return rest;
}

std::string Join(const std::vector<std::string>& list, size_t limit) {
  std::string text;
  for (size_t i = 0; i < list.size() && i < limit; ++i)
    text += (i == 0 ? "" : "; ") + list[i];
  if (list.size() > limit)
    text += "; and " + std::to_string(list.size() - limit) + " more";
  return text;
}

boost::json::array TextsJson(const std::vector<std::string>& list) {
  return boost::json::array(list.begin(), list.end());
}

}  // namespace

Preview PreviewChange(const FleetConfig& before,
                      const FleetConfig& after,
                      int64_t unix_ms) {
  ChangeTable table;
  for (const PlaceKind& it : kPlaceKinds)
    table.Compare(it, it.resolve(before, unix_ms), it.resolve(after, unix_ms));
  const auto undrained_before = UndrainedNames(before, unix_ms);
  const auto undrained_after = UndrainedNames(after, unix_ms);
  return {DiffConfigs(before, after), table.TakeChanges(),
          Difference(undrained_before, undrained_after),
          Difference(undrained_after, undrained_before)};
}

std::string DescribePreview(const Preview& preview) {
  std::string text = "Differences:\n";
  text += DescribeDifferences(preview.differences);
  if (!preview.tunables.empty())
    text += "Effective values by place:\n";
  for (const TunableChange& it : preview.tunables) {
    text += "  " + it.key + " " + it.before + " -> " + it.after + ": " +
            Join(it.places, kMaxShownPlaces) + "\n";
  }
  if (!preview.stop.empty())
    text += "Stop receiving requests: " + Join(preview.stop, SIZE_MAX) + "\n";
  if (!preview.start.empty())
    text += "Start receiving requests: " + Join(preview.start, SIZE_MAX) + "\n";
  return text;
}

boost::json::value DifferencesJson(const std::vector<ConfigDifference>& list) {
  boost::json::array out;
  for (const ConfigDifference& it : list) {
    out.push_back(boost::json::object{
        {"path", it.path}, {"before", it.before}, {"after", it.after}});
  }
  return out;
}

boost::json::value PreviewJson(const Preview& preview) {
  boost::json::array tunables;
  for (const TunableChange& it : preview.tunables) {
    tunables.push_back(boost::json::object{{"key", it.key},
                                           {"before", it.before},
                                           {"after", it.after},
                                           {"places", TextsJson(it.places)}});
  }
  return boost::json::object{
      {"differences", DifferencesJson(preview.differences)},
      {"tunables", std::move(tunables)},
      {"stop", TextsJson(preview.stop)},
      {"start", TextsJson(preview.start)}};
}

}  // namespace toucanknot
