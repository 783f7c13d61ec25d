#include "include/placing/placer.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <tuple>
#include <utility>

namespace toucanknot {
namespace {

// Requests that are sent to a full server beyond its slots, so that it has the
// next one at hand when a slot gets free.
constexpr double kAhead = 1;
// The part of the extra time of a server that has to fetch the object that
// counts against it: the object is at hand there for later requests.
constexpr double kFetchShare = 0.5;
// What a certain failure counts, in times of the usual work.
constexpr double kFailureCost = 4;
// A server that joined lately is tried although others know the object.
constexpr Duration kJoinedLately{12'000};
constexpr Duration kTryJoinedEvery{2'500};
// Shortest and longest time after which a refused caller is told to return.
constexpr Duration kShortestReturn{150};
constexpr Duration kLongestReturn{2'000};
// What an answer needs from the server to the caller, in ms.
constexpr double kAnswerMargin = 10;

double Millis(Duration d) {
  return static_cast<double>(d.ms());
}

// The order of the servers for an object, the same at all hosts.
uint64_t Rank(uint64_t object, const ServerId& server) {
  return XXH3_64bits_withSeed(server.str().data(), server.str().size(), object);
}

}  // namespace

Placer::Placer(Options options, const ServerRegistry& registry)
    : options_(std::move(options)), registry_(registry) {}

ServerLoad& Placer::LoadOf(const ServerId& id, Instant now) {
  return loads_.try_emplace(id, now).first->second;
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

Placer::Candidate Placer::Assess(const Waiting& waiting,
                                 const ServerRegistry::Server& server,
                                 const WorkTimes& times,
                                 Instant now) {
  Candidate c;
  c.server = &server;
  c.load = &LoadOf(server.entry.id, now);
  const double slots = std::max(1, server.entry.slots);
  const double slowness = c.load->Slowness(now);
  c.busy = c.load->Busy(now);
  c.full = c.busy >= slots + kAhead;
  c.cold = now < server.cold_until;
  const uint64_t object = waiting.item.object;
  c.warm = object == 0 || c.load->IsWarm(object, now);
  const double usual = c.warm ? times.warm() : times.cold();
  const double wait = std::max(0.0, c.busy - slots + 1) / slots * times.mean();
  const double rtt = Rtt(server.entry);
  c.expected_ms = (usual + wait) * slowness + rtt;
  double counted = usual;
  if (!c.warm)
    counted = times.warm() + (times.cold() - times.warm()) * kFetchShare;
  c.cost = (counted + wait) * slowness + rtt +
           c.load->FailureRate(now) * kFailureCost * times.mean();
  const bool joined = now - server.appeared_at < kJoinedLately &&
                      now - c.load->last_sent() > kTryJoinedEvery;
  if (joined && !c.cold && c.load->in_flight() == 0)
    c.cost -= times.cold();
  return c;
}

Placer::Candidate Placer::Choose(const Waiting& waiting,
                                 bool& any,
                                 Instant now) {
  const PlaceItem& item = waiting.item;
  const WorkTimes& times = times_.at(waiting.route_name);
  const double cold_rate = ColdRate(item.service) / host_count_;
  Candidate best;
  std::tuple<double, uint64_t> best_key;
  any = false;
  for (const ServerRegistry::Server* it : registry_.Usable(item.service)) {
    const ServerId& id = it->entry.id;
    if (std::find(item.avoid.begin(), item.avoid.end(), id) != item.avoid.end())
      continue;
    if (!waiting.allowed_regions.empty()) {
      const auto region = options_.regions.find(it->entry.zone);
      if (region == options_.regions.end() ||
          std::find(waiting.allowed_regions.begin(),
                    waiting.allowed_regions.end(),
                    region->second) == waiting.allowed_regions.end()) {
        continue;
      }
    }
    Candidate c = Assess(waiting, *it, times, now);
    if (c.load->IsSuspended(now))
      continue;
    any = true;
    if (c.cold && !c.load->MayTakeCold(cold_rate, now))
      continue;
    // Costs within a few milliseconds are equal; the object's order decides.
    const std::tuple<double, uint64_t> key(std::floor(c.cost / 8),
                                           Rank(item.object, id));
    if (best.server == nullptr || key < best_key) {
      best = c;
      best_key = key;
    }
  }
  return best;
}

double Placer::QueueWait(const Waiting& waiting, double service_ms) const {
  const auto it = in_flight_.find(waiting.item.service);
  const int running = it == in_flight_.end() ? 0 : it->second;
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
  ++in_flight_[item.service];
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
  if (best.server != nullptr && !best.full && times.warm() <= left)
    return Send(waiting, best, now);
  if (!any)
    return Refuse(waiting, PlaceRefusal::kNoServer, Duration(400), now);
  const double service =
      best.server != nullptr && !best.full ? best.expected_ms : times.mean();
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
  --in_flight_[flight.service];
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
      if (flight.object != 0)
        figures.SetWarm(flight.object, now);
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
