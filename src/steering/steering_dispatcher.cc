#include "src/steering/steering_dispatcher.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <utility>

namespace toucanknot {
namespace {

// How often waiting requests are reconsidered while no request of this host
// ends.
constexpr Duration kQueuePollInterval{10};

// Requests of other regions are accepted while the expected wait is at most
// this many mean response times.
constexpr double kMaxCrossedWaitMeans = 0.5;

bool CameFromOtherRegion(const DispatchRequest& request) {
  return request.hop == Hop::kCrossed || request.hop == Hop::kCrossedInRegion;
}

bool MayForwardInRegion(const DispatchRequest& request) {
  return (request.hop == Hop::kCaller || request.hop == Hop::kCrossed);
}

bool MayForwardToOtherRegion(const DispatchRequest& request) {
  return !CameFromOtherRegion(request);
}

}  // namespace

SteeringDispatcher::SteeringDispatcher(Parts parts)
    : parts_(std::move(parts)),
      servers_(parts_.hooks.usable_share),
      queue_(parts_.order),
      crossed_(parts_.order),
      shifter_(parts_.hooks.may_forward),
      picker_(MakePicker(
          parts_.policy,
          {.own = parts_.own,
           .view = [this] { return view_.get(); },
           .servers = &servers_,
           .hosts = &hosts_,
           .waiting = [this] { return static_cast<int>(queue_.size()); },
           .seed = parts_.seed})) {
  hosts_.SetLive({parts_.own});
}

DispatchDecision SteeringDispatcher::Offer(const DispatchRequest& request,
                                           Instant now) {
  last_now_ = now;
  if (!view_)
    return Refuse(request, Refusal::kNoServer);
  UpdateLoad(now);
  if (suspension_ends_at_ <= now)
    RefreshHomes(now);
  const Refusal refusal = parts_.hooks.admit(request, now);
  if (refusal != Refusal::kNone)
    return Refuse(request, refusal);
  if (const std::optional<DispatchDecision> decision = Decide(request, now))
    return *decision;
  (CameFromOtherRegion(request) ? crossed_ : queue_).Push(request, now);
  SetWake(now);
  return {.request_id = request.id, .step = Step::kWait};
}

std::optional<DispatchDecision> SteeringDispatcher::Decide(
    const DispatchRequest& request,
    Instant now) {
  if (now >= request.deadline)
    return Refuse(request, Refusal::kDeadline);
  const bool may_forward = MayForwardInRegion(request);
  Pick pick{.kind = Pick::Kind::kWait};
  // Waiting requests go first.
  if (queue_.empty() || may_forward)
    pick = picker_->Choose(request, may_forward, now);
  if (pick.kind == Pick::Kind::kHost) {
    const bool crossed = CameFromOtherRegion(request);
    return Forward(request, pick.host,
                   crossed ? Hop::kCrossedInRegion : Hop::kInRegion);
  }
  if (!queue_.empty() && pick.kind == Pick::Kind::kServer)
    pick.kind = Pick::Kind::kWait;
  const bool first = request.avoid.empty() && request.avoid_hosts.empty();
  if (first && MayForwardToOtherRegion(request))
    parts_.hooks.on_request(request, now);
  return DecideHere(request, pick, now);
}

std::optional<DispatchDecision> SteeringDispatcher::DecideHere(
    const DispatchRequest& request,
    const Pick& pick,
    Instant now) {
  if (CameFromOtherRegion(request))
    return DecideCrossed(request, pick, now);
  if (pick.kind == Pick::Kind::kServer)
    return Send(request, pick.server);

  const double wait_ms = ExpectedWaitMs(now);
  const bool no_server =
      pick.kind == Pick::Kind::kNoServer || OwnSlots(now) == 0;
  const Duration needed(std::llround(wait_ms + servers_.mean_ms()));
  const bool late = now + needed >= request.deadline;
  const bool stands =
      standing_queue_.ShouldRefuse(wait_ms, servers_.mean_ms(), now);
  const bool full = stands || static_cast<int64_t>(queue_.size()) >=
                                  view_->tunables().max_queue;
  RegionShifter::Choice choice;
  if (MayForwardToOtherRegion(request)) {
    choice = shifter_.Choose(*view_, hosts_, request,
                             {.must = no_server || late || full,
                              .wait_ms = wait_ms,
                              .mean_ms = servers_.mean_ms()},
                             now);
    if (!choice.host.empty())
      return Forward(request, choice.host, Hop::kCrossed);
  }
  if (!no_server && !late && !full)
    return std::nullopt;
  if (choice.refusal != Refusal::kNone)
    return Refuse(request, choice.refusal);
  if (no_server)
    return Refuse(request, Refusal::kNoServer);
  return Refuse(request, late ? Refusal::kDeadline : Refusal::kQueueFull);
}

DispatchDecision SteeringDispatcher::Send(const DispatchRequest& request,
                                          size_t server) {
  servers_.OnStarted(server);
  in_flight_[request.id] = {.server = server};
  return {.request_id = request.id,
          .step = Step::kSend,
          .server = servers_.at(server).info.id};
}

DispatchDecision SteeringDispatcher::Forward(const DispatchRequest& request,
                                             const HostId& host,
                                             Hop hop) {
  hosts_.OnForwarded(host);
  in_flight_[request.id] = {.host = host};
  return {.request_id = request.id,
          .step = Step::kForward,
          .host = host,
          .hop = hop};
}

DispatchDecision SteeringDispatcher::Refuse(const DispatchRequest& request,
                                            Refusal refusal) {
  return {.request_id = request.id, .step = Step::kRefuse, .refusal = refusal};
}

bool SteeringDispatcher::CrossedMayStart(Instant now) const {
  const double limit = view_->own_region().load_limit * OwnSlots(now);
  return queue_.empty() && OwnInFlight() + 1 <= limit;
}

bool SteeringDispatcher::CrossedMayWait(const DispatchRequest& request,
                                        Instant now) const {
  const double limit = view_->own_region().load_limit * OwnSlots(now);
  const double wait_ms = ExpectedWaitMs(now);
  const Duration needed(std::llround(wait_ms + servers_.mean_ms()));
  return load_.mean() < limit &&
         wait_ms <= servers_.mean_ms() * kMaxCrossedWaitMeans &&
         now + needed < request.deadline;
}

std::optional<DispatchDecision> SteeringDispatcher::DecideCrossed(
    const DispatchRequest& request,
    const Pick& pick,
    Instant now) {
  if (pick.kind == Pick::Kind::kNoServer)
    return Refuse(request, Refusal::kNoServer);
  if (!parts_.hooks.region_has_capacity(request, now))
    return Refuse(request, Refusal::kRegionLimit);
  if (pick.kind == Pick::Kind::kServer && crossed_.empty() &&
      CrossedMayStart(now))
    return Send(request, pick.server);
  if (CrossedMayWait(request, now))
    return std::nullopt;
  return Refuse(request, Refusal::kRegionLimit);
}

void SteeringDispatcher::UpdateLoad(Instant now) {
  const size_t waiting = queue_.size() + crossed_.size();
  load_.Update(OwnInFlight() + static_cast<double>(waiting), now);
}

double SteeringDispatcher::ExpectedWaitMs(Instant now) const {
  const int slots = OwnSlots(now);
  const auto ahead = static_cast<double>(queue_.size() + crossed_.size() + 1);
  return slots == 0 ? 0 : ahead * servers_.mean_ms() / slots;
}

int SteeringDispatcher::OwnSlots(Instant now) const {
  int slots = 0;
  for (size_t i = 0; i < servers_.size(); ++i) {
    if (picker_->MaySendTo(i))
      slots += picker_->UsableSlots(i, now);
  }
  return slots;
}

int SteeringDispatcher::OwnInFlight() const {
  int sum = 0;
  for (size_t i = 0; i < servers_.size(); ++i)
    sum += servers_.at(i).own;
  return sum;
}

void SteeringDispatcher::Withdraw(uint64_t request_id, Instant now) {
  last_now_ = now;
  queue_.Remove(request_id);
  crossed_.Remove(request_id);
}

void SteeringDispatcher::Finish(const AttemptResult& result, Instant now) {
  last_now_ = now;
  const auto it = in_flight_.find(result.request_id);
  if (it == in_flight_.end())
    return;
  UpdateLoad(now);
  const InFlight in_flight = it->second;
  in_flight_.erase(it);
  if (in_flight.host.empty()) {
    if (in_flight.server < servers_.size())
      servers_.OnEnded(in_flight.server, result);
    return;
  }
  const FleetView::RegionView* region = view_->RegionOfHost(in_flight.host);
  if (region && region != &view_->own_region())
    shifter_.OnEnded(region->id, result.end, now);
  if (result.end == AttemptEnd::kNotSent || result.end == AttemptEnd::kBroken) {
    hosts_.Suspend(in_flight.host, now);
    RefreshHomes(now);
  }
}

std::vector<DispatchDecision> SteeringDispatcher::Advance(Instant now) {
  last_now_ = now;
  std::vector<DispatchDecision> decisions;
  if (!view_)
    return decisions;
  if (suspension_ends_at_ <= now)
    RefreshHomes(now);
  RefuseLate(&queue_, now, &decisions);
  RefuseLate(&crossed_, now, &decisions);
  StartWaiting(now, &decisions);
  StartCrossed(now, &decisions);
  SetWake(now);
  return decisions;
}

void SteeringDispatcher::RefuseLate(WaitQueue* queue,
                                    Instant now,
                                    std::vector<DispatchDecision>* decisions) {
  // Refuse requests that can no longer complete in time, so that they free the
  // queue.
  const Duration needed(std::llround(servers_.mean_ms() / 2));
  while (const auto late = queue->TakeExpired(now + needed))
    decisions->push_back(Refuse(*late, Refusal::kDeadline));
}

void SteeringDispatcher::StartWaiting(
    Instant now,
    std::vector<DispatchDecision>* decisions) {
  while (const DispatchRequest* next = queue_.Next(now)) {
    const Pick pick = picker_->Choose(*next, MayForwardInRegion(*next), now);
    if (pick.kind == Pick::Kind::kWait)
      return;
    const DispatchRequest request = *next;
    queue_.Remove(request.id);
    if (pick.kind == Pick::Kind::kServer)
      decisions->push_back(Send(request, pick.server));
    else if (pick.kind == Pick::Kind::kHost)
      decisions->push_back(Forward(request, pick.host, Hop::kInRegion));
    else if (const auto decision = DecideHere(request, pick, now))
      decisions->push_back(*decision);
  }
}

void SteeringDispatcher::StartCrossed(
    Instant now,
    std::vector<DispatchDecision>* decisions) {
  while (!crossed_.empty() && CrossedMayStart(now)) {
    const DispatchRequest request = *crossed_.Next(now);
    const Pick pick =
        picker_->Choose(request, MayForwardInRegion(request), now);
    if (pick.kind == Pick::Kind::kWait)
      return;
    crossed_.Remove(request.id);
    if (pick.kind == Pick::Kind::kServer)
      decisions->push_back(Send(request, pick.server));
    else if (pick.kind == Pick::Kind::kHost)
      decisions->push_back(Forward(request, pick.host, Hop::kCrossedInRegion));
    else
      decisions->push_back(Refuse(request, Refusal::kNoServer));
  }
}

void SteeringDispatcher::SetWake(Instant now) {
  const Instant deadline =
      std::min(queue_.EarliestDeadline(), crossed_.EarliestDeadline());
  const bool waiting = !queue_.empty() || !crossed_.empty();
  wake_ =
      waiting ? std::min(deadline, now + kQueuePollInterval) : Instant::Never();
}

void SteeringDispatcher::OnLoadReport(const LoadReport& report, Instant now) {
  last_now_ = now;
  servers_.OnReport(report, now);
}

void SteeringDispatcher::OnPeerLoad(const PeerLoad& load, Instant now) {
  last_now_ = now;
  if (load.host == parts_.own)
    return;
  servers_.OnPeerLoad(load, now);
  hosts_.OnPeerLoad(load, now);
  if (suspension_ends_at_ < Instant::Never())
    RefreshHomes(now);
  if (!queue_.empty())
    wake_ = now;
}

void SteeringDispatcher::OnHosts(const std::vector<HostId>& live, Instant now) {
  last_now_ = now;
  std::vector<HostId> all = live;
  if (std::find(all.begin(), all.end(), parts_.own) == all.end())
    all.push_back(parts_.own);
  hosts_.SetLive(all);
  servers_.SetLive(all, now);
  RefreshHomes(now);
}

void SteeringDispatcher::RefreshHomes(Instant now) {
  if (view_)
    view_->SetLive(hosts_.Usable(now));
  suspension_ends_at_ = hosts_.NextSuspensionEnd(now);
  if (!queue_.empty())
    wake_ = now;
}

void SteeringDispatcher::OnConfig(const FleetConfigPtr& config,
                                  int64_t unix_ms,
                                  Instant now) {
  last_now_ = now;
  std::vector<ServerId> old;
  for (size_t i = 0; i < servers_.size(); ++i)
    old.push_back(servers_.at(i).info.id);
  view_ = std::make_unique<FleetView>(*config, parts_.service, parts_.own,
                                      PoolSlots(parts_.policy), unix_ms);
  servers_.SetServers(view_->own_region().servers);
  for (auto& [id, in_flight] : in_flight_) {
    if (in_flight.host.empty() && in_flight.server < old.size())
      in_flight.server = servers_.Find(old[in_flight.server]);
  }
  RefreshHomes(now);
}

PeerLoad SteeringDispatcher::OwnLoad() const {
  PeerLoad load{.host = parts_.own};
  if (!view_)
    return load;
  for (size_t i = 0; i < servers_.size(); ++i) {
    if (servers_.at(i).own > 0)
      load.in_flight.push_back({servers_.at(i).info.id, servers_.at(i).own});
  }
  load.waiting = static_cast<int>(queue_.size() + crossed_.size());
  for (size_t i = 0; i < servers_.size(); ++i) {
    if (!picker_->IsHomeOf(i))
      continue;
    load.slots += picker_->UsableSlots(i, last_now_);
    load.free_slots += std::max(picker_->FreeSlots(i, last_now_), 0);
  }
  return load;
}

std::string SteeringDispatcher::Explain(Instant now) const {
  boost::json::object out{{"service", parts_.service.str()},
                          {"host", parts_.own.str()},
                          {"policy", kPolicyNames.Name(parts_.policy)},
                          {"waiting", queue_.size()},
                          {"waiting_of_other_regions", crossed_.size()},
                          {"oldest_wait_ms", queue_.OldestWait(now).ms()},
                          {"mean_ms", servers_.mean_ms()}};
  if (!view_)
    return boost::json::serialize(out);
  out["expected_wait_ms"] = ExpectedWaitMs(now);
  boost::json::array servers;
  for (size_t i = 0; i < servers_.size(); ++i) {
    const ServerTable::State& state = servers_.at(i);
    boost::json::object server{
        {"server", state.info.id.str()},
        {"home", view_->own_region().pools[view_->PoolOf(i)].home.str()},
        {"slots", state.info.slots},
        {"usable_slots", servers_.UsableSlots(i, now)},
        {"own", state.own},
        {"peers", servers_.PeersInFlight(i, now)},
        {"free", servers_.FreeSlots(i, now)},
        {"leaving", state.leaving},
        {"mean_ms", state.mean_ms}};
    if (state.reported_at.ms() >= 0) {
      server["reported"] = state.reported;
      server["reported_age_ms"] = (now - state.reported_at).ms();
    }
    servers.push_back(std::move(server));
  }
  out["servers"] = std::move(servers);
  boost::json::array hosts;
  for (const HostTable::State& it : hosts_.states()) {
    boost::json::object host{{"host", it.id.str()},
                             {"live", hosts_.IsLive(it.id)},
                             {"suspended", it.suspended_until > now}};
    if (it.slots > 0) {
      host["waiting"] = it.waiting;
      host["free_slots"] = it.free_slots;
      host["passed_since"] = it.forwarded;
      host["age_ms"] = (now - it.at).ms();
    }
    hosts.push_back(std::move(host));
  }
  out["hosts"] = std::move(hosts);
  boost::json::array shifts;
  for (const RegionShifter::Window& it : shifter_.windows()) {
    shifts.push_back(boost::json::object{{"region", it.region.str()},
                                         {"window", it.size},
                                         {"under_way", it.in_flight}});
  }
  out["shifts"] = std::move(shifts);
  return boost::json::serialize(out);
}

}  // namespace toucanknot
