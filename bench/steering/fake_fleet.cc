#include "bench/steering/fake_fleet.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace toucanknot::bench {
namespace {

constexpr int64_t kUsPerMs = 1'000;
constexpr int64_t kUsPerSecond = 1'000'000;
// Interval of load reports to peers inside the region and in other regions.
constexpr int64_t kExchangeUs = 20 * kUsPerMs;
constexpr int64_t kExchangeBetweenRegionsUs = 100 * kUsPerMs;
constexpr int64_t kProbeUs = kUsPerSecond;
constexpr int64_t kAdvanceUs = 100 * kUsPerMs;
// How long the host list and the membership take to notice a change.
constexpr int64_t kNoticeDelayUs = kUsPerSecond;
// With Fault::kMisleading, one in this many servers is slow and one fails.
constexpr size_t kMisleadingStep = 10;

constexpr size_t Second(int64_t us) {
  return static_cast<size_t>(us / kUsPerSecond);
}

}  // namespace

FakeFleet::FakeFleet(const Deployment& deployment,
                     const Scenario& scenario,
                     Policy policy,
                     QueueOrder order,
                     uint64_t seed)
    : deployment_(deployment),
      scenario_(scenario),
      policy_(policy),
      order_(order),
      seed_(seed),
      rng_(seed ^ 0x5eed),
      arrivals_(MakeArrivals(deployment, scenario, seed)) {
  const FleetConfig& config = *deployment.config;
  const size_t regions = config.regions.size();
  links_.resize(regions, std::vector<LinkState>(regions));
  for (size_t from = 0; from < regions; ++from) {
    for (size_t to = 0; to < regions; ++to) {
      const Link* link =
          config.FindLink(config.regions[from].id, config.regions[to].id);
      if (link) {
        links_[from][to] = {.bits_per_us = link->mbit_per_s,
                            .one_way_us = link->one_way.ms() * kUsPerMs};
      }
      links_[from][to].bytes_in_second.resize(kRunMs / 1000 + 60);
    }
  }
  for (const Traffic& it : deployment.traffic) {
    ServiceMeasures measures{.service = it.service};
    measures.answered_in_second.resize(kRunMs / 1000 + 60);
    measures.arrived_in_second.resize(kRunMs / 1000 + 60);
    measures.requests_in_second.resize(kRunMs / 1000 + 60);
    measures.shifted_in_second.resize(kRunMs / 1000 + 60);
    measures_.services.push_back(std::move(measures));
  }
  capacity_.resize(deployment.traffic.size());
  leaving_since_us_.resize(deployment.traffic.size(), -1);
  MakeServers();
  for (const EntryHost& it : config.hosts) {
    Host host{.config = it};
    host.region = LocationOf(it.zone).region;
    hosts_.push_back(std::move(host));
  }
  believed_live_.assign(hosts_.size(), true);
  slow_starts_.assign(regions, SlowStart(SlowStart::Options()));
  for (size_t i = 0; i < hosts_.size(); ++i)
    StartHost(i);
  AnnounceLiveHosts();
}

void FakeFleet::MakeServers() {
  const bool misleading = scenario_.fault == Fault::kMisleading;
  for (const Service& service : deployment_.config->services) {
    auto& list = servers_.emplace_back();
    for (const BackendServer& it : service.servers) {
      auto server = std::make_unique<FakeServer>(events_, it);
      FakeServer::Traits& traits = server->traits();
      const size_t i = list.size();
      traits.misleads = misleading;
      if (misleading && i % kMisleadingStep == 0)
        traits.slowness = 10;
      traits.fails = misleading && i % kMisleadingStep == 1;
      if (scenario_.fault == Fault::kCold && LocationOf(it.zone).region == 0)
        traits.cold_since_us = 0;
      list.push_back(std::move(server));
    }
  }
}

void FakeFleet::StartHost(size_t index) {
  Host& host = hosts_[index];
  host.alive = true;
  ++host.incarnation;
  host.legs.clear();
  host.dispatchers.clear();
  host.limits =
      std::make_unique<HostLimits>(deployment_, host.config.id, events_.now());
  const FleetConfigPtr config = deployment_.config;
  host.wake_ms.assign(config->services.size(), -1);
  for (size_t i = 0; i < config->services.size(); ++i) {
    host.dispatchers.push_back(DispatcherBuilder()
                                   .SetService(config->services[i].id)
                                   .SetHost(host.config.id)
                                   .SetSeed(seed_ * 100 + index)
                                   .SetPolicy(policy_)
                                   .SetQueueOrder(order_)
                                   .SetHooks(CountedHooks(host, i))
                                   .Build());
    host.dispatchers.back()->OnConfig(config, 0, events_.now());
  }
}

SteeringHooks FakeFleet::CountedHooks(Host& host, size_t service) {
  SteeringHooks hooks = host.limits->HooksFor(service);
  ServiceMeasures& m = measures_.services[service];
  hooks.on_request = [this, &m, limit = hooks.on_request](
                         const DispatchRequest& request, Instant now) {
    ++m.requests_in_second[Second(events_.now_us())];
    limit(request, now);
  };
  hooks.may_forward = [this, &m, limit = hooks.may_forward](
                          const RegionId& region,
                          const DispatchRequest& request, Instant now) {
    const Refusal refusal = limit(region, request, now);
    if (refusal == Refusal::kNone)
      ++m.shifted_in_second[Second(events_.now_us())];
    return refusal;
  };
  return hooks;
}

FakeFleet::Location FakeFleet::LocationOf(const ZoneId& zone) const {
  const auto& regions = deployment_.config->regions;
  const RegionId region = deployment_.config->RegionOf(zone);
  size_t i = 0;
  while (i < regions.size() && regions[i].id != region)
    ++i;
  return {zone, i};
}

FakeFleet::Location FakeFleet::LocationOf(const Host& host) const {
  return {host.config.zone, host.region};
}

bool FakeFleet::IsAffected(const Location& location) const {
  const Region& first = deployment_.config->regions.front();
  switch (scenario_.fault) {
    case Fault::kZone:
      return location.zone == first.zones.front();
    case Fault::kRegion:
      return location.region == 0;
    default:
      return false;
  }
}

bool FakeFleet::Reachable(const Location& a, const Location& b) const {
  if (!fault_active_)
    return true;
  if (scenario_.fault == Fault::kPartition)
    return a.region != 0 || b.region != 0 || a.zone == b.zone;
  return !IsAffected(a) && !IsAffected(b);
}

void FakeFleet::Transfer(const Location& from,
                         const Location& to,
                         int64_t bytes,
                         std::function<void()> arrive) {
  if (!Reachable(from, to))
    return;
  if (from.region == to.region) {
    const int64_t us = from.zone == to.zone ? deployment_.same_zone_us
                                            : deployment_.between_zones_us;
    events_.ScheduleAfter(us, std::move(arrive));
    return;
  }
  LinkState& link = links_[from.region][to.region];
  const auto us =
      static_cast<int64_t>(static_cast<double>(bytes * 8) / link.bits_per_us);
  link.bytes_in_second[Second(events_.now_us())] += bytes;
  link.busy_until_us = std::max(link.busy_until_us, events_.now_us()) + us;
  events_.ScheduleAt(link.busy_until_us + link.one_way_us, std::move(arrive));
}

void FakeFleet::ScheduleFaults() {
  const bool timed =
      scenario_.fault == Fault::kHost || scenario_.fault == Fault::kZone ||
      scenario_.fault == Fault::kRegion || scenario_.fault == Fault::kPartition;
  if (timed) {
    events_.ScheduleAt(kFaultStartMs * kUsPerMs, [this] { SetFault(true); });
    events_.ScheduleAt(kFaultEndMs * kUsPerMs, [this] { SetFault(false); });
  }
  if (scenario_.server_leaves)
    events_.ScheduleAt(kLeaveMs * kUsPerMs, [this] { StartServerLeaving(); });
}

void FakeFleet::SetFault(bool active) {
  fault_active_ = active;
  for (size_t i = 0; i < hosts_.size(); ++i) {
    const bool one_host = scenario_.fault == Fault::kHost && i == 0;
    if (!one_host && !IsAffected(LocationOf(hosts_[i])))
      continue;
    if (active)
      KillHost(i);
    else
      StartHost(i);
  }
  for (auto& list : servers_) {
    for (auto& it : list) {
      if (!IsAffected(LocationOf(it->config().zone)))
        continue;
      if (active)
        it->Kill();
      else
        it->Restart(true);
    }
  }
  events_.ScheduleAfter(kNoticeDelayUs, [this] {
    for (size_t i = 0; i < hosts_.size(); ++i)
      believed_live_[i] = hosts_[i].alive;
    for (size_t r = 0; r < slow_starts_.size(); ++r) {
      bool available = false;
      for (size_t i = 0; i < hosts_.size(); ++i)
        available |= believed_live_[i] && hosts_[i].region == r;
      slow_starts_[r].Update(available, events_.now());
    }
    AnnounceLiveHosts();
  });
}

void FakeFleet::AnnounceLiveHosts() {
  for (Host& host : hosts_) {
    if (!host.alive)
      continue;
    std::vector<HostId> live;
    for (size_t i = 0; i < hosts_.size(); ++i) {
      if (believed_live_[i] &&
          Reachable(LocationOf(host), LocationOf(hosts_[i])))
        live.push_back(hosts_[i].config.id);
    }
    for (const auto& it : host.dispatchers)
      it->OnHosts(live, events_.now());
  }
}

void FakeFleet::StartServerLeaving() {
  for (size_t service = 0; service < servers_.size(); ++service) {
    const size_t last = servers_[service].size() - 1;
    servers_[service][last]->leaving = true;
    leaving_since_us_[service] = events_.now_us();
    const ServerId id = servers_[service][last]->config().id;
    events_.ScheduleAfter(kNoticeDelayUs, [this, service, id] {
      for (size_t i = 0; i < hosts_.size(); ++i) {
        if (!hosts_[i].alive)
          continue;
        hosts_[i].limits->OnLeaving(service, id, events_.now());
        Advance(i, service);
      }
    });
  }
}

void FakeFleet::Probe() {
  const int64_t lag_us = scenario_.lag_ms * kUsPerMs;
  for (size_t h = 0; h < hosts_.size(); ++h) {
    if (!hosts_[h].alive)
      continue;
    for (size_t service = 0; service < servers_.size(); ++service) {
      for (const auto& server : servers_[service]) {
        const Location location = LocationOf(server->config().zone);
        if (location.region != hosts_[h].region)
          continue;
        const bool reached =
            server->alive() && Reachable(LocationOf(hosts_[h]), location);
        LoadReport report = server->Report();
        report.age = Duration(scenario_.lag_ms + 3);
        const int incarnation = hosts_[h].incarnation;
        events_.ScheduleAfter(lag_us + 3 * kUsPerMs, [this, h, service, report,
                                                      reached, incarnation] {
          Host& host = hosts_[h];
          if (!host.alive || host.incarnation != incarnation)
            return;
          host.limits->OnProbe(service,
                               {.server = report.server,
                                .healthy = reached && report.healthy,
                                .leaving = reached && report.leaving,
                                .age = report.age},
                               events_.now());
          if (reached)
            host.dispatchers[service]->OnLoadReport(report, events_.now());
          Advance(h, service);
        });
      }
    }
  }
}

void FakeFleet::ExchangeLoads(bool between_regions) {
  for (size_t from = 0; from < hosts_.size(); ++from) {
    if (!hosts_[from].alive)
      continue;
    for (size_t service = 0; service < servers_.size(); ++service) {
      const PeerLoad load = hosts_[from].dispatchers[service]->OwnLoad();
      for (size_t to = 0; to < hosts_.size(); ++to) {
        const Location a = LocationOf(hosts_[from]);
        const Location b = LocationOf(hosts_[to]);
        if (from == to || (a.region != b.region) != between_regions ||
            !Reachable(a, b))
          continue;
        const int64_t us =
            (between_regions ? links_[a.region][b.region].one_way_us
                             : deployment_.between_zones_us) +
            scenario_.lag_ms * kUsPerMs;
        events_.ScheduleAfter(us, [this, to, service, load, us] {
          if (!hosts_[to].alive)
            return;
          PeerLoad aged = load;
          aged.age = Duration(us / kUsPerMs);
          hosts_[to].dispatchers[service]->OnPeerLoad(aged, events_.now());
          Advance(to, service);
        });
      }
    }
  }
}

void FakeFleet::ScheduleTicks() {
  for (int64_t us = 0; us < kRunMs * kUsPerMs; us += kExchangeUs)
    events_.ScheduleAt(us, [this] { ExchangeLoads(false); });
  for (int64_t us = 0; us < kRunMs * kUsPerMs; us += kExchangeBetweenRegionsUs)
    events_.ScheduleAt(us, [this] { ExchangeLoads(true); });
  for (int64_t us = 0; us < kRunMs * kUsPerMs; us += kProbeUs)
    events_.ScheduleAt(us, [this] { Probe(); });
  for (int64_t us = 0; us < kRunMs * kUsPerMs; us += kAdvanceUs) {
    events_.ScheduleAt(us, [this] {
      Sample();
      for (size_t r = 0; r < slow_starts_.size(); ++r)
        slow_starts_[r].Update(slow_starts_[r].Share(events_.now()) > 0 ||
                                   slow_starts_[r].settling(),
                               events_.now());
      for (Host& it : hosts_) {
        if (it.alive)
          it.limits->Advance(events_.now());
      }
    });
  }
}

double FakeFleet::AliveSlots(size_t service) const {
  double slots = 0;
  for (const auto& it : servers_[service]) {
    if (it->alive() && !it->traits().fails)
      slots += it->config().slots / it->traits().slowness;
  }
  return slots;
}

void FakeFleet::Sample() {
  if (events_.now_us() < kWarmMs * kUsPerMs)
    return;
  for (size_t i = 0; i < servers_.size(); ++i) {
    capacity_[i] += AliveSlots(i) / deployment_.traffic[i].mean_ms *
                    static_cast<double>(kAdvanceUs) / kUsPerMs;
  }
}

Measures FakeFleet::Run() {
  ScheduleTicks();
  ScheduleFaults();
  StartCallerRequest(arrivals_.front());
  events_.RunUntil(kRunMs * kUsPerMs);
  Collect();
  // Requests that are still running at the end are not counted.
  return std::move(measures_);
}

int64_t FakeFleet::DrainMs(size_t service) const {
  const int64_t since = leaving_since_us_[service];
  if (since < 0)
    return -1;
  const int64_t last = servers_[service].back()->last_arrival_us();
  return std::max<int64_t>(last - since, 0) / kUsPerMs;
}

void FakeFleet::Collect() {
  const auto run_us = static_cast<double>(kRunMs * kUsPerMs);
  std::vector<double> busy(links_.size());
  std::vector<double> slots(links_.size());
  for (size_t service = 0; service < servers_.size(); ++service) {
    ServiceMeasures& m = measures_.services[service];
    m.goodput = static_cast<double>(m.answered_in_window) / capacity_[service];
    for (const auto& it : servers_[service]) {
      const size_t region = LocationOf(it->config().zone).region;
      busy[region] += it->BusySlotUs();
      slots[region] += it->config().slots * run_us;
      m.queued_at_servers += it->queued();
      measures_.connection_caps_exceeded += it->over_connections();
    }
    m.drain_ms = DrainMs(service);
    // The limit on shifts: the requests shifted in a second may exceed those
    // shifted in the second before by at most shift_share of the requests of
    // that earlier second.
    const double share = deployment_.config->defaults.shift_share;
    for (size_t s = kWarmMs / 1000; s < kRunMs / 1000; ++s) {
      const double more = static_cast<double>(m.shifted_in_second[s]) -
                          static_cast<double>(m.shifted_in_second[s - 1]);
      if (more > share * static_cast<double>(m.requests_in_second[s - 1]))
        ++measures_.shift_caps_exceeded;
    }
    if (scenario_.fault == Fault::kBurst) {
      size_t s = (kFaultStartMs + kBurstMs) / 1000;
      const size_t end = s;
      const auto keeps_up = [&](size_t at) {
        return static_cast<double>(m.answered_in_second[at]) >=
               0.95 * static_cast<double>(m.arrived_in_second[at]);
      };
      while (s < kRunMs / 1000 && !keeps_up(s))
        ++s;
      m.recovery_ms = static_cast<int64_t>(s - end) * 1000;
    }
  }
  measures_.region_headroom = 1;
  measures_.link_headroom = 1;
  for (size_t i = 0; i < busy.size(); ++i) {
    measures_.region_headroom =
        std::min(measures_.region_headroom, 1 - busy[i] / slots[i]);
  }
  for (const auto& row : links_) {
    for (const LinkState& link : row) {
      if (link.bits_per_us == 0)
        continue;
      for (const int64_t bytes : link.bytes_in_second) {
        const double used =
            static_cast<double>(bytes * 8) / (link.bits_per_us * kUsPerSecond);
        measures_.link_headroom = std::min(measures_.link_headroom, 1 - used);
        if (used > 1)
          ++measures_.link_caps_exceeded;
      }
    }
  }
}

}  // namespace toucanknot::bench
