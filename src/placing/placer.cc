#include "include/placing/placer.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>
#include <utility>

namespace toucanknot {
namespace {

// Retry-After when no server accepts the request.
constexpr Duration kNoServerRetryAfter{400};
// Bounds of the Retry-After of a refused request.
constexpr Duration kMinRetryAfter{150};
constexpr Duration kMaxRetryAfter{2'000};
// Time reserved for the response to reach the caller, in ms.
constexpr double kResponseMarginMs = 10;
// The first entries that a host reads are not of servers that start.
constexpr Duration kLearnsServers{3'000};
// A response that takes this multiple of the expected time is late.
constexpr double kLateResponse = 2;
constexpr double kMsPerSecond = 1'000;
constexpr double kMinPacedRate = 0.001;
// Limits that other hosts report are dated back by the time that reports spend
// on the way, so that what this host hears meanwhile counts as newer.
constexpr Duration kReportTransit{100};

double Millis(Duration d) {
  return static_cast<double>(d.ms());
}

}  // namespace

Placer::Placer(Options options, const ServerRegistry& registry, Instant now)
    : options_(std::move(options)),
      registry_(registry),
      started_at_(now),
      sample_seed_(HostKey(options_.host)),
      fleet_demand_({HostKey(options_.host), options_.region, options_.zone,
                     options_.capacity}),
      rate_owners_(HostKey(options_.host)) {}

std::shared_ptr<ServerLoad> Placer::LoadOf(
    const ServerRegistry::Server& server) {
  const ServerId& id = server.entry.id;
  std::shared_ptr<ServerLoad>& load = loads_[id];
  if (!load) {
    load = std::make_shared<ServerLoad>(ServerKey(id));
    // To a host that has just started itself, all servers are new.
    if (server.appeared_at - started_at_ > kLearnsServers)
      load->pace().BeginAfterStart(server.appeared_at);
  }
  return load;
}

double Placer::Busy(const ServerLoad& load, Instant now) const {
  const double peer_requests = peers_.InFlight(load.key());
  // The server's own reports stand in for hosts without a fresh load sheet.
  const bool all_fresh = peers_.fresh_hosts() >= host_count_ - 1;
  return load.in_flight() +
         (all_fresh ? peer_requests
                    : std::max(peer_requests, load.OthersInFlight(now)));
}

std::vector<LoadSheet::Row> Placer::OwnServerLoads() const {
  std::vector<LoadSheet::Row> rows;
  for (const auto& [id, load] : loads_) {
    if (load->in_flight() > 0)
      rows.push_back({load->key(), load->in_flight()});
  }
  return rows;
}

std::vector<LoadSheet::Demand> Placer::OwnDemands(Instant now) const {
  std::vector<LoadSheet::Demand> out;
  for (const auto& [id, service] : services_)
    out.push_back({service.key, service.demand.Slots(now)});
  return out;
}

WorkTimes& Placer::TimesOf(const Route& route) {
  return times_.try_emplace(route.name, route.target_latency, route.sticky)
      .first->second;
}

double Placer::ColdRate(const ServiceId& service,
                        const ServiceView::Server& server) const {
  if (!config_)
    return 0;
  const auto it = config_->services.find(service);
  if (it == config_->services.end())
    return 0;
  return rate_owners_.RateFor(server.load->key(), server.region,
                              it->second.cold_rate);
}

double Placer::LimitShare(const ServiceView::Server& server,
                          double limit,
                          Instant now) const {
  const double share =
      rate_owners_.RateFor(server.load->key(), server.region, limit);
  // The hosts that own the limit may have no requests for the server. The
  // others then ask it again, in turn.
  const Duration heard_ago = now - *limits_.HeardAt(server.run_key);
  const auto turns =
      std::max<int64_t>(host_count_, ServerLimits::kStaleAfter.ms() / 1'000);
  const Duration turn = Duration::Seconds(
      static_cast<int64_t>(sample_seed_ % static_cast<uint64_t>(turns)));
  if (heard_ago <= ServerLimits::kStaleAfter + turn)
    return share;
  return std::max(share, 1 / ServerLimits::kStaleAfter.seconds());
}

std::optional<double> Placer::MaxRate(const ServiceId& service,
                                      const ServiceView::Server& server,
                                      Instant now) const {
  std::optional<double> rate;
  if (now < server.entry->cold_until)
    rate = ColdRate(service, server);
  if (const auto limit = limits_.LimitOf(server.run_key)) {
    const double share = LimitShare(server, *limit, now);
    rate = std::min(rate.value_or(share), share);
  }
  return rate;
}

void Placer::OnPeerLimits(const LoadSheet& sheet, Instant now) {
  for (const LoadSheet::Limit& it : sheet.limits)
    limits_.OnReport({it.server, it.limit, now - it.age - kReportTransit});
}

std::vector<LoadSheet::Limit> Placer::OwnLimits(Instant now) const {
  std::vector<LoadSheet::Limit> out;
  for (const ServerLimits::Statement& it : limits_.OwnStatements(now))
    out.push_back({it.server, it.limit, now - it.at});
  return out;
}

std::optional<double> Placer::LimitOf(const ServerId& server) const {
  const ServerRegistry::Server* it = registry_.Find(server);
  if (it == nullptr)
    return std::nullopt;
  return limits_.LimitOf(ServerRunKey(server, it->entry.incarnation));
}

Placer::Service& Placer::ServiceOf(const ServiceId& id) {
  Service& service = services_[id];
  if (service.view && service.version == registry_.version())
    return service;
  std::vector<ServiceView::Server> servers;
  for (const ServerRegistry::Server* it : registry_.UsableServers(id)) {
    ServiceView::Server server;
    server.entry = it;
    server.slots = it->entry.slots;
    server.load = LoadOf(*it);
    server.run_key = ServerRunKey(it->entry.id, it->entry.incarnation);
    const auto region = options_.regions.find(it->entry.zone);
    if (region != options_.regions.end())
      server.region = region->second;
    if (it->entry.zone == options_.zone)
      server.nearness = ServiceView::Nearness::kZone;
    else if (server.region == options_.region)
      server.nearness = ServiceView::Nearness::kRegion;
    server.zone = it->entry.zone;
    server.rtt = RttMs(server.zone, server.nearness);
    servers.push_back(std::move(server));
  }
  service.view = std::make_unique<ServiceView>(std::move(servers));
  service.version = registry_.version();
  service.key = ServiceKey(id);
  return service;
}

double Placer::RttMs(const ZoneId& zone, ServiceView::Nearness nearness) const {
  using enum ServiceView::Nearness;
  const double fallback_ms = nearness == kZone     ? 0
                             : nearness == kRegion ? options_.zone_rtt
                                                   : options_.region_rtt;
  return distances_.RttMs(zone, fallback_ms);
}

double Placer::KnownServiceMs(const QueuedRequest& waiting) const {
  const WorkTimes& times = times_.at(waiting.route_name);
  return times.known() ? times.warm() : 0;
}

Duration Placer::MeanTime(const std::string& route_name) const {
  const auto it = times_.find(route_name);
  if (it == times_.end() || !it->second.known())
    return {};
  return Duration(static_cast<int64_t>(it->second.mean()));
}

bool Placer::IsLate(const QueuedRequest& waiting, Instant now) const {
  return Millis(waiting.request.target - now) < KnownServiceMs(waiting);
}

QueueRank Placer::RankOf(const QueuedRequest& waiting, Instant now) const {
  const bool yields = IsLate(waiting, now) && !waiting.request.returned;
  return {waiting.priority, yields, waiting.order, waiting.fair_start};
}

int Placer::QueuedAhead(const QueuedRequest& waiting, Instant now) const {
  const QueueRank rank = RankOf(waiting, now);
  const auto ahead =
      std::count_if(queue_.begin(), queue_.end(), [&](const QueuedRequest& q) {
        return q.request.service == waiting.request.service &&
               RankOf(q, now) < rank;
      });
  return static_cast<int>(ahead);
}

double Placer::QueueWait(const QueuedRequest& waiting, int ahead) const {
  const auto it = services_.find(waiting.request.service);
  const int in_flight = it == services_.end() ? 0 : it->second.in_flight;
  return QueueWaitMs(ahead, in_flight, times_.at(waiting.route_name).mean());
}

double Placer::PacedWait(const Choice& choice, int ahead, Instant now) {
  if (choice.best.server != nullptr || choice.paced_until == Instant::Never())
    return 0;
  return Millis(choice.paced_until - now) +
         ahead * kMsPerSecond / std::max(choice.paced_rate, kMinPacedRate);
}

Placement Placer::Send(const QueuedRequest& waiting,
                       const Choice& choice,
                       Instant now) {
  const Candidate& best = choice.best;
  const PlacementRequest& request = waiting.request;
  const ServerEntry& entry = best.server->entry->entry;
  const std::shared_ptr<ServerLoad>& load = best.server->load;
  if (const auto rate = MaxRate(request.service, *best.server, now))
    load->TryReservePacedSend(*rate, now);
  ActiveAttempt attempt;
  attempt.load = load;
  attempt.service = request.service;
  attempt.zone = entry.zone;
  attempt.run_key = best.server->run_key;
  attempt.route_name = waiting.route_name;
  attempt.was_warm = best.warm;
  attempt.was_full = best.busy >= entry.slots;
  attempt.slowness = load->Slowness(now);
  attempt.machine_speed = load->machine_speed();
  attempt.speed_factor = best.speed_factor;
  attempt.sent_at = now;
  load->OnSent(now);
  load->pace().OnSent(
      request.id,
      now + Duration(static_cast<int64_t>(best.expected_ms * kLateResponse)));
  // The object is cached from when the server starts on its first request.
  if (request.object != 0) {
    load->SetWarm(request.object, now);
    affinity_cache_.Note(request.object, entry.id);
  }
  ++services_[request.service].in_flight;
  active_attempts_[request.id] = std::move(attempt);
  return ToServer(waiting, choice, now);
}

Placement Placer::ToServer(const QueuedRequest& waiting,
                           const Choice& choice,
                           Instant now) const {
  const Candidate& best = choice.best;
  Placement out;
  out.request_id = waiting.request.id;
  out.step = PlacementStep::kSend;
  out.server = best.server->entry->entry.id;
  out.busy = best.busy;
  out.expected_ms = best.expected_ms;
  out.warm = best.warm;
  out.utilization = choice.utilization;
  out.entry_age = now - best.server->entry->seen_at;
  out.fresh_peers = peers_.fresh_hosts();
  out.other_hosts = host_count_ - 1;
  out.queued = static_cast<int>(queue_.size());
  return out;
}

Placement Placer::Refuse(const QueuedRequest& waiting,
                         PlacementRefusal refusal,
                         Duration wait,
                         const Choice& choice) const {
  Placement out;
  out.request_id = waiting.request.id;
  out.step = PlacementStep::kRefuse;
  out.refusal = refusal;
  out.utilization = choice.utilization;
  out.fresh_peers = peers_.fresh_hosts();
  out.other_hosts = host_count_ - 1;
  out.busy = choice.best.busy;
  out.retry_after = std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
  out.queued = static_cast<int>(queue_.size());
  return out;
}

bool Placer::YieldsSlot(const Choice& choice, bool late) {
  const Candidate& best = choice.best;
  if (best.server == nullptr || !choice.crowded())
    return false;
  const double slots = best.server->entry->entry.slots;
  return best.busy >= MaxAtServer(slots, late, false) ||
         !MayFetch(best.warm, best.rank, late, choice.crowded());
}

Placer::Judgement Placer::Judge(const QueuedRequest& waiting,
                                const Choice& choice,
                                int ahead,
                                Instant now) const {
  const Candidate& best = choice.best;
  const double left =
      Millis(waiting.request.deadline - now) - kResponseMarginMs;
  const double to_target =
      Millis(waiting.request.target - now) - kResponseMarginMs;
  const WorkTimes& times = times_.at(waiting.route_name);
  if (!choice.any) {
    Placement out = Refuse(waiting, PlacementRefusal::kNoServer,
                           kNoServerRetryAfter, choice);
    out.retry_after = std::max(out.retry_after, ShortestPause(waiting, now));
    return {out};
  }
  const bool yields = YieldsSlot(choice, IsLate(waiting, now));
  if (best.server != nullptr && !best.full && !yields) {
    // While slots are scarce, requests that would end too late are refused.
    // With free slots, only those that cannot end in time even at normal speed
    // are refused, since a server that was slow may have recovered.
    const double needed = choice.crowded() && times.known()
                              ? best.expected_ms
                              : KnownServiceMs(waiting);
    if (needed <= left && left > 0)
      return {ToServer(waiting, choice, now)};
    return {Refuse(waiting, PlacementRefusal::kTooLate, kNoServerRetryAfter,
                   choice)};
  }
  const double wait =
      std::max(QueueWait(waiting, ahead), PacedWait(choice, ahead, now));
  const Duration after_queue(static_cast<int64_t>(wait));
  const double needed = times.warm() + wait;
  const Service& service = services_.at(waiting.request.service);
  const bool past_target =
      waiting.request.returned && service.returned_served.IsLikely();
  Judgement judgement;
  judgement.found_no_room = true;
  if (needed > UsefulTimeLeft(to_target, left, choice.crowded(), past_target)) {
    judgement.refused_returned = waiting.request.returned && !past_target;
    judgement.placement =
        Refuse(waiting, PlacementRefusal::kTooLate, after_queue, choice);
    return judgement;
  }
  Placement& out = judgement.placement;
  out.request_id = waiting.request.id;
  out.step = PlacementStep::kWait;
  out.queued = static_cast<int>(queue_.size());
  return judgement;
}

Placement Placer::Decide(const QueuedRequest& waiting, int ahead, Instant now) {
  const Choice choice = Choose(waiting, now);
  if (choice.nearly_crowded())
    crowded_until_ = now + kCrowdedMemory;
  const Judgement judgement = Judge(waiting, choice, ahead, now);
  if (judgement.placement.step == PlacementStep::kSend)
    return Send(waiting, choice, now);
  Service& service = services_[waiting.request.service];
  if (judgement.found_no_room &&
      (now >= service.scarce_until || waiting.priority <= service.scarce_for)) {
    service.scarce_for = waiting.priority;
    service.scarce_until = now + kCrowdedMemory;
  }
  if (judgement.refused_returned)
    service.returned_served.OnRefusedAtOnce();
  return judgement.placement;
}

Placer::QueuedRequest Placer::MakeQueuedRequest(
    const PlacementRequest& request) {
  TimesOf(*request.route);
  QueuedRequest waiting;
  waiting.request = request;
  waiting.request.route = nullptr;
  if (!request.route->sticky)
    waiting.request.object = 0;
  waiting.priority = request.priority.value_or(request.route->priority);
  waiting.order = next_order_++;
  waiting.route_name = request.route->name;
  waiting.allowed_regions =
      request.allowed_regions.value_or(request.route->allowed_regions);
  return waiting;
}

Placement Placer::Offer(const PlacementRequest& request, Instant now) {
  QueuedRequest waiting = MakeQueuedRequest(request);
  ServiceOf(request.service)
      .demand.Add(times_.at(waiting.route_name).warm(), now);
  FairQueue& fair_queue = FairQueueOf(waiting);
  waiting.fair_start = fair_queue.StartOf(request.workspace);
  Placement out = Decide(waiting, QueuedAhead(waiting, now), now);
  if (out.step != PlacementStep::kRefuse)
    fair_queue.OnTaken(request.workspace);
  if (out.step == PlacementStep::kSend)
    fair_queue.OnSent(waiting.fair_start);
  if (out.step == PlacementStep::kWait)
    queue_.push_back(std::move(waiting));
  return out;
}

void Placer::Withdraw(uint64_t request_id) {
  queue_.remove_if([&](const QueuedRequest& w) {
    if (w.request.id != request_id)
      return false;
    FairQueueOf(w).OnDropped(w.request.workspace);
    return true;
  });
}

void Placer::Finish(const PlacedAttemptResult& result, Instant now) {
  const auto it = active_attempts_.find(result.request_id);
  if (it == active_attempts_.end())
    return;
  const ActiveAttempt attempt = std::move(it->second);
  active_attempts_.erase(it);
  --services_[attempt.service].in_flight;
  ServerLoad& server_load = *attempt.load;
  server_load.OnEnded();
  server_load.pace().OnEnded(result.request_id);
  if (result.connect_took > Duration(0))
    distances_.OnConnected(attempt.zone, result.connect_took);
  if (result.reported)
    server_load.OnReport(result.running, result.waiting, now);
  if (result.work_ratio)
    server_load.OnMachineSpeed(*result.work_ratio, now);
  if (result.notice) {
    limits_.OnNotice(attempt.run_key, *result.notice, now - result.took, now);
  }
  WorkTimes& times = times_.at(attempt.route_name);
  const double took = Millis(result.took);
  switch (result.end) {
    case ServerAttemptEnd::kAnswered:
      server_load.OnSuccess(now);
      if (!attempt.was_full) {
        // Slowness and the times of work are learned from what the reported
        // speed does not explain, so that neither counts it again.
        const double at_usual_speed = took / attempt.speed_factor;
        const double work = at_usual_speed / attempt.slowness;
        const double typical = attempt.was_warm || times.LooksWarm(work)
                                   ? times.warm()
                                   : times.cold();
        server_load.pace().OnAnswered(at_usual_speed / std::max(1.0, typical),
                                      now);
        server_load.OnRelativeDuration(at_usual_speed / std::max(1.0, typical),
                                       now);
        services_[attempt.service].machine_speed.OnResponse(
            attempt.machine_speed, attempt.sent_at,
            took / attempt.slowness / std::max(1.0, typical));
        times.AddSample(work, attempt.was_warm);
      }
      break;
    case ServerAttemptEnd::kFailed:
    case ServerAttemptEnd::kRefused:
      server_load.OnFailure(now);
      server_load.pace().OnFailed(now);
      break;
    case ServerAttemptEnd::kTimedOut:
      server_load.pace().OnFailed(now);
      server_load.OnRelativeDuration(took / std::max(1.0, times.mean()), now);
      server_load.OnFailure(now);
      break;
    case ServerAttemptEnd::kMisdirected:
      server_load.SuspendReplaced(now);
      break;
    case ServerAttemptEnd::kNotConnected:
    case ServerAttemptEnd::kBroken:
      server_load.OnFailure(now);
      server_load.Suspend(now);
      server_load.pace().BeginAfterFailure(now);
      break;
    case ServerAttemptEnd::kCancelled:
      break;
  }
}

std::vector<Placement> Placer::Advance(Instant now) {
  std::vector<Placement> out;
  if (queue_.empty())
    return out;
  std::vector<std::list<QueuedRequest>::iterator> order;
  order.reserve(queue_.size());
  for (auto it = queue_.begin(); it != queue_.end(); ++it)
    order.push_back(it);
  std::sort(order.begin(), order.end(), [&](const auto& a, const auto& b) {
    return RankOf(*a, now) < RankOf(*b, now);
  });
  std::map<ServiceId, int> still_queued;
  for (const auto& it : order) {
    int& ahead = still_queued[it->request.service];
    Placement placement = Decide(*it, ahead, now);
    if (placement.step == PlacementStep::kWait) {
      ++ahead;
      continue;
    }
    if (placement.step == PlacementStep::kSend)
      FairQueueOf(*it).OnSent(it->fair_start);
    else
      FairQueueOf(*it).OnDropped(it->request.workspace);
    if (it->request.returned) {
      services_[it->request.service].returned_served.OnLeftQueue(
          placement.step == PlacementStep::kSend);
    }
    out.push_back(std::move(placement));
    queue_.erase(it);
  }
  return out;
}

void Placer::ForgetServer(const ServerId& server) {
  // Attempts in flight keep the figures of the old incarnation until they end.
  loads_.erase(server);
}

void Placer::Tick(Instant now) {
  peers_.Expire(now);
  fleet_demand_.Update(now);
  for (auto& [id, service] : services_) {
    if (service.view) {
      service.view->UpdateRtts([this](const ServiceView::Server& server) {
        return RttMs(server.zone, server.nearness);
      });
      double paced = 0;
      for (const ServiceView::Server& it : service.view->servers()) {
        const double at_others = Busy(*it.load, now) - it.load->in_flight();
        it.load->pace().EndIfEnough(MostAtServer(it), at_others, now);
        paced += it.load->pace().active() ? it.slots : 0;
      }
      service.paced_part = paced / std::max(1.0, service.view->slots());
    }
  }
}

}  // namespace toucanknot
