#include "bench/steering/host_limits.h"

#include <algorithm>

#include "include/config/places.h"

namespace toucanknot::bench {
namespace {

// Parts of a link's direction for bodies that leave over it and for answers to
// requests that came over the other direction.
constexpr double kBodiesPart = 0.25;
constexpr double kAnswersPart = 0.75;
// Usable part of an ejected server that is due for a trial.
constexpr double kTrialPart = 0.01;

AnswerOutcome OutcomeOf(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kAnswered:
      return AnswerOutcome::kSuccess;
    case AttemptEnd::kShed:
    case AttemptEnd::kCancelled:
      return AnswerOutcome::kNeutral;
    default:
      return AnswerOutcome::kFailure;
  }
}

}  // namespace

HostLimits::HostLimits(const Deployment& deployment,
                       const HostId& host,
                       Instant now)
    : deployment_(deployment), classes_(deployment.config->refusal_order) {
  const FleetConfig& config = *deployment.config;
  const RegionId region = config.RegionOf(config.FindHost(host)->zone);
  for (const Service& service : config.services) {
    const Tunables tunables =
        config.Resolve(PlaceOfRegion(region, service.id), 0);
    health_.push_back(std::make_unique<HealthTable>(tunables));
    std::vector<ServerId> servers;
    for (const BackendServer& it : service.servers) {
      if (config.RegionOf(it.zone) == region)
        servers.push_back(it.id);
    }
    health_.back()->SetServers(servers, now);
    shifts_.push_back(std::make_unique<ShiftLimiter>(tunables.shift_share,
                                                     tunables.shift_interval));
  }
  const auto hosts = std::count_if(
      config.hosts.begin(), config.hosts.end(),
      [&](const EntryHost& it) { return config.RegionOf(it.zone) == region; });
  for (const Link& it : config.links) {
    if (it.from != region)
      continue;
    const Tunables tunables = config.Resolve(PlaceOfLink(it), 0);
    const double rate =
        it.mbit_per_s * tunables.link_load_limit / static_cast<double>(hosts);
    links_[it.to].SetRates(rate * kBodiesPart, rate * kAnswersPart, now);
  }
}

SteeringHooks HostLimits::HooksFor(size_t service) {
  SteeringHooks hooks;
  hooks.usable = [this, service](const ServerId& server, Instant now) {
    HealthTable& health = *health_[service];
    const double weight = health.Weight(server, now);
    return weight > 0 || !health.TrialDue(server, now) ? weight : kTrialPart;
  };
  hooks.on_request = [this, service](const WorkItem&, Instant now) {
    shifts_[service]->OnRequest(now);
  };
  hooks.may_pass = [this, service](const RegionId& region, const WorkItem&,
                                   Instant now) {
    return MayPass(service, region, now);
  };
  return hooks;
}

Refusal HostLimits::MayPass(size_t service,
                            const RegionId& region,
                            Instant now) {
  const Traffic& traffic = deployment_.traffic[service];
  const std::string& work_class =
      deployment_.config->services[service].work_class;
  if (!classes_.Admit(work_class, now))
    return Refusal::kClass;
  LinkLimiter& link = links_[region];
  if (!link.TryReserve(traffic.request_bytes, traffic.answer_bytes, now)) {
    classes_.OnShort(work_class, now);
    return Refusal::kLinkLimit;
  }
  if (shifts_[service]->TryMove(now))
    return Refusal::kNone;
  link.Settle(traffic.answer_bytes, 0, now);
  return Refusal::kShiftLimit;
}

void HostLimits::OnSent(size_t service, const ServerId& server, Instant now) {
  if (health_[service]->StateOf(server) == ServerState::kEjected)
    health_[service]->BeginTrial(server, now);
}

void HostLimits::OnAttempt(size_t service,
                           const AttemptResult& result,
                           Instant sent_at,
                           Instant now) {
  health_[service]->OnAnswer({.server = result.server,
                              .outcome = OutcomeOf(result.end),
                              .took = result.took,
                              .sent_at = sent_at},
                             now);
}

void HostLimits::OnPassEnded(const RegionId& region,
                             size_t service,
                             Instant now) {
  const int64_t bytes = deployment_.traffic[service].answer_bytes;
  links_[region].Settle(bytes, bytes, now);
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
