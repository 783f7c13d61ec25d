#include "include/placing/placer.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <cmath>
#include <tuple>
#include <utility>

namespace toucanknot {
namespace {

// Requests that are sent to a full server beyond its slots, so that it has the
// next one at hand when a slot gets free.
constexpr double kAhead = 1;
// How likely an object is not at hand at the first servers of its order, where
// other hosts send it too; elsewhere it is not unless this host sent it there.
constexpr std::array<double, 3> kFetchChance{0.1, 0.6, 0.9};
// Above this part of a service's slots in use, an object is sent to the first
// servers of its order only: each further one would fetch it, and push out
// others, just when slots are short.
constexpr double kCrowded = 0.75;
// The part of a region's slots that its own callers' objects may fill on
// average; the rest is for peaks.
constexpr double kRegionFill = 0.6;
// The time over which the demand of a host is averaged, in ms.
constexpr double kDemandFadeMs = 12'000;
// What a certain failure counts, in times of the usual work.
constexpr double kFailureCost = 4;
// The part of the time to fetch an object that counts against a server beyond
// the first of its order, and against a full one.
constexpr double kSpreadCost = 0.6;
constexpr double kFullCost = 0.5;
// A server that joined lately is tried once by each host of its region,
// although others have the objects at hand.
constexpr Duration kJoinedLately{12'000};
// Shortest and longest time after which a refused caller is told to return.
constexpr Duration kShortestReturn{150};
constexpr Duration kLongestReturn{2'000};
// Demand is averaged over this many ms at least.
constexpr double kShortestSpanMs = 500;
// Costs that differ by less, in ms, are equal.
constexpr double kSameCostMs = 8;
// Added to the order of servers in the regions where an object is not kept;
// above any order inside a region.
constexpr double kOtherRegions = 1'000;
// What an answer needs from the server to the caller, in ms.
constexpr double kAnswerMargin = 10;

double Millis(Duration d) {
  return static_cast<double>(d.ms());
}

// A number between 0 and 1 for a hash, neither included.
double UnitOf(uint64_t hash) {
  const uint64_t mixed = XXH3_64bits(&hash, sizeof hash);
  return (static_cast<double>(mixed >> 11) + 0.5) * 0x1p-53;
}

// The hash of a server for an object, the same at all hosts.
uint64_t Rank(uint64_t object, const ServerId& server) {
  return XXH3_64bits_withSeed(server.str().data(), server.str().size(), object);
}

}  // namespace

Placer::Placer(Options options, const ServerRegistry& registry, Instant now)
    : options_(std::move(options)),
      registry_(registry),
      started_at_(now) {}

ServerLoad& Placer::LoadOf(const ServerId& id) {
  const auto it = loads_.find(id);
  if (it != loads_.end())
    return it->second;
  return loads_.try_emplace(id, ServerKey(id)).first->second;
}

double Placer::Busy(const ServerLoad& load, Instant now) const {
  const double told = peers_.InFlight(load.key(), now);
  // The server's own reports fill in for hosts that cannot be heard.
  const bool all_heard = peers_.FreshHosts(now) >= host_count_ - 1;
  return load.in_flight() +
         (all_heard ? told : std::max(told, load.Others(now)));
}

std::vector<LoadSheet::Row> Placer::OwnRows() const {
  std::vector<LoadSheet::Row> rows;
  for (const auto& [id, load] : loads_) {
    if (load.in_flight() > 0)
      rows.push_back({load.key(), load.in_flight()});
  }
  return rows;
}

WorkTimes& Placer::TimesOf(const Route& route) {
  return times_.try_emplace(route.name, route.target_latency, route.sticky)
      .first->second;
}

double Placer::Rtt(const ServerEntry& entry) const {
  if (entry.zone == options_.zone)
    return 0;
  const auto it = options_.regions.find(entry.zone);
  const bool near =
      it != options_.regions.end() && it->second == options_.region;
  return near ? options_.zone_rtt : options_.region_rtt;
}

double Placer::ColdRate(const ServiceId& service) const {
  if (!config_)
    return 0;
  const auto it = config_->services.find(service);
  return it == config_->services.end() ? 0 : it->second.cold_rate;
}

RegionId Placer::RegionOf(const ServerEntry& entry) const {
  const auto it = options_.regions.find(entry.zone);
  return it == options_.regions.end() ? RegionId() : it->second;
}

void Placer::Demand::Add(double ms, Instant now) {
  if (since == Instant())
    since = now;
  work = work * std::exp(-Millis(now - at) / kDemandFadeMs) + ms;
  at = now;
}

double Placer::Demand::Slots(Instant now) const {
  const double faded = work * std::exp(-Millis(now - at) / kDemandFadeMs);
  // The first seconds have no past.
  const double span =
      kDemandFadeMs * (1 - std::exp(-Millis(now - since) / kDemandFadeMs));
  return faded / std::max(span, kShortestSpanMs);
}

bool Placer::IsKeptHere(const ServiceId& service,
                        uint64_t object,
                        Instant now) const {
  const auto demand = demand_.find(service);
  if (demand == demand_.end())
    return true;
  double slots = 0;
  for (const ServerRegistry::Server* it : registry_.Usable(service)) {
    if (RegionOf(it->entry) == options_.region)
      slots += it->entry.slots;
  }
  const double asked = demand->second.Slots(now) * region_host_count_;
  const double share = asked > 0 ? slots * kRegionFill / asked : 1;
  return UnitOf(object) < share;
}

std::vector<Placer::Candidate> Placer::Candidates(const Waiting& waiting,
                                                  Instant now) {
  const PlaceItem& item = waiting.item;
  double busy = 0;
  double slots = 0;
  const bool here = IsKeptHere(item.service, item.object, now);
  std::vector<Candidate> out;
  for (const ServerRegistry::Server* it : registry_.Usable(item.service)) {
    const ServerId& id = it->entry.id;
    if (std::find(item.avoid.begin(), item.avoid.end(), id) != item.avoid.end())
      continue;
    const RegionId region = RegionOf(it->entry);
    const std::vector<RegionId>& allowed = waiting.allowed_regions;
    if (!allowed.empty() &&
        std::find(allowed.begin(), allowed.end(), region) == allowed.end()) {
      continue;
    }
    Candidate c;
    c.server = it;
    c.load = &LoadOf(id);
    if (c.load->IsSuspended(now))
      continue;
    // Weighted rendezvous hashing: the least is first, and each server is
    // first for a part of the objects that its slots make up.
    c.order = -std::log(UnitOf(Rank(item.object, id))) / it->entry.slots;
    if ((region == options_.region) != here)
      c.order += kOtherRegions;
    c.busy = Busy(*c.load, now);
    busy += c.busy;
    slots += it->entry.slots;
    out.push_back(c);
  }
  const size_t first = std::min(out.size(), kFetchChance.size());
  std::partial_sort(out.begin(), out.begin() + static_cast<ptrdiff_t>(first),
                    out.end(), [](const Candidate& a, const Candidate& b) {
                      return a.order < b.order;
                    });
  for (size_t i = 0; i < out.size(); ++i)
    out[i].rank = static_cast<int>(std::min(i, first));
  if (item.object != 0 && busy > slots * kCrowded) {
    std::erase_if(out, [&](const Candidate& c) {
      return c.rank == static_cast<int>(first) &&
             !c.load->IsWarm(item.object, now);
    });
  }
  return out;
}

void Placer::Assess(const Waiting& waiting,
                    const WorkTimes& times,
                    Candidate& c,
                    Instant now) {
  const ServerRegistry::Server& server = *c.server;
  const double slots = server.entry.slots;
  const double slowness = c.load->Slowness(now);
  c.full = c.busy >= slots + kAhead;
  c.cold = now < server.cold_until;
  const uint64_t object = waiting.item.object;
  c.warm = object == 0 || c.load->IsWarm(object, now);
  const double fetch = times.cold() - times.warm();
  const double wait = std::max(0.0, c.busy - slots + 1) / slots * times.mean();
  const double rtt = Rtt(server.entry);
  const auto rank = static_cast<size_t>(c.rank);
  const double chance = c.warm                        ? 0
                        : rank < kFetchChance.size() ? kFetchChance[rank]
                                                     : 1;
  c.expected_ms = (times.warm() + chance * fetch + wait) * slowness + rtt;
  c.cost =
      c.expected_ms + c.load->FailureRate(now) * kFailureCost * times.mean();
  // What is fetched at one more server takes slots from others.
  if (!c.warm && c.rank > 0)
    c.cost += fetch * kSpreadCost;
  if (c.full)
    c.cost += fetch * kFullCost;
  const bool joined = now - server.appeared_at < kJoinedLately &&
                      c.load->last_sent() == Instant() &&
                      server.appeared_at - started_at_ > kJoinedLately;
  if (joined && !c.cold && RegionOf(server.entry) == options_.region)
    c.cost -= times.cold();
}

Placer::Candidate Placer::Choose(const Waiting& waiting,
                                 bool& any,
                                 Instant now) {
  const WorkTimes& times = times_.at(waiting.route_name);
  const double cold_rate = ColdRate(waiting.item.service) / host_count_;
  std::vector<Candidate> candidates = Candidates(waiting, now);
  any = !candidates.empty();
  Candidate best;
  std::tuple<double, double> best_key;
  for (Candidate& it : candidates) {
    Assess(waiting, times, it, now);
    if (it.cold && !it.load->MayTakeCold(cold_rate, now))
      continue;
    // Costs within a few milliseconds are equal; the object's order decides.
    const std::tuple<double, double> key(std::floor(it.cost / kSameCostMs),
                                         it.order);
    if (best.server == nullptr || key < best_key) {
      best = it;
      best_key = key;
    }
  }
  return best;
}

double Placer::QueueWait(const Waiting& waiting, double service_ms) const {
  const auto it = demand_.find(waiting.item.service);
  const int running = it == demand_.end() ? 0 : it->second.in_flight;
  int ahead = 0;
  for (const Waiting& other : queue_) {
    if (other.item.service == waiting.item.service &&
        (other.priority < waiting.priority ||
         (other.priority == waiting.priority && other.order < waiting.order))) {
      ++ahead;
    }
  }
  return service_ms * (ahead + 1) / std::max(1, running);
}

Placement Placer::Send(const Waiting& waiting,
                       const Candidate& best,
                       Instant now) {
  const PlaceItem& item = waiting.item;
  const ServerId& id = best.server->entry.id;
  if (best.cold)
    best.load->TryTakeCold(ColdRate(item.service) / host_count_, now);
  Flight flight;
  flight.server = id;
  flight.service = item.service;
  flight.route_name = waiting.route_name;
  flight.object = item.object;
  flight.was_warm = best.warm;
  flight.was_full = best.busy >= best.server->entry.slots;
  flight.slowness = best.load->Slowness(now);
  flight.expected_ms = best.expected_ms;
  best.load->OnSent(now);
  // The object is at hand from when the server begins on its first request.
  if (item.object != 0)
    best.load->SetWarm(item.object, now);
  ++demand_[item.service].in_flight;
  flights_[item.id] = std::move(flight);
  Placement out;
  out.item = item.id;
  out.step = PlaceStep::kSend;
  out.server = id;
  out.busy = best.busy;
  out.expected_ms = best.expected_ms;
  out.warm = best.warm;
  out.queued = static_cast<int>(queue_.size());
  return out;
}

Placement Placer::Refuse(const Waiting& waiting,
                         PlaceRefusal refusal,
                         Duration wait,
                         Instant) {
  Placement out;
  out.item = waiting.item.id;
  out.step = PlaceStep::kRefuse;
  out.refusal = refusal;
  out.retry_after = std::clamp(wait, kShortestReturn, kLongestReturn);
  out.queued = static_cast<int>(queue_.size());
  return out;
}

Placement Placer::Decide(const Waiting& waiting, bool queued, Instant now) {
  bool any = false;
  const Candidate best = Choose(waiting, any, now);
  const double left = Millis(waiting.item.deadline - now) - kAnswerMargin;
  const WorkTimes& times = times_.at(waiting.route_name);
  // A server that was slow may be so no more: only what cannot be met at the
  // usual speed is refused while a slot is free.
  const bool fits = !times.known() || times.warm() <= left;
  if (best.server != nullptr && !best.full && fits && left > 0)
    return Send(waiting, best, now);
  if (!any)
    return Refuse(waiting, PlaceRefusal::kNoServer, Duration(400), now);
  const double service = times.known() ? times.warm() : 0;
  const double wait = QueueWait(waiting, times.mean());
  // A request that waits already is refused only when it could not be answered
  // even if it were sent now.
  const double needed = queued ? service : service + wait;
  if (needed > left || (best.server != nullptr && !best.full)) {
    return Refuse(waiting, PlaceRefusal::kTooLate,
                  Duration(static_cast<int64_t>(wait)), now);
  }
  Placement out;
  out.item = waiting.item.id;
  out.step = PlaceStep::kWait;
  out.queued = static_cast<int>(queue_.size());
  return out;
}

Placement Placer::Offer(const PlaceItem& item, Instant now) {
  TimesOf(*item.route);
  Waiting waiting;
  waiting.item = item;
  waiting.item.route = nullptr;
  if (!item.route->sticky)
    waiting.item.object = 0;
  waiting.priority = item.route->priority;
  waiting.order = next_order_++;
  waiting.route_name = item.route->name;
  waiting.allowed_regions = item.route->allowed_regions;
  demand_[item.service].Add(times_.at(waiting.route_name).warm(), now);
  const Placement out = Decide(waiting, false, now);
  if (out.step == PlaceStep::kWait)
    queue_.push_back(std::move(waiting));
  return out;
}

void Placer::Withdraw(uint64_t item) {
  queue_.remove_if([&](const Waiting& w) { return w.item.id == item; });
}

void Placer::Finish(const SendResult& result, Instant now) {
  const auto it = flights_.find(result.item);
  if (it == flights_.end())
    return;
  const Flight flight = std::move(it->second);
  flights_.erase(it);
  --demand_[flight.service].in_flight;
  const auto load = loads_.find(flight.server);
  if (load == loads_.end())
    return;
  ServerLoad& figures = load->second;
  figures.OnEnded();
  if (result.reported)
    figures.OnReport(result.running, result.waiting, now);
  WorkTimes& times = times_.at(flight.route_name);
  const double took = Millis(result.took);
  switch (result.end) {
    case SendEnd::kAnswered:
      figures.OnSuccess(now);
      if (!flight.was_full) {
        const double work = took / flight.slowness;
        const double usual = flight.was_warm || times.LooksWarm(work)
                                 ? times.warm()
                                 : times.cold();
        figures.OnSpeed(took / std::max(1.0, usual), now);
        times.Learn(work, flight.was_warm);
      }
      break;
    case SendEnd::kFailed:
    case SendEnd::kRefused:
      figures.OnFailure(now);
      break;
    case SendEnd::kTimedOut:
      figures.OnSpeed(took / std::max(1.0, times.mean()), now);
      figures.OnFailure(now);
      break;
    case SendEnd::kMisdirected:
    case SendEnd::kNotConnected:
    case SendEnd::kBroken:
      figures.OnFailure(now);
      figures.Suspend(now);
      break;
    case SendEnd::kCancelled:
      break;
  }
}

std::vector<Placement> Placer::Advance(Instant now) {
  std::vector<Placement> out;
  if (queue_.empty())
    return out;
  std::vector<std::list<Waiting>::iterator> order;
  order.reserve(queue_.size());
  for (auto it = queue_.begin(); it != queue_.end(); ++it)
    order.push_back(it);
  const auto urgency = [&](const Waiting& w) {
    const double service = times_.at(w.route_name).warm();
    const bool late = Millis(w.item.target - now) < service;
    return std::tuple(late, w.priority, w.order);
  };
  std::sort(order.begin(), order.end(), [&](const auto& a, const auto& b) {
    return urgency(*a) < urgency(*b);
  });
  for (const auto& it : order) {
    Placement placement = Decide(*it, true, now);
    if (placement.step == PlaceStep::kWait)
      continue;
    out.push_back(std::move(placement));
    queue_.erase(it);
  }
  return out;
}

void Placer::Forget(const ServerId& server) {
  const auto it = loads_.find(server);
  if (it == loads_.end())
    return;
  // Requests in flight there end by Finish(), which finds nothing.
  loads_.erase(it);
}

std::string Placer::Explain(const ServiceId& service, Instant now) const {
  boost::json::array servers;
  for (const ServerRegistry::Server* it : registry_.Usable(service)) {
    boost::json::object row{{"server", it->entry.id.str()},
                            {"zone", it->entry.zone.str()},
                            {"slots", it->entry.slots},
                            {"seen_ms_ago", (now - it->seen_at).ms()},
                            {"cold", now < it->cold_until}};
    if (const auto load = loads_.find(it->entry.id); load != loads_.end()) {
      row["in_flight"] = load->second.in_flight();
      row["others"] = load->second.Others(now);
      row["slowness"] = load->second.Slowness(now);
      row["failure_rate"] = load->second.FailureRate(now);
      row["suspended"] = load->second.IsSuspended(now);
    }
    servers.push_back(std::move(row));
  }
  return boost::json::serialize(servers);
}

}  // namespace toucanknot
