#include "include/health/health_table.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

namespace toucanknot {
namespace {

// Servers with a mean response time that are needed for a median.
constexpr size_t kMinServersForMedian = 3;

}  // namespace

HealthTable::HealthTable(const Tunables& tunables)
    : options_(HealthOptions::From(tunables)),
      max_ejected_share_(tunables.max_ejected_share) {}

void HealthTable::SetTunables(const Tunables& tunables) {
  options_ = HealthOptions::From(tunables);
  max_ejected_share_ = tunables.max_ejected_share;
}

void HealthTable::SetServers(const std::vector<ServerId>& servers,
                             Instant now) {
  std::vector<ServerHealth> next;
  next.reserve(servers.size());
  for (const ServerId& it : servers) {
    if (ServerHealth* old = Find(it)) {
      next.push_back(std::move(*old));
      continue;
    }
    next.emplace_back(it);
    if (first_servers_)
      next.back().MarkWarm();
    else
      next.back().MarkCold(now);
  }
  servers_ = std::move(next);
  index_.clear();
  for (size_t i = 0; i < servers_.size(); ++i)
    index_[servers_[i].id()] = i;
  first_servers_ = first_servers_ && servers.empty();
  Advance(now);
}

void HealthTable::OnResponse(const ServerResponseSample& response,
                             Instant now) {
  if (ServerHealth* it = Find(response.server))
    ApplyAction(it, it->OnResponse(response, options_, now), now);
}

void HealthTable::OnProbe(const ServerProbe& probe, Instant now) {
  if (ServerHealth* it = Find(probe.server))
    ApplyAction(it, it->OnProbe(probe, options_, now), now);
}

void HealthTable::OnPeerView(const ServerView& view, Instant now) {
  if (ServerHealth* it = Find(view.server))
    ApplyAction(it, it->OnPeerView(view, options_, now), now);
}

void HealthTable::OnLeaving(const ServerId& server,
                            LeavingSource source,
                            bool leaving,
                            Duration age,
                            Instant now) {
  if (ServerHealth* it = Find(server))
    ApplyAction(it, it->OnLeaving(source, leaving, now - age), now);
}

void HealthTable::Advance(Instant now) {
  const double median = MedianResponseTime();
  for (ServerHealth& it : servers_) {
    const ServerState before = it.state();
    const HealthAction slow = it.CompareWithMedian(median);
    const HealthAction action = it.Advance(options_, now);
    if (it.state() != before && on_change_)
      on_change_(it.id(), before, it.state());
    ApplyAction(&it, slow != HealthAction::kNone ? slow : action, now);
  }
}

double HealthTable::Weight(const ServerId& server, Instant now) const {
  const ServerHealth* it = Find(server);
  return it ? it->Weight(options_, now) : 0;
}

ServerState HealthTable::StateOf(const ServerId& server) const {
  const ServerHealth* it = Find(server);
  return it ? it->state() : ServerState::kLeaving;
}

bool HealthTable::TrialDue(const ServerId& server, Instant now) const {
  const ServerHealth* it = Find(server);
  return it && it->TrialDue(options_, now);
}

void HealthTable::BeginTrial(const ServerId& server, Instant now) {
  if (ServerHealth* it = Find(server))
    it->BeginTrial(now);
}

std::vector<ServerView> HealthTable::OwnView(Instant now) const {
  std::vector<ServerView> views;
  for (const ServerHealth& it : servers_) {
    if (it.state() == ServerState::kEjected ||
        it.state() == ServerState::kLeaving)
      views.push_back({it.id(), it.state(), it.SignalAge(now)});
  }
  return views;
}

int HealthTable::ejected() const {
  return static_cast<int>(std::count_if(
      servers_.begin(), servers_.end(),
      [](const auto& it) { return it.state() == ServerState::kEjected; }));
}

std::string HealthTable::Explain(Instant now) const {
  boost::json::array servers;
  for (const ServerHealth& it : servers_)
    servers.push_back(boost::json::parse(it.Explain(options_, now)));
  return boost::json::serialize(
      boost::json::object{{"ejected", ejected()},
                          {"median_took_ms", MedianResponseTime()},
                          {"servers", std::move(servers)}});
}

ServerHealth* HealthTable::Find(const ServerId& server) {
  const auto it = index_.find(server);
  return it == index_.end() ? nullptr : &servers_[it->second];
}

const ServerHealth* HealthTable::Find(const ServerId& server) const {
  const auto it = index_.find(server);
  return it == index_.end() ? nullptr : &servers_[it->second];
}

void HealthTable::ApplyAction(ServerHealth* server,
                              HealthAction action,
                              Instant now) {
  if (server->leaving_signals().leaving())
    Apply(server, ServerSignal::kLeave, now);
  switch (action) {
    case HealthAction::kNone:
      break;
    case HealthAction::kDoubt:
      Apply(server, ServerSignal::kDoubt, now);
      break;
    case HealthAction::kEject:
      Apply(server,
            MayEjectMore() ? ServerSignal::kEject : ServerSignal::kDoubt, now);
      break;
    case HealthAction::kRecover:
      Apply(server,
            server->state() == ServerState::kEjected
                ? ServerSignal::kTrialsPassed
                : ServerSignal::kRecovered,
            now);
      break;
    case HealthAction::kReturn:
      Apply(server, ServerSignal::kReturn, now);
      break;
  }
}

void HealthTable::Apply(ServerHealth* server,
                        ServerSignal signal,
                        Instant now) {
  const ServerState before = server->state();
  if (server->Apply(signal, options_, now) && on_change_)
    on_change_(server->id(), before, server->state());
}

bool HealthTable::MayEjectMore() const {
  const auto staying = std::count_if(
      servers_.begin(), servers_.end(),
      [](const auto& it) { return it.state() != ServerState::kLeaving; });
  const double limit = max_ejected_share_ * static_cast<double>(staying);
  return ejected() + 1 <= limit;
}

double HealthTable::MedianResponseTime() const {
  std::vector<double> means;
  for (const ServerHealth& it : servers_) {
    if (it.MeanResponseTime() > 0 && it.state() != ServerState::kEjected)
      means.push_back(it.MeanResponseTime());
  }
  if (means.size() < kMinServersForMedian)
    return 0;
  const auto middle = means.begin() + static_cast<int64_t>(means.size() / 2);
  std::nth_element(means.begin(), middle, means.end());
  return *middle;
}

}  // namespace toucanknot
