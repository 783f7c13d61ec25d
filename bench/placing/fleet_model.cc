#include "bench/placing/fleet_model.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace toucanknot {
namespace {

// Network latency in one direction, in ms.
constexpr int64_t kInRegionMs = 1;
// How often the speeds of machines change.
constexpr int64_t kSpeedStepMs = 100;
constexpr int64_t kAfterStartMs = 12'000;
constexpr int64_t kJustStartedMs = 3'000;
constexpr int64_t kShiftSpanMs = 2'000;
constexpr int64_t kSettleMs = 6'000;
// Minimum number of requests for meaningful shares.
constexpr int kMinRequestsForShift = 60;
constexpr double kWorkDeviation = 0.15;

std::string RegionName(size_t region) {
  return "region-" + std::to_string(region);
}

std::string ZoneName(size_t region) {
  return "zone-" + std::to_string(region);
}

ModelSetup FillDefaults(ModelSetup setup) {
  setup.host_weights.resize(setup.hosts_per_region, 1);
  return setup;
}

}  // namespace

struct FleetModel::Server {
  ServerEntry entry;
  size_t region = 0;
  int running = 0;
  std::deque<RequestPtr> waiting;
  // Cached objects, most recent first.
  std::list<uint64_t> objects;
  double slow = 1;
  // Logarithm of the time of work relative to usual.
  double log_work_ratio = 0;
  int64_t started_at = 0;
  // Not registered before its start.
  bool absent = false;
};

struct FleetModel::Host {
  Host(size_t r, Placer::Options options, Instant now)
      : region(r),
        registry([](ServerChange, const ServerRegistry::Server&) {}),
        placer(std::move(options), registry, now) {}

  size_t region;
  ServerRegistry registry;
  Placer placer;
  uint64_t sheets_sent = 0;
  std::map<uint64_t, RequestPtr> queued;
};

struct FleetModel::Request {
  const Route* route = nullptr;
  const ModelRoute* model = nullptr;
  size_t region = 0;
  Host* host = nullptr;
  uint64_t object = 0;
  int64_t first_asked = 0;
  int64_t asked = 0;
  int64_t deadline = 0;
  PlacementRequest placement_request;
  bool retried = false;
  bool ended = false;
  int64_t sent_at = 0;
};

ModelResult ModelOutcome::Total() const {
  ModelResult total;
  for (const auto& [name, it] : routes) {
    total.asked += it.asked;
    total.in_target += it.in_target;
    total.late += it.late;
    total.refused += it.refused;
    total.failed += it.failed;
    total.slowest_refusal_ms =
        std::max(total.slowest_refusal_ms, it.slowest_refusal_ms);
  }
  return total;
}

ModelSetup TrackerSetup(double load) {
  ModelSetup setup;
  setup.routes = {
      {"lookup", 36 * load, 26, 880, 0.3, Duration(600), Duration(1'500), 2},
      {"sign-off", 11 * load, 24, 1'160, 0.3, Duration(800), Duration(1'500),
       1}};
  setup.servers = {2, 10, 12};
  return setup;
}

FleetModel::FleetModel(ModelSetup setup)
    : setup_(FillDefaults(std::move(setup))),
      random_(setup_.seed),
      speed_random_(setup_.seed) {
  auto config = std::make_shared<RouteConfig>();
  config->version = 1;
  for (const ModelRoute& it : setup_.routes) {
    Route route;
    route.name = it.name;
    route.target_latency = it.target;
    route.timeout = it.timeout;
    route.priority = it.priority;
    route.sticky = true;
    route.targets = {{ServiceId("s"), 1}};
    config->routes.push_back(std::move(route));
  }
  config_ = config;
  Placer::Options options;
  for (size_t region = 0; region < setup_.servers.size(); ++region) {
    options.regions[ZoneId(ZoneName(region))] = RegionId(RegionName(region));
    for (int i = 0; i < setup_.servers[region]; ++i) {
      auto server = std::make_unique<Server>();
      server->region = region;
      server->entry.id = ServerId("server-" + std::to_string(region) + "-" +
                                  std::to_string(i));
      server->entry.service = ServiceId("s");
      server->entry.zone = ZoneId(ZoneName(region));
      server->entry.slots = setup_.slots;
      by_id_[server->entry.id] = server.get();
      servers_.push_back(std::move(server));
    }
  }
  outcome_.regions.resize(setup_.servers.size());
  ran_in_.assign(setup_.servers.size(),
                 std::vector<int>(setup_.servers.size()));
  ran_in_previous_ = ran_in_;
  for (const ModelStart& start : setup_.starts) {
    first_start_ = std::min(first_start_, kStart + start.at.ms());
    for (int i = 0; i < start.count && !start.restart; ++i) {
      by_id_
          .at(ServerId("server-" + std::to_string(start.region) + "-" +
                       std::to_string(start.first + i)))
          ->absent = true;
    }
  }
  std::vector<FleetHost> fleet_hosts;
  const int all =
      setup_.hosts_per_region * static_cast<int>(setup_.servers.size());
  for (size_t region = 0; region < setup_.servers.size(); ++region) {
    for (int i = 0; i < setup_.hosts_per_region; ++i) {
      options.host = HostId(std::to_string(hosts_.size()));
      options.capacity = setup_.host_weights[i];
      options.zone = ZoneId(ZoneName(region));
      options.region = RegionId(RegionName(region));
      auto host = std::make_unique<Host>(region, options, Now());
      host->placer.OnConfig(config_);
      host->placer.SetHostCount(all);
      fleet_hosts.push_back({HostKey(options.host), options.region,
                             options.zone, options.capacity});
      for (const auto& it : servers_) {
        if (!it->absent)
          host->registry.OnEntry(it->entry, Now());
      }
      hosts_.push_back(std::move(host));
    }
  }
  for (const auto& it : hosts_)
    it->placer.SetHosts(fleet_hosts);
}

FleetModel::~FleetModel() = default;

void FleetModel::ScheduleAt(int64_t ms, std::function<void()> run) {
  events_.push({ms, ++order_, std::move(run)});
}

ModelOutcome FleetModel::Run() {
  for (size_t region = 0; region < setup_.servers.size(); ++region) {
    for (size_t i = 0; i < setup_.routes.size(); ++i)
      ScheduleArrival(region, config_->routes[i], setup_.routes[i]);
  }
  if (setup_.slow_part > 0) {
    ScheduleAt(kStart + setup_.slow_from.ms(), [this] {
      const double step = 1 / setup_.slow_part;
      for (double i = 0; i < static_cast<double>(servers_.size()); i += step)
        servers_[static_cast<size_t>(i)]->slow = setup_.slow_by;
    });
  }
  for (const ModelStart& it : setup_.starts)
    ScheduleAt(kStart + it.at.ms(), [this, &it] { StartServers(it); });
  ScheduleAt(kStart, [this] { Tick(); });
  while (!events_.empty()) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
  }
  if (started_samples_ > 0) {
    outcome_.mean_at_started = static_cast<double>(started_requests_) /
                               static_cast<double>(started_samples_);
  }
  return outcome_;
}

void FleetModel::ScheduleArrival(size_t region,
                                 const Route& route,
                                 const ModelRoute& m) {
  const int64_t since = now_ - kStart;
  const bool burst =
      since >= setup_.burst_from.ms() && since < setup_.burst_to.ms();
  const double rate = m.rate * (burst ? setup_.burst_by : 1);
  std::exponential_distribution<double> gap(rate / 1'000);
  const int64_t at = now_ + std::max<int64_t>(1, std::llround(gap(random_)));
  if (at > kStart + setup_.length.ms())
    return;
  ScheduleAt(at, [this, region, &route, &m] {
    auto request = std::make_shared<Request>();
    request->route = &route;
    request->model = &m;
    request->region = region;
    std::uniform_int_distribution<uint64_t> object(1, m.objects);
    request->object =
        (region * setup_.routes.size() + (&m - setup_.routes.data())) * 1'000 +
        object(random_);
    request->first_asked = now_;
    ++outcome_.routes[m.name].asked;
    ++outcome_.regions[region].asked;
    if (IsAfterStart(*request))
      ++outcome_.after_start.asked;
    Offer(request);
    ScheduleArrival(region, route, m);
  });
}

void FleetModel::Offer(const RequestPtr& request) {
  std::discrete_distribution<int> pick(setup_.host_weights.begin(),
                                       setup_.host_weights.end());
  request->host =
      hosts_[request->region * setup_.hosts_per_region + pick(random_)].get();
  request->asked = now_;
  request->deadline = now_ + request->model->timeout.ms();
  request->placement_request.id = ++last_request_id_;
  request->placement_request.route = request->route;
  request->placement_request.service = ServiceId("s");
  request->placement_request.object = request->object;
  request->placement_request.target =
      Instant(request->first_asked) + request->model->target;
  request->placement_request.deadline = Instant(request->deadline);
  request->placement_request.returned =
      setup_.returns_known && request->retried;
  if (!setup_.naive) {
    Apply(request,
          request->host->placer.Offer(request->placement_request, Now()));
    return;
  }
  // Without the placer, every server is equally likely.
  std::uniform_int_distribution<size_t> server(0, servers_.size() - 1);
  Send(request, servers_[server(random_)]->entry.id);
}

void FleetModel::Apply(const RequestPtr& request, const Placement& placement) {
  switch (placement.step) {
    case PlacementStep::kSend:
      Send(request, placement.server);
      break;
    case PlacementStep::kWait:
      request->host->queued[request->placement_request.id] = request;
      ScheduleAt(request->deadline, [this, request] {
        if (request->host->queued.erase(request->placement_request.id) == 0)
          return;
        request->host->placer.Withdraw(request->placement_request.id);
        OnRefused(request, Duration(0));
      });
      break;
    case PlacementStep::kRefuse:
      OnRefused(request, placement.retry_after);
      break;
  }
}

void FleetModel::OnRefused(const RequestPtr& request, Duration retry_after) {
  ModelResult& result = outcome_.routes[request->model->name];
  result.slowest_refusal_ms =
      std::max(result.slowest_refusal_ms, now_ - request->asked);
  if (request->retried) {
    ++result.refused;
    return;
  }
  request->retried = true;
  ScheduleAt(now_ + retry_after.ms(), [this, request] { Offer(request); });
}

void FleetModel::Send(const RequestPtr& request, const ServerId& id) {
  Server& server = *by_id_.at(id);
  request->sent_at = now_;
  const int64_t latency = Latency(*request->host, server);
  ScheduleAt(request->deadline, [this, request, &server] {
    if (request->ended)
      return;
    request->ended = true;
    std::erase(server.waiting, request);
    ++outcome_.routes[request->model->name].failed;
    Finish(request, ServerAttemptEnd::kTimedOut, server);
  });
  ScheduleAt(now_ + latency, [this, request, &server] {
    ++outcome_.sends;
    outcome_.max_at_server =
        std::max(outcome_.max_at_server,
                 server.running + static_cast<int>(server.waiting.size()) + 1);
    CountRegion(*request, server.region);
    if (server.running < setup_.slots) {
      StartRun(server, request);
    } else if (static_cast<int>(server.waiting.size()) < setup_.queue) {
      server.waiting.push_back(request);
    } else {
      request->ended = true;
      ++outcome_.routes[request->model->name].refused;
      Finish(request, ServerAttemptEnd::kRefused, server);
    }
  });
}

void FleetModel::StartRun(Server& server, const RequestPtr& request) {
  ++server.running;
  const auto it =
      std::find(server.objects.begin(), server.objects.end(), request->object);
  const bool warm = it != server.objects.end();
  if (warm)
    server.objects.erase(it);
  else
    ++outcome_.fetches;
  server.objects.push_front(request->object);
  if (server.objects.size() > setup_.cached_objects)
    server.objects.pop_back();
  std::normal_distribution<double> spread(1, kWorkDeviation);
  const double work = request->model->work_ms *
                      (warm ? request->model->warm_part : 1) * server.slow *
                      std::exp(server.log_work_ratio) *
                      std::max(0.3, spread(random_));
  const auto took = static_cast<int64_t>(std::ceil(work));
  ScheduleAt(now_ + took,
             [this, request, &server, took] { EndRun(server, request, took); });
}

void FleetModel::EndRun(Server& server, const RequestPtr& request, int64_t) {
  --server.running;
  while (!server.waiting.empty() && server.running < setup_.slots) {
    const RequestPtr next = server.waiting.front();
    server.waiting.pop_front();
    StartRun(server, next);
  }
  if (request->ended)
    return;
  const int64_t latency = Latency(*request->host, server);
  ScheduleAt(now_ + latency, [this, request, &server] {
    if (request->ended)
      return;
    request->ended = true;
    ModelResult& result = outcome_.routes[request->model->name];
    if (now_ - request->first_asked <= request->model->target.ms()) {
      ++result.in_target;
      ++outcome_.regions[request->region].in_target;
      if (IsAfterStart(*request))
        ++outcome_.after_start.in_target;
    } else {
      ++result.late;
      if (IsAfterStart(*request))
        ++outcome_.after_start.late;
    }
    Finish(request, ServerAttemptEnd::kAnswered, server);
  });
}

void FleetModel::Finish(const RequestPtr& request,
                        ServerAttemptEnd end,
                        const Server& server) {
  PlacedAttemptResult result;
  result.request_id = request->placement_request.id;
  result.server = server.entry.id;
  result.end = end;
  result.took = Duration(now_ - request->sent_at);
  if (setup_.distances_known)
    result.connect_took = Duration(2 * Latency(*request->host, server));
  result.reported = end != ServerAttemptEnd::kTimedOut;
  result.running = server.running;
  result.waiting = static_cast<int>(server.waiting.size());
  if (setup_.speed_reported && result.reported)
    result.work_ratio = std::exp(server.log_work_ratio);
  request->host->placer.Finish(result, Now());
  Advance(*request->host);
}

void FleetModel::Advance(Host& host) {
  for (const Placement& it : host.placer.Advance(Now())) {
    const auto found = host.queued.find(it.request_id);
    if (found == host.queued.end())
      continue;
    const RequestPtr request = found->second;
    host.queued.erase(found);
    Apply(request, it);
  }
}

int64_t FleetModel::Latency(const Host& host, const Server& server) const {
  return server.region == host.region ? kInRegionMs
                                      : setup_.between_regions.ms();
}

void FleetModel::StartLeaving() {
  int left =
      static_cast<int>(setup_.servers[setup_.leave_region] * setup_.leave_part);
  for (const auto& it : servers_) {
    if (it->region != setup_.leave_region || left-- <= 0)
      continue;
    it->entry.leaving = true;
    for (const auto& host : hosts_)
      host->registry.OnEntry(it->entry, Now());
  }
}

void FleetModel::StartServers(const ModelStart& start) {
  for (int i = 0; i < start.count; ++i) {
    Server& server =
        *by_id_.at(ServerId("server-" + std::to_string(start.region) + "-" +
                            std::to_string(start.first + i)));
    server.absent = false;
    server.objects.clear();
    server.started_at = now_;
    server.slow = start.slow_by;
    ScheduleAt(now_ + start.slow_for.ms(), [&server] { server.slow = 1; });
    ++server.entry.incarnation;
    for (const auto& host : hosts_) {
      host->placer.ForgetServer(server.entry.id);
      host->registry.OnEntry(server.entry, Now());
    }
  }
}

bool FleetModel::IsAfterStart(const Request& request) const {
  return request.first_asked >= first_start_ &&
         request.first_asked < first_start_ + kAfterStartMs;
}

void FleetModel::MeasureStarted() {
  for (const auto& it : servers_) {
    if (it->started_at == 0 || now_ - it->started_at >= kJustStartedMs)
      continue;
    ++started_samples_;
    started_requests_ += it->running + static_cast<int>(it->waiting.size());
  }
}

void FleetModel::ChangeSpeeds() {
  const double kept = std::exp(-static_cast<double>(kSpeedStepMs) /
                               static_cast<double>(setup_.speed_persists.ms()));
  std::normal_distribution<double> step(
      0, setup_.speed_spread * std::sqrt(1 - kept * kept));
  for (const auto& it : servers_)
    it->log_work_ratio = it->log_work_ratio * kept + step(speed_random_);
}

void FleetModel::Tick() {
  const int64_t since = now_ - kStart;
  if (since > 0 && since == setup_.leave_from.ms())
    StartLeaving();
  MeasureStarted();
  if (since % kSpeedStepMs == 0 && setup_.speed_spread > 0)
    ChangeSpeeds();
  if (since % 100 == 0) {
    for (const auto& from : hosts_) {
      // Same intervals as LoadExchange.
      const bool crowded = from->placer.crowded(Now());
      const bool near = since % (crowded ? 100 : 200) == 0;
      const bool far = since % (crowded ? 200 : 600) == 0;
      if (!near && !far)
        continue;
      const auto at = static_cast<size_t>(&from - hosts_.data());
      const LoadSheet sheet{HostKey(HostId(std::to_string(at))),
                            1,
                            ++from->sheets_sent,
                            from->placer.OwnServerLoads(),
                            {},
                            from->placer.OwnDemands(Now())};
      for (const auto& to : hosts_) {
        std::bernoulli_distribution lost(setup_.sheet_loss);
        if (to != from && (far || to->region == from->region) && !lost(random_))
          to->placer.OnPeerLoadSheet(sheet, Now());
      }
    }
  }
  for (const auto& it : hosts_) {
    it->placer.Tick(Now());
    Advance(*it);
  }
  if (since % kShiftSpanMs == 0 && since > 0) {
    ran_in_previous_ = ran_in_;
    for (auto& it : ran_in_)
      std::fill(it.begin(), it.end(), 0);
  }
  if (since <= setup_.length.ms())
    ScheduleAt(now_ + Placer::kAdvanceEvery.ms(), [this] { Tick(); });
}

void FleetModel::CountRegion(const Request& request, size_t ran_in) {
  std::vector<int>& now = ran_in_[request.region];
  ++now[ran_in];
  const std::vector<int>& before = ran_in_previous_[request.region];
  const int64_t since = now_ - kStart;
  // Only when the span is nearly complete.
  if (since < kSettleMs || since % kShiftSpanMs < kShiftSpanMs - 20)
    return;
  double all = 0;
  double all_before = 0;
  for (size_t i = 0; i < now.size(); ++i) {
    all += now[i];
    all_before += before[i];
  }
  if (all < kMinRequestsForShift || all_before < kMinRequestsForShift)
    return;
  double moved = 0;
  for (size_t i = 0; i < now.size(); ++i)
    moved += std::abs(now[i] / all - before[i] / all_before) / 2;
  outcome_.max_shift = std::max(outcome_.max_shift, moved);
}

}  // namespace toucanknot
