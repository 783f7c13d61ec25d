#include "src/steering/steering_dispatcher.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <utility>

namespace toucanknot {
namespace {

// How often a queue is looked at while nothing of this host ends.
constexpr Duration kQueuePoll{10};

// Requests of other regions are taken while the wait for a slot is at most
// this many mean times of an answer.
constexpr double kMaxWaitOfCrossed = 0.5;

bool CameFromOtherRegion(const WorkItem& item) {
  return item.hop == Hop::kCrossed || item.hop == Hop::kCrossedInRegion;
}

bool MayPassInRegion(const WorkItem& item) {
  return !item.from_peer &&
         (item.hop == Hop::kCaller || item.hop == Hop::kCrossed);
}

bool MayCross(const WorkItem& item) {
  return !item.from_peer && !CameFromOtherRegion(item);
}

}  // namespace

SteeringDispatcher::SteeringDispatcher(Parts parts)
    : parts_(std::move(parts)),
      servers_(parts_.hooks.usable),
      queue_(parts_.order),
      crossed_(parts_.order),
      shifter_(parts_.hooks.may_pass),
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

Decision SteeringDispatcher::Offer(const WorkItem& item, Instant now) {
  last_now_ = now;
  if (!view_)
    return Refuse(item, Refusal::kNoServer);
  UpdateLoad(now);
  if (return_at_ <= now)
    RefreshHomes(now);
  const Refusal refusal = parts_.hooks.admit(item, now);
  if (refusal != Refusal::kNone)
    return Refuse(item, refusal);
  if (const std::optional<Decision> decision = Decide(item, now))
    return *decision;
  (CameFromOtherRegion(item) ? crossed_ : queue_).Push(item, now);
  SetWake(now);
  return {.item = item.id, .step = Step::kWait};
}

std::optional<Decision> SteeringDispatcher::Decide(const WorkItem& item,
                                                   Instant now) {
  if (now >= item.deadline)
    return Refuse(item, Refusal::kDeadline);
  const bool may_pass = MayPassInRegion(item);
  Pick pick{.kind = Pick::Kind::kWait};
  // Those that wait go first.
  if (queue_.empty() || may_pass)
    pick = picker_->Choose(item, may_pass, now);
  if (pick.kind == Pick::Kind::kHost) {
    const bool crossed = CameFromOtherRegion(item);
    return Pass(item, pick.host,
                crossed ? Hop::kCrossedInRegion : Hop::kInRegion);
  }
  if (!queue_.empty() && pick.kind == Pick::Kind::kServer)
    pick.kind = Pick::Kind::kWait;
  const bool first = item.avoid.empty() && item.avoid_hosts.empty();
  if (first && MayCross(item))
    parts_.hooks.on_request(item, now);
  return DecideHere(item, pick, now);
}

std::optional<Decision> SteeringDispatcher::DecideHere(const WorkItem& item,
                                                       const Pick& pick,
                                                       Instant now) {
  if (CameFromOtherRegion(item))
    return DecideCrossed(item, pick, now);
  if (pick.kind == Pick::Kind::kServer)
    return Send(item, pick.server);

  const double wait_ms = ExpectedWaitMs(now);
  const bool no_server =
      pick.kind == Pick::Kind::kNoServer || OwnSlots(now) == 0;
  const Duration needed(std::llround(wait_ms + servers_.mean_ms()));
  const bool late = now + needed >= item.deadline;
  const bool stands = standing_.Refuses(wait_ms, servers_.mean_ms(), now);
  const bool full = stands || static_cast<int64_t>(queue_.size()) >=
                                  view_->tunables().max_queue;
  RegionShifter::Choice choice;
  if (MayCross(item)) {
    choice = shifter_.Choose(*view_, hosts_, item,
                             {.must = no_server || late || full,
                              .wait_ms = wait_ms,
                              .mean_ms = servers_.mean_ms()},
                             now);
    if (!choice.host.empty())
      return Pass(item, choice.host, Hop::kCrossed);
  }
  if (!no_server && !late && !full)
    return std::nullopt;
  if (choice.refusal != Refusal::kNone)
    return Refuse(item, choice.refusal);
  if (no_server)
    return Refuse(item, Refusal::kNoServer);
  return Refuse(item, late ? Refusal::kDeadline : Refusal::kQueueFull);
}

Decision SteeringDispatcher::Send(const WorkItem& item, size_t server) {
  servers_.Started(server);
  flights_[item.id] = {.server = server};
  return {.item = item.id,
          .step = Step::kSend,
          .server = servers_.at(server).info.id};
}

Decision SteeringDispatcher::Pass(const WorkItem& item,
                                  const HostId& host,
                                  Hop hop) {
  hosts_.Passed(host);
  flights_[item.id] = {.host = host};
  return {.item = item.id, .step = Step::kPass, .host = host, .hop = hop};
}

Decision SteeringDispatcher::Refuse(const WorkItem& item, Refusal refusal) {
  return {.item = item.id, .step = Step::kRefuse, .refusal = refusal};
}

bool SteeringDispatcher::CrossedMayStart(Instant now) const {
  const double limit = view_->own_place().load_limit * OwnSlots(now);
  return queue_.empty() && OwnInFlight() + 1 <= limit;
}

bool SteeringDispatcher::CrossedMayWait(const WorkItem& item,
                                        Instant now) const {
  const double limit = view_->own_place().load_limit * OwnSlots(now);
  const double wait_ms = ExpectedWaitMs(now);
  const Duration needed(std::llround(wait_ms + servers_.mean_ms()));
  return load_.mean() < limit &&
         wait_ms <= servers_.mean_ms() * kMaxWaitOfCrossed &&
         now + needed < item.deadline;
}

std::optional<Decision> SteeringDispatcher::DecideCrossed(const WorkItem& item,
                                                          const Pick& pick,
                                                          Instant now) {
  if (pick.kind == Pick::Kind::kNoServer)
    return Refuse(item, Refusal::kNoServer);
  if (!parts_.hooks.region_has_room(item, now))
    return Refuse(item, Refusal::kRegionLimit);
  if (pick.kind == Pick::Kind::kServer && crossed_.empty() &&
      CrossedMayStart(now))
    return Send(item, pick.server);
  if (CrossedMayWait(item, now))
    return std::nullopt;
  return Refuse(item, Refusal::kRegionLimit);
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
    if (picker_->Sends(i))
      slots += picker_->Slots(i, now);
  }
  return slots;
}

int SteeringDispatcher::OwnInFlight() const {
  int sum = 0;
  for (size_t i = 0; i < servers_.size(); ++i)
    sum += servers_.at(i).own;
  return sum;
}

void SteeringDispatcher::Withdraw(uint64_t item, Instant now) {
  last_now_ = now;
  queue_.Remove(item);
  crossed_.Remove(item);
}

void SteeringDispatcher::Finish(const AttemptResult& result, Instant now) {
  last_now_ = now;
  const auto it = flights_.find(result.item);
  if (it == flights_.end())
    return;
  UpdateLoad(now);
  const Flight flight = it->second;
  flights_.erase(it);
  if (flight.host.empty()) {
    if (flight.server < servers_.size())
      servers_.Ended(flight.server, result);
    return;
  }
  const FleetView::Place* place = view_->PlaceOf(flight.host);
  if (place && place != &view_->own_place())
    shifter_.Ended(place->id, result.end, now);
  if (result.end == AttemptEnd::kNotSent || result.end == AttemptEnd::kBroken) {
    hosts_.Suspend(flight.host, now);
    RefreshHomes(now);
  }
}

std::vector<Decision> SteeringDispatcher::Advance(Instant now) {
  last_now_ = now;
  std::vector<Decision> decisions;
  if (!view_)
    return decisions;
  if (return_at_ <= now)
    RefreshHomes(now);
  DropLate(&queue_, now, &decisions);
  DropLate(&crossed_, now, &decisions);
  StartWaiting(now, &decisions);
  StartCrossed(now, &decisions);
  SetWake(now);
  return decisions;
}

void SteeringDispatcher::DropLate(WaitQueue* queue,
                                  Instant now,
                                  std::vector<Decision>* decisions) {
  // What cannot be answered in time any more makes room.
  const Duration needed(std::llround(servers_.mean_ms() / 2));
  while (const auto late = queue->TakeExpired(now + needed))
    decisions->push_back(Refuse(*late, Refusal::kDeadline));
}

void SteeringDispatcher::StartWaiting(Instant now,
                                      std::vector<Decision>* decisions) {
  while (const WorkItem* next = queue_.Next(now)) {
    const Pick pick = picker_->Choose(*next, MayPassInRegion(*next), now);
    if (pick.kind == Pick::Kind::kWait)
      return;
    const WorkItem item = *next;
    queue_.Remove(item.id);
    if (pick.kind == Pick::Kind::kServer)
      decisions->push_back(Send(item, pick.server));
    else if (pick.kind == Pick::Kind::kHost)
      decisions->push_back(Pass(item, pick.host, Hop::kInRegion));
    else if (const auto decision = DecideHere(item, pick, now))
      decisions->push_back(*decision);
  }
}

void SteeringDispatcher::StartCrossed(Instant now,
                                      std::vector<Decision>* decisions) {
  while (!crossed_.empty() && CrossedMayStart(now)) {
    const WorkItem item = *crossed_.Next(now);
    const Pick pick = picker_->Choose(item, MayPassInRegion(item), now);
    if (pick.kind == Pick::Kind::kWait)
      return;
    crossed_.Remove(item.id);
    if (pick.kind == Pick::Kind::kServer)
      decisions->push_back(Send(item, pick.server));
    else if (pick.kind == Pick::Kind::kHost)
      decisions->push_back(Pass(item, pick.host, Hop::kCrossedInRegion));
    else
      decisions->push_back(Refuse(item, Refusal::kNoServer));
  }
}

void SteeringDispatcher::SetWake(Instant now) {
  const Instant deadline =
      std::min(queue_.EarliestDeadline(), crossed_.EarliestDeadline());
  const bool waiting = !queue_.empty() || !crossed_.empty();
  wake_ = waiting ? std::min(deadline, now + kQueuePoll) : Instant::Never();
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
  if (return_at_ < Instant::Never())
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
  return_at_ = hosts_.NextReturn(now);
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
  servers_.SetServers(view_->own_place().servers);
  for (auto& [id, flight] : flights_) {
    if (flight.host.empty() && flight.server < old.size())
      flight.server = servers_.Find(old[flight.server]);
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
    if (!picker_->IsHome(i))
      continue;
    load.slots += picker_->Slots(i, last_now_);
    load.free_slots += std::max(picker_->Free(i, last_now_), 0);
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
        {"home", view_->own_place().pools[view_->PoolOf(i)].home.str()},
        {"slots", state.info.slots},
        {"usable_slots", servers_.Slots(i, now)},
        {"own", state.own},
        {"peers", servers_.PeersInFlight(i, now)},
        {"free", servers_.Free(i, now)},
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
      host["passed_since"] = it.passed;
      host["age_ms"] = (now - it.at).ms();
    }
    hosts.push_back(std::move(host));
  }
  out["hosts"] = std::move(hosts);
  boost::json::array shifts;
  for (const RegionShifter::Window& it : shifter_.windows()) {
    shifts.push_back(boost::json::object{{"region", it.region.str()},
                                         {"window", it.size},
                                         {"under_way", it.under_way}});
  }
  out["shifts"] = std::move(shifts);
  return boost::json::serialize(out);
}

}  // namespace toucanknot
