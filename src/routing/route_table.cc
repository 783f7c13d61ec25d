#include "include/routing/route_table.h"

#include <algorithm>
#include <boost/algorithm/string/case_conv.hpp>
#include <numeric>
#include <set>
#include <utility>

namespace toucanknot {

bool RouteTable::Apply(RouteConfigPtr config) {
  if (!config || !Supersedes(*config, config_.get()))
    return false;
  config_ = std::move(config);
  by_host_.clear();
  std::map<std::string, RoundRobin> round_robins;
  for (const Route& it : config_->routes) {
    by_host_[it.host_name][it.prefix] = &it;
    if (it.targets.size() < 2)
      continue;
    // A route with an unchanged split keeps its state.
    const auto old = round_robins_.find(it.name);
    if (old != round_robins_.end() && old->second.targets == it.targets)
      round_robins[it.name] = std::move(old->second);
    else
      round_robins[it.name] = {it.targets,
                               std::vector<double>(it.targets.size())};
  }
  round_robins_ = std::move(round_robins);
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
  // Prefixes end with a slash, so only substrings up to a slash can match.
  for (size_t end = path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
    const auto it = host->second.find(std::string(path.substr(0, end + 1)));
    if (it != host->second.end())
      return it->second;
  }
  return nullptr;
}

std::vector<RegionId> RouteTable::HomesOf(std::string_view host_name) const {
  const std::string name =
      boost::algorithm::to_lower_copy(std::string(host_name));
  const auto host =
      by_host_.find(std::string_view(name).substr(0, name.find(':')));
  if (host == by_host_.end())
    return {};
  std::set<RegionId> homes;
  for (const auto& [prefix, route] : host->second) {
    if (route->allowed_regions.empty())
      return {};
    homes.insert(route->allowed_regions.begin(), route->allowed_regions.end());
  }
  return {homes.begin(), homes.end()};
}

size_t RouteTable::RoundRobin::Next() {
  double total = 0;
  for (size_t i = 0; i < targets.size(); ++i) {
    credit[i] += targets[i].weight;
    total += targets[i].weight;
  }
  const auto best = std::max_element(credit.begin(), credit.end());
  *best -= total;
  return static_cast<size_t>(best - credit.begin());
}

const ServiceId& RouteTable::NextTarget(const Route& route) {
  const auto it = round_robins_.find(route.name);
  if (it == round_robins_.end() || it->second.targets != route.targets)
    return route.targets.front().service;
  return route.targets[it->second.Next()].service;
}

const ServiceId& RouteTable::PeekTarget(const Route& route) const {
  const auto it = round_robins_.find(route.name);
  if (it == round_robins_.end() || it->second.targets != route.targets)
    return route.targets.front().service;
  RoundRobin copy = it->second;
  return route.targets[copy.Next()].service;
}

}  // namespace toucanknot
