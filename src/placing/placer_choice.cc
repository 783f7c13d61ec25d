// Selection and cost estimates of the servers that a request may be sent to.

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>
#include <utility>

#include "include/placing/local_fill.h"
#include "include/placing/placer.h"

namespace toucanknot {
namespace {

// Probability that an object is not cached at the first servers of its order,
// to which other hosts send it too. Other servers are assumed not to have it
// unless this host sent it there.
constexpr std::array<double, 3> kFetchChance{0.1, 0.6, 0.9};
// Above this fraction of a service's slots in use, an object is sent only to
// the first servers of its order: each further server would fetch it, and evict
// other objects, just when slots are scarce.
constexpr double kCrowded = 0.75;
// Above this fraction, hosts send each other load sheets more often.
constexpr double kNearlyCrowded = 0.6;
// A zone or region serves its own callers up to a fill of its slots of the
// largest of three figures: kMinLocalFill, MaxLocalFill(), both however empty
// the others are, and kFairFillRatio times the average fill of all slots. The
// excess goes to other regions. kFairFillRatio is below 1, since averages lag
// behind a region's peak and other regions send requests there too.
constexpr double kMinLocalFill = 0.22;
constexpr double kFairFillRatio = 0.7;
// Cost of a certain failure, as a multiple of the mean service time.
constexpr double kFailureCost = 4;
// Fraction of the time to fetch an object that is added to the cost of a server
// beyond the first of its order, and of a full server.
constexpr double kExtraServerCost = 0.8;
constexpr double kFullServerCost = 0.5;
// Without paces, a server that joined within this time is tried once by each
// host of its region, even if other servers have the objects cached.
constexpr Duration kRecentlyJoined{12'000};
// Costs in the same interval of this length, in ms, count as equal.
constexpr double kSameCostMs = 8;

}  // namespace

double Placer::LocalShare(const Service& service,
                          ServiceView::Nearness within,
                          double service_ms,
                          Instant now) const {
  const FleetDemand::Slots slots_needed =
      fleet_demand_.SlotsFor(service.key, service.demand.Slots(now));
  const ServiceView& view = *service.view;
  const double slots = view.SlotsWithin(within);
  const double here = within == ServiceView::Nearness::kZone
                          ? slots_needed.zone
                          : slots_needed.region;
  if (here <= 0 || slots <= 0)
    return slots > 0 ? 1 : 0;
  const double fill = std::max(
      {kMinLocalFill, MaxLocalFill(view.ExtraRttBeyond(within), service_ms),
       kFairFillRatio * slots_needed.all / view.slots()});
  return fill * slots / here;
}

ServiceView::Order Placer::OrderFor(Service& service,
                                    const QueuedRequest& waiting,
                                    Instant now) const {
  using enum ServiceView::Nearness;
  const uint64_t object = waiting.request.object;
  const double service_ms = times_.at(waiting.route_name).warm();
  if (object != 0) {
    const bool here = HashToUnitInterval(object) <
                      LocalShare(service, kRegion, service_ms, now);
    return service.view->PreferenceOrder(object, here);
  }
  ServiceView::Nearness within = kElsewhere;
  if (LocalShare(service, kZone, service_ms, now) >= 1)
    within = kZone;
  else if (LocalShare(service, kRegion, service_ms, now) >= 1)
    within = kRegion;
  return service.view->Sample(waiting.order + sample_seed_, within);
}

std::vector<Placer::Candidate> Placer::Candidates(const QueuedRequest& waiting,
                                                  double& utilization,
                                                  Instant now) {
  const PlacementRequest& request = waiting.request;
  Service& service = ServiceOf(request.service);
  ServiceView& view = *service.view;
  utilization = view.Utilization(
      [&](const ServerLoad& load) { return Busy(load, now); }, now);
  const bool crowded = utilization > kCrowded;
  std::vector<Candidate> out;
  bool paced = true;
  const auto add = [&](int index, int rank) {
    const ServiceView::Server& server = view.servers()[index];
    if (MayTake(waiting, server, now) &&
        (!paced || !IsPaced(service, server, now)))
      out.push_back({&server, rank, static_cast<int>(out.size())});
  };
  const ServiceView::Order order = OrderFor(service, waiting, now);
  const int kept = static_cast<int>(kFetchChance.size());
  int rank = 0;
  for (size_t i = 0; i < order.size() && order[i] >= 0; ++i) {
    // Servers that cannot take the request do not use up a rank.
    const size_t before = out.size();
    const bool cached =
        view.servers()[order[i]].load->IsWarm(request.object, now);
    if (rank < kept || !crowded || cached || request.object == 0)
      add(order[i], std::min(rank, kept));
    rank += out.size() > before ? 1 : 0;
  }
  for (const ServerId& id : affinity_cache_.ServersOf(request.object)) {
    const int index = view.IndexOf(id);
    const bool listed =
        std::any_of(out.begin(), out.end(), [&](const Candidate& c) {
          return c.server == &view.servers()[std::max(index, 0)];
        });
    if (index >= 0 && !listed &&
        view.servers()[index].load->IsWarm(request.object, now))
      add(index, kept);
  }
  for (const int it : view.newest()) {
    if (NeedsTrial(view.servers()[it], now))
      add(it, kept);
  }
  paced = false;
  if (out.empty()) {
    for (size_t i = 0; i < view.servers().size(); ++i)
      add(static_cast<int>(i), kept);
  }
  return out;
}

bool Placer::MayTake(const QueuedRequest& waiting,
                     const ServiceView::Server& server,
                     Instant now) const {
  const std::vector<ServerId>& avoid = waiting.request.avoid;
  const std::vector<RegionId>& allowed = waiting.allowed_regions;
  if (std::find(avoid.begin(), avoid.end(), server.entry->entry.id) !=
      avoid.end()) {
    return false;
  }
  if (!allowed.empty() && std::find(allowed.begin(), allowed.end(),
                                    server.region) == allowed.end()) {
    return false;
  }
  return !server.load->IsSuspended(now) &&
         now >= limits_.PausedUntil(server.run_key);
}

Duration Placer::ShortestPause(const QueuedRequest& waiting,
                               Instant now) const {
  Instant first = Instant::Never();
  for (const ServiceView::Server& it :
       services_.at(waiting.request.service).view->servers()) {
    const Instant until = limits_.PausedUntil(it.run_key);
    if (until > now && MayTake(waiting, it, until))
      first = std::min(first, until);
  }
  return first == Instant::Never() ? Duration(0) : first - now;
}

double Placer::MostAtServer(const ServiceView::Server& server) {
  return MaxAtServer(server.slots, false, false);
}

bool Placer::IsPaced(const Service& service,
                     const ServiceView::Server& server,
                     Instant now) const {
  if (!options_.pace_servers)
    return false;
  const ServerLoad& load = *server.load;
  const ServerPace& pace = load.pace();
  const double busy = Busy(load, now);
  const double at_others = busy - load.in_flight();
  if (!pace.IsLimitedBelow(MostAtServer(server), at_others, now))
    return false;
  const double allowed = pace.Allowed(at_others, service.paced_part, now);
  if (busy >= allowed)
    return true;
  // As many hosts as requests begin, since each sees the requests of the others
  // late.
  return pace.is_shared() &&
         !rate_owners_.IsAmongFirst(load.key(), server.region, allowed);
}

bool Placer::NeedsTrial(const ServiceView::Server& server, Instant now) const {
  const Instant appeared_at = server.entry->appeared_at;
  const bool is_new = options_.pace_servers
                          ? server.load->pace().active()
                          : now - appeared_at < kRecentlyJoined &&
                                appeared_at - started_at_ > kRecentlyJoined;
  return is_new && server.nearness != ServiceView::Nearness::kElsewhere &&
         now >= server.entry->cold_until &&
         server.load->last_sent() == Instant();
}

void Placer::EstimateCost(const QueuedRequest& waiting,
                          const WorkTimes& times,
                          Candidate& c,
                          Instant now) const {
  const ServerRegistry::Server& server = *c.server->entry;
  const ServerLoad& load = *c.server->load;
  const double slots = server.entry.slots;
  const double slowness = load.Slowness(now);
  c.busy = Busy(load, now);
  const Service& service = services_.at(waiting.request.service);
  const bool less_urgent =
      now < service.scarce_until && waiting.priority > service.scarce_for;
  c.full = c.busy >= MaxAtServer(slots, false, less_urgent);
  c.cold = now < server.cold_until;
  const uint64_t object = waiting.request.object;
  c.warm = object == 0 || load.IsWarm(object, now);
  const double fetch = times.cold() - times.warm();
  const double wait = std::max(0.0, c.busy - slots + 1) / slots * times.mean();
  const auto rank = static_cast<size_t>(c.rank);
  const double chance = c.warm                       ? 0
                        : rank < kFetchChance.size() ? kFetchChance[rank]
                                                     : 1;
  c.wait_ms = wait * slowness;
  c.slowness = slowness;
  // The reported speed fades until the work starts.
  const MachineSpeed& machine_speed = service.machine_speed;
  const Instant start = now + Duration(static_cast<int64_t>(c.wait_ms));
  c.speed_factor = machine_speed.FactorAt(load.machine_speed(), start);
  const double work = (times.warm() + chance * fetch) * c.speed_factor;
  const double queue = wait * machine_speed.FactorAt(load.machine_speed(), now);
  c.expected_ms = (work + queue) * slowness + c.server->rtt;
  c.cost = c.expected_ms + load.FailureRate(now) * kFailureCost * times.mean();
  // Fetching an object at one more server uses slots that others need.
  if (!c.warm && c.rank > 0)
    c.cost += fetch * kExtraServerCost;
  if (c.full)
    c.cost += fetch * kFullServerCost;
  if (NeedsTrial(*c.server, now))
    c.cost -= times.cold();
}

bool Placer::Choice::crowded() const {
  return utilization > kCrowded;
}

bool Placer::Choice::nearly_crowded() const {
  return utilization > kNearlyCrowded;
}

Placer::Choice Placer::Choose(const QueuedRequest& waiting, Instant now) {
  const WorkTimes& times = times_.at(waiting.route_name);
  Choice choice;
  std::vector<Candidate> candidates =
      Candidates(waiting, choice.utilization, now);
  choice.any = !candidates.empty();
  Candidate& best = choice.best;
  std::tuple<double, int> best_key;
  for (Candidate& it : candidates) {
    EstimateCost(waiting, times, it, now);
    if (const auto rate = MaxRate(waiting.request.service, *it.server, now)) {
      const Instant next = it.server->load->NextPacedSend(*rate);
      if (next > now) {
        choice.paced_until = std::min(choice.paced_until, next);
        choice.paced_rate += *rate;
        continue;
      }
    }
    // Nearly equal costs compare equal; then the object's order decides.
    const std::tuple<double, int> key(std::floor(it.cost / kSameCostMs),
                                      it.order);
    if (best.server == nullptr || key < best_key) {
      best = it;
      best_key = key;
    }
  }
  return choice;
}

}  // namespace toucanknot
