#include "bench/steering/host_limits.h"

#include "include/config/locations.h"
#include "include/steering/response_outcome.h"

namespace toucanknot::bench {
HostLimits::HostLimits(const Deployment& deployment,
                       const HostId& host,
                       Instant now)
    : gate_(host) {
  const FleetConfig& config = *deployment.config;
  const RegionId region = config.RegionOf(config.FindHost(host)->zone);
  for (const Service& service : config.services) {
    const Tunables tunables =
        config.Resolve(LocationOfRegion(region, service.id), 0);
    health_.push_back(std::make_unique<HealthTable>(tunables));
    std::vector<ServerId> servers;
    for (const BackendServer& it : service.servers) {
      if (config.RegionOf(it.zone) == region)
        servers.push_back(it.id);
    }
    health_.back()->SetServers(servers, now);
  }
  gate_.OnConfig(deployment.config, 0, now);
}

SteeringHooks HostLimits::HooksFor(size_t service) {
  SteeringHooks hooks;
  hooks.usable_share = [this, service](const ServerId& server, Instant now) {
    HealthTable& health = *health_[service];
    const double weight = health.Weight(server, now);
    return weight > 0 || !health.TrialDue(server, now) ? weight
                                                       : kTrialUsableShare;
  };
  hooks.on_request = [this](const DispatchRequest& request, Instant now) {
    gate_.OnRequest(request, now);
  };
  hooks.may_forward = [this](const RegionId& region,
                             const DispatchRequest& request, Instant now) {
    return gate_.TryForward(region, request, now);
  };
  return hooks;
}

void HostLimits::OnSent(size_t service, const ServerId& server, Instant now) {
  if (health_[service]->StateOf(server) == ServerState::kEjected)
    health_[service]->BeginTrial(server, now);
}

void HostLimits::OnAttempt(size_t service,
                           const AttemptResult& result,
                           Instant sent_at,
                           Instant now) {
  health_[service]->OnResponse({.server = result.server,
                                .outcome = OutcomeOf(result.end),
                                .took = result.took,
                                .sent_at = sent_at},
                               now);
}

void HostLimits::OnForwardingEnded(uint64_t request_id,
                                   int64_t response_bytes,
                                   Instant now) {
  gate_.OnForwardingEnded(request_id, response_bytes, now);
}

void HostLimits::OnProbe(size_t service,
                         const ServerProbe& probe,
                         Instant now) {
  health_[service]->OnProbe(probe, now);
}

void HostLimits::OnLeaving(size_t service,
                           const ServerId& server,
                           Instant now) {
  health_[service]->OnLeaving(server, LeavingSource::kHostList, true,
                              Duration(), now);
}

void HostLimits::Advance(Instant now) {
  for (const auto& it : health_)
    it->Advance(now);
}

}  // namespace toucanknot::bench
