#include "include/routing/route_table.h"

#include <algorithm>
#include <boost/algorithm/string/case_conv.hpp>
#include <numeric>
#include <utility>

namespace toucanknot {

bool RouteTable::Apply(RouteConfigPtr config) {
  if (!config || config->version <= version())
    return false;
  config_ = std::move(config);
  by_host_.clear();
  std::map<std::string, Turn> turns;
  for (const Route& it : config_->routes) {
    by_host_[it.host_name][it.prefix] = &it;
    if (it.targets.size() < 2)
      continue;
    // A route whose split did not change goes on where it was.
    const auto old = turns_.find(it.name);
    if (old != turns_.end() && old->second.targets == it.targets)
      turns[it.name] = std::move(old->second);
    else
      turns[it.name] = {it.targets, std::vector<double>(it.targets.size())};
  }
  turns_ = std::move(turns);
  return true;
}

const Route* RouteTable::Find(std::string_view host_name,
                              std::string_view path) const {
  const std::string name =
      boost::algorithm::to_lower_copy(std::string(host_name));
  const auto host =
      by_host_.find(std::string_view(name).substr(0, name.find(':')));
  if (host == by_host_.end())
    return nullptr;
  path = path.substr(0, path.find('?'));
  // Prefixes end with a slash: only the cuts after a slash can match.
  for (size_t end = path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
    const auto it = host->second.find(std::string(path.substr(0, end + 1)));
    if (it != host->second.end())
      return it->second;
  }
  return nullptr;
}

const ServiceId& RouteTable::NextTarget(const Route& route) {
  const auto it = turns_.find(route.name);
  if (it == turns_.end() || it->second.targets != route.targets)
    return route.targets.front().service;
  Turn& turn = it->second;
  double total = 0;
  for (size_t i = 0; i < turn.targets.size(); ++i) {
    turn.credit[i] += turn.targets[i].weight;
    total += turn.targets[i].weight;
  }
  const auto best = std::max_element(turn.credit.begin(), turn.credit.end());
  *best -= total;
  return route.targets[best - turn.credit.begin()].service;
}

}  // namespace toucanknot
