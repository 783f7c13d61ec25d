// JSON explanations of the decisions of Placer.

#include <boost/json.hpp>
#include <string>
#include <utility>

#include "include/placing/placer.h"

namespace toucanknot {

void Placer::Look(const PlacementRequest& request,
                  const std::function<void(const QueuedRequest&)>& look,
                  Instant now) {
  const bool knew_route = times_.contains(request.route->name);
  const bool knew_service = services_.contains(request.service);
  const uint64_t order = next_order_;
  Service& service = ServiceOf(request.service);
  const Demand demand = service.demand;
  const ServiceView::Measurement measurement = service.view->measurement();
  const QueuedRequest waiting = MakeQueuedRequest(request);
  service.demand.Add(times_.at(waiting.route_name).warm(), now);
  look(waiting);
  service.demand = demand;
  service.view->set_measurement(measurement);
  next_order_ = order;
  if (!knew_service)
    services_.erase(request.service);
  if (!knew_route)
    times_.erase(waiting.route_name);
}

Placement Placer::Preview(const PlacementRequest& request, Instant now) {
  Placement out;
  Look(
      request,
      [&](const QueuedRequest& waiting) {
        out =
            Judge(waiting, Choose(waiting, now), QueuedAhead(waiting, now), now)
                .placement;
      },
      now);
  return out;
}

std::string Placer::ExplainRequest(const PlacementRequest& request,
                                   Instant now) {
  boost::json::object out;
  Look(
      request,
      [&](const QueuedRequest& waiting) {
        const WorkTimes& times = times_.at(waiting.route_name);
        double utilization = 0;
        boost::json::array servers;
        for (Candidate& it : Candidates(waiting, utilization, now)) {
          EstimateCost(waiting, times, it, now);
          boost::json::object row{{"server", it.server->entry->entry.id.str()},
                                  {"zone", it.server->entry->entry.zone.str()},
                                  {"slots", it.server->entry->entry.slots},
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
                                  {"full", it.full}};
          if (const auto rate = MaxRate(request.service, *it.server, now))
            row["most_per_s"] = *rate;
          servers.push_back(std::move(row));
        }
        const Choice choice = Choose(waiting, now);
        const int ahead = QueuedAhead(waiting, now);
        const Placement placement =
            Judge(waiting, choice, ahead, now).placement;
        const bool found = choice.best.server != nullptr;
        out = {
            {"server", found ? choice.best.server->entry->entry.id.str() : ""},
            {"service", request.service.str()},
            {"step", kPlacementStepNames.Name(placement.step)},
            {"priority", waiting.priority},
            {"queued_ahead", ahead},
            {"filled", utilization},
            {"warm_ms", times.warm()},
            {"cold_ms", times.cold()},
            {"hosts", host_count_},
            {"sheets", peers_.fresh_hosts()},
            {"weighed", std::move(servers)}};
        if (placement.step == PlacementStep::kRefuse) {
          out["refusal"] = kPlacementRefusalNames.Name(placement.refusal);
          out["retry_after_ms"] = placement.retry_after.ms();
        }
      },
      now);
  return boost::json::serialize(out);
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
