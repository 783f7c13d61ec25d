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

// More places than this are shown as a count to people.
constexpr size_t kMaxShownPlaces = 8;

// The tunables that hold at each place of a kind, by the place's name.
using Resolved = std::map<std::string, Tunables>;

struct PlaceKind {
  TunableLocation place;
  // Resolves every place of the kind.
  Resolved (*resolve)(const FleetConfig& config, int64_t unix_ms);
};

Resolved AtHosts(const FleetConfig& config, int64_t unix_ms) {
  Resolved out;
  for (const EntryHost& it : config.hosts) {
    out["host " + it.id.str()] =
        config.Resolve(LocationOfHost(config, it), unix_ms);
  }
  return out;
}

Resolved AtServices(const FleetConfig& config, int64_t unix_ms) {
  Resolved out;
  for (const EntryHost& it : config.hosts) {
    for (const Service& service : config.services) {
      out[service.id.str() + " at " + it.id.str()] =
          config.Resolve(LocationOfService(config, it, service.id), unix_ms);
    }
  }
  return out;
}

Resolved AtServers(const FleetConfig& config, int64_t unix_ms) {
  Resolved out;
  for (const Service& service : config.services) {
    for (const BackendServer& it : service.servers) {
      out["server " + it.id.str()] =
          config.Resolve(LocationOfServer(config, service.id, it), unix_ms);
    }
  }
  return out;
}

Resolved AtRegions(const FleetConfig& config, int64_t unix_ms) {
  Resolved out;
  for (const Region& it : config.regions) {
    for (const Service& service : config.services) {
      out["region " + it.id.str() + ", " + service.id.str()] =
          config.Resolve(LocationOfRegion(it.id, service.id), unix_ms);
    }
  }
  return out;
}

Resolved AtLinks(const FleetConfig& config, int64_t unix_ms) {
  Resolved out;
  for (const Link& it : config.links) {
    out["link " + it.from.str() + " to " + it.to.str()] =
        config.Resolve(LocationOfLink(it), unix_ms);
  }
  return out;
}

constexpr PlaceKind kPlaceKinds[] = {
    {TunableLocation::kHost, AtHosts},
    {TunableLocation::kHostOrServer, AtServers},
    {TunableLocation::kService, AtServices},
    {TunableLocation::kRegion, AtRegions},
    {TunableLocation::kLink, AtLinks},
};

// Whether a tunable is read at places of the kind that stands for `place`.
bool IsReadAt(const TunableSpec& spec, TunableLocation place) {
  const bool also_at_hosts = spec.location == TunableLocation::kHostOrServer &&
                             place == TunableLocation::kHost;
  return spec.location == place || also_at_hosts;
}

// Collects changes and joins those that are alike.
class ChangeTable {
 public:
  void Compare(const PlaceKind& kind,
               const Resolved& before,
               const Resolved& after) {
    for (const auto& [name, tunables] : after) {
      const auto it = before.find(name);
      if (it == before.end() || it->second == tunables)
        continue;
      for (const TunableSpec& spec : TunableTable()) {
        if (IsReadAt(spec, kind.place))
          Note(spec, name, it->second, tunables);
      }
    }
  }

  std::vector<TunableChange> Take() {
    std::vector<TunableChange> list;
    for (auto& [key, places] : places_) {
      list.push_back({std::get<0>(key), std::get<1>(key), std::get<2>(key),
                      std::move(places)});
    }
    return list;
  }

 private:
  void Note(const TunableSpec& spec,
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

// The hosts and servers that take work.
std::set<std::string> Working(const FleetConfig& config, int64_t unix_ms) {
  std::set<std::string> names;
  for (const auto& resolved :
       {AtHosts(config, unix_ms), AtServers(config, unix_ms)}) {
    for (const auto& [name, tunables] : resolved) {
      if (!tunables.drain)
        names.insert(name);
    }
  }
  return names;
}

std::vector<std::string> Without(const std::set<std::string>& all,
                                 const std::set<std::string>& taken) {
  std::vector<std::string> rest;
  for (const std::string& it : all) {
    if (taken.count(it) == 0)
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
  const auto working_before = Working(before, unix_ms);
  const auto working_after = Working(after, unix_ms);
  return {DiffConfigs(before, after), table.Take(),
          Without(working_before, working_after),
          Without(working_after, working_before)};
}

std::string DescribePreview(const Preview& preview) {
  std::string text = "Differences:\n";
  text += DescribeDifferences(preview.differences);
  if (!preview.tunables.empty())
    text += "In force by place:\n";
  for (const TunableChange& it : preview.tunables) {
    text += "  " + it.key + " " + it.before + " -> " + it.after + ": " +
            Join(it.places, kMaxShownPlaces) + "\n";
  }
  if (!preview.stop.empty())
    text += "Get no more work: " + Join(preview.stop, SIZE_MAX) + "\n";
  if (!preview.start.empty())
    text += "Get work: " + Join(preview.start, SIZE_MAX) + "\n";
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
