#include "src/steering/server_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace toucanknot {
namespace {

// Weight of a new response in the moving means.
constexpr double kServerMeanWeight = 0.05;
constexpr double kOverallMeanWeight = 0.01;
// Servers whose usable share is below this get trial requests only.
constexpr double kMaxTrialShare = 0.05;
// How long the requests of a lost host are assumed to keep running, in mean
// response times, and the upper bound.
constexpr double kOrphanMeans = 3;
constexpr Duration kOrphanLimit{2'000};

void Blend(double& mean, double sample, double weight) {
  mean = mean == 0 ? sample : mean + weight * (sample - mean);
}

}  // namespace

void ServerTable::SetServers(const std::vector<FleetView::Server>& servers) {
  std::vector<State> next;
  next.reserve(servers.size());
  for (const FleetView::Server& it : servers) {
    const size_t old = Find(it.id);
    next.push_back(old < size() ? std::move(states_[old]) : State{});
    next.back().info = it;
  }
  states_ = std::move(next);
}

size_t ServerTable::Find(const ServerId& id) const {
  const auto it =
      std::find_if(states_.begin(), states_.end(),
                   [&](const State& state) { return state.info.id == id; });
  return it - states_.begin();
}

void ServerTable::OnEnded(size_t server, const AttemptResult& result) {
  State& state = states_[server];
  state.own = std::max(state.own - 1, 0);
  if (result.end != AttemptEnd::kAnswered)
    return;
  const auto took = static_cast<double>(std::max<int64_t>(result.took.ms(), 1));
  Blend(state.mean_ms, took, kServerMeanWeight);
  Blend(mean_ms_, took, kOverallMeanWeight);
}

void ServerTable::OnReport(const LoadReport& report, Instant now) {
  const size_t i = Find(report.server);
  if (i == size())
    return;
  State& state = states_[i];
  const Instant at = now - report.age;
  if (at >= state.reported_at) {
    state.reported_at = at;
    state.reported = report.running + report.waiting;
  }
  // An older report must not revoke a newer one.
  if (at >= state.leaving_at || report.leaving) {
    state.leaving_at = std::max(state.leaving_at, at);
    state.leaving = report.leaving;
  }
}

void ServerTable::OnPeerLoad(const PeerLoad& load, Instant now) {
  const Instant at = now - load.age;
  for (State& state : states_) {
    auto& peers = state.peers;
    auto peer = std::find_if(peers.begin(), peers.end(), [&](const auto& p) {
      return p.host == load.host;
    });
    const auto reported = std::find_if(
        load.in_flight.begin(), load.in_flight.end(),
        [&](const auto& it) { return it.server == state.info.id; });
    const int requests =
        reported == load.in_flight.end() ? 0 : reported->requests;
    if (peer == peers.end()) {
      if (requests > 0)
        peers.push_back({load.host, requests, at});
    } else if (at >= peer->at) {
      *peer = {load.host, requests, at};
    }
  }
}

void ServerTable::SetLive(const std::vector<HostId>& live, Instant now) {
  for (State& state : states_) {
    for (PeerCount& it : state.peers) {
      const bool is_live =
          std::find(live.begin(), live.end(), it.host) != live.end();
      if (!is_live && !it.orphaned)
        it.at = now;
      it.orphaned = !is_live;
    }
  }
}

bool ServerTable::IsCounted(const PeerCount& peer,
                            const State& state,
                            Instant now) const {
  if (!peer.orphaned)
    return now - peer.at <= state.info.tunables.max_report_age;
  const double mean = state.mean_ms > 0 ? state.mean_ms : mean_ms_;
  const Duration hold(std::llround(mean * kOrphanMeans));
  return now - peer.at <= std::min(hold, kOrphanLimit);
}

int ServerTable::PeersInFlight(size_t server, Instant now) const {
  const State& state = states_[server];
  int sum = 0;
  for (const PeerCount& it : state.peers) {
    if (it.requests > 0 && IsCounted(it, state, now))
      sum += it.requests;
  }
  return sum;
}

bool ServerTable::IsTrial(size_t server, Instant now) const {
  const double weight = usable_(states_[server].info.id, now);
  return weight > 0 && weight < kMaxTrialShare;
}

int ServerTable::UsableSlots(size_t server, Instant now) const {
  const State& state = states_[server];
  if (state.leaving || state.info.tunables.drain)
    return 0;
  const double weight = usable_(state.info.id, now);
  if (weight <= 0)
    return 0;
  const int slots = static_cast<int>(std::ceil(state.info.slots * weight));
  return std::min(slots, state.info.connection_share);
}

int ServerTable::FreeSlots(size_t server, Instant now) const {
  const int slots = UsableSlots(server, now);
  return slots == 0 ? 0
                    : slots - states_[server].own - PeersInFlight(server, now);
}

}  // namespace toucanknot
