// JSON explanations of the decisions of Placer.

#include <boost/json.hpp>
#include <string>
#include <utility>

#include "include/placing/placer.h"

namespace toucanknot {

std::string Placer::ExplainRequest(const PlacementRequest& request,
                                   Instant now) {
  const QueuedRequest waiting = MakeQueuedRequest(request);
  const WorkTimes& times = times_.at(waiting.route_name);
  double utilization = 0;
  boost::json::array servers;
  for (Candidate& it : Candidates(waiting, utilization, now)) {
    EstimateCost(waiting, times, it, now);
    servers.push_back({{"server", it.server->entry->entry.id.str()},
                       {"zone", it.server->entry->entry.zone.str()},
                       {"rank", it.rank},
                       {"cost_ms", it.cost},
                       {"expected_ms", it.expected_ms},
                       {"busy", it.busy},
                       {"wait_ms", it.wait_ms},
                       {"slowness", it.slowness},
                       {"speed_factor", it.speed_factor},
                       {"rtt_ms", it.server->rtt},
                       {"at_hand", it.warm},
                       {"cold", it.cold},
                       {"full", it.full}});
  }
  const Choice choice = Choose(waiting, now);
  const bool found = choice.best.server != nullptr;
  return boost::json::serialize(boost::json::value{
      {"server", found ? choice.best.server->entry->entry.id.str() : ""},
      {"service", request.service.str()},
      {"filled", utilization},
      {"warm_ms", times.warm()},
      {"cold_ms", times.cold()},
      {"hosts", host_count_},
      {"sheets", peers_.fresh_hosts()},
      {"weighed", std::move(servers)}});
}

std::string Placer::Explain(const ServiceId& service, Instant now) const {
  boost::json::array servers;
  for (const ServerRegistry::Server* it : registry_.UsableServers(service)) {
    boost::json::object row{{"server", it->entry.id.str()},
                            {"zone", it->entry.zone.str()},
                            {"slots", it->entry.slots},
                            {"seen_ms_ago", (now - it->seen_at).ms()},
                            {"cold", now < it->cold_until}};
    if (const auto load = loads_.find(it->entry.id); load != loads_.end()) {
      row["in_flight"] = load->second->in_flight();
      row["busy"] = Busy(*load->second, now);
      row["slowness"] = load->second->Slowness(now);
      row["failure_rate"] = load->second->FailureRate(now);
      row["suspended"] = load->second->IsSuspended(now);
    }
    servers.push_back(std::move(row));
  }
  return boost::json::serialize(servers);
}

}  // namespace toucanknot
