#include "src/daemon/service_state.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "include/steering/dispatcher_builder.h"
#include "include/steering/response_outcome.h"

namespace toucanknot {
namespace {

// A hedge sooner than this would not pay off.
constexpr Duration kMinHedgeDelay{5};

SteeringHooks MakeHooks(
    const ServiceId& service,
    const std::shared_ptr<SharedHealthTable>& health,
    const std::shared_ptr<SharedQuarantine>& quarantine,
    const std::shared_ptr<SharedForwardingLimits>& forwarding_limits) {
  SteeringHooks hooks;
  hooks.usable_share = [health, quarantine](const ServerId& server,
                                            Instant now) {
    if (quarantine->IsReserved(server, now))
      return 0.0;
    return health->With([&](HealthTable& it) {
      const double weight = it.Weight(server, now);
      return weight == 0 && it.TrialDue(server, now) ? kTrialUsableShare
                                                     : weight;
    });
  };
  hooks.on_request = [service, forwarding_limits](const DispatchRequest&,
                                                  Instant now) {
    forwarding_limits->OnRequest(service, now);
  };
  hooks.may_forward = [forwarding_limits](const RegionId& region,
                                          const DispatchRequest& item,
                                          Instant now) {
    return forwarding_limits->MayForward(region, item, now);
  };
  return hooks;
}

}  // namespace

ServiceState::ServiceState(
    ServiceId service,
    const HostId& host,
    uint64_t seed,
    std::shared_ptr<SharedForwardingLimits> forwarding_limits)
    : service_(std::move(service)),
      health_(std::make_shared<SharedHealthTable>(Tunables())),
      quarantine_(std::make_shared<SharedQuarantine>(host)),
      forwarding_limits_(std::move(forwarding_limits)),
      retry_budget_(Tunables().retry_ratio),
      hedge_budget_(Tunables().hedge_ratio),
      dispatcher_(std::make_shared<SharedDispatcher>(
          DispatcherBuilder()
              .SetService(service_)
              .SetHost(host)
              .SetSeed(seed)
              .SetHooks(
                  MakeHooks(service_, health_, quarantine_, forwarding_limits_))
              .Build())) {
  health_->With([&](HealthTable& it) {
    it.set_on_change([id = service_](const ServerId& server, ServerState from,
                                     ServerState to) {
      spdlog::info("server service={} id={} state={} was={}", id.str(),
                   server.str(), kServerStateNames.Name(to),
                   kServerStateNames.Name(from));
    });
  });
}

void ServiceState::OnConfig(const FleetConfigPtr& config,
                            const ServiceEntry& entry,
                            int64_t unix_ms,
                            Instant now) {
  std::vector<ServerId> servers;
  for (const BackendServer& it : entry.service.servers)
    servers.push_back(it.id);
  health_->With([&](HealthTable& it) {
    it.SetTunables(entry.tunables);
    it.SetServers(servers, now);
    for (const BackendServer& server : entry.service.servers) {
      Scope place;
      place.service = entry.service.id;
      place.zone = server.zone;
      place.region = config->RegionOf(server.zone);
      place.server = server.id;
      it.OnLeaving(server.id, LeavingSource::kException,
                   config->Resolve(place, unix_ms).drain, Duration(0), now);
    }
  });
  quarantine_->SetTunables(entry.tunables);
  {
    const std::lock_guard lock(retry_mutex_);
    retry_budget_.set_ratio(entry.tunables.retry_ratio);
    hedge_budget_.set_ratio(entry.tunables.hedge_ratio);
  }
  dispatcher_->Update(
      [&](Dispatcher& it, Instant at) { it.OnConfig(config, unix_ms, at); });
}

void ServiceState::OnProbe(const ServerProbe& probe,
                           const std::optional<LoadReport>& load,
                           Instant now) {
  health_->With([&](HealthTable& it) { it.OnProbe(probe, now); });
  if (!load)
    return;
  dispatcher_->Update(
      [&](Dispatcher& it, Instant at) { it.OnLoadReport(*load, at); });
}

void ServiceState::OnSent(uint64_t fingerprint,
                          const ServerId& server,
                          Instant now) {
  quarantine_->OnSent(fingerprint, server, now);
  health_->With([&](HealthTable& it) {
    if (it.TrialDue(server, now))
      it.BeginTrial(server, now);
  });
}

void ServiceState::OnAttempt(const AttemptResult& result, Instant now) {
  quarantine_->OnEnded(result, now);
  forwarding_limits_->OnEnded(service_, result, now);
  if (!result.server.empty()) {
    ServerResponseSample sample;
    sample.server = result.server;
    sample.outcome = OutcomeOf(result.end);
    sample.took = result.took;
    sample.sent_at = now - result.took;
    health_->With([&](HealthTable& it) { it.OnResponse(sample, now); });
  }
  if (result.end == AttemptEnd::kAnswered) {
    const std::lock_guard lock(retry_mutex_);
    retry_budget_.OnSuccess(now);
    hedge_budget_.OnSuccess(now);
    latency_.Add(result.took);
  }
}

void ServiceState::OnHostListed(const ServerId& server,
                                bool leaving,
                                Instant now) {
  health_->With([&](HealthTable& it) {
    it.OnLeaving(server, LeavingSource::kHostList, leaving, Duration(0), now);
  });
}

void ServiceState::OnPeerLoad(const PeerLoad& load, Instant now) {
  quarantine_->OnPeerLoad(load, now);
  dispatcher_->Update(
      [&](Dispatcher& it, Instant at) { it.OnPeerLoad(load, at); });
}

void ServiceState::OnPeerView(const ServerView& view, Instant now) {
  health_->With([&](HealthTable& it) { it.OnPeerView(view, now); });
}

void ServiceState::OnHosts(const std::vector<HostId>& live, Instant) {
  quarantine_->OnHosts(live);
  dispatcher_->Update(
      [&](Dispatcher& it, Instant at) { it.OnHosts(live, at); });
}

std::vector<ServerView> ServiceState::OwnView(Instant now) const {
  return health_->With([&](HealthTable& it) { return it.OwnView(now); });
}

ServerId ServiceState::FindServerToRunAlone(
    const std::vector<ServerId>& servers,
    Instant now) const {
  for (const ServerId& it : servers) {
    const double weight = health_->With(
        [&](HealthTable& table) { return table.Weight(it, now); });
    if (weight > 0 && !quarantine_->IsReserved(it, now))
      return it;
  }
  return ServerId();
}

bool ServiceState::TryAcquireRetry(Instant now) {
  const std::lock_guard lock(retry_mutex_);
  return retry_budget_.TryTake(now);
}

bool ServiceState::TryAcquireHedge(Instant now) {
  const std::lock_guard lock(retry_mutex_);
  return hedge_budget_.TryTake(now);
}

std::optional<Duration> ServiceState::HedgeAfter() const {
  const std::lock_guard lock(retry_mutex_);
  const auto p95 = latency_.P95();
  if (!p95)
    return std::nullopt;
  return std::max(*p95 + Duration(1), kMinHedgeDelay);
}

void ServiceState::Advance(Instant now) {
  health_->With([&](HealthTable& it) { it.Advance(now); });
}

std::string ServiceState::Explain(Instant now) const {
  const std::string health =
      health_->With([&](HealthTable& it) { return it.Explain(now); });
  return "{\"dispatcher\":" + dispatcher_->Explain() +
         ",\"servers\":" + health + "}";
}

}  // namespace toucanknot
