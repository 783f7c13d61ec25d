#include "include/entry/entry_daemon.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <future>
#include <random>
#include <string>
#include <utility>

#include "include/entry/host_roster.h"
#include "include/health/crash_tracker.h"
#include "include/limits/usage_caps.h"
#include "include/memory/memory_account.h"
#include "include/placing/placer.h"
#include "include/routing/route_table.h"
#include "include/workspaces/access_control.h"
#include "src/entry/bind_retry.h"
#include "src/entry/caller_room.h"
#include "src/entry/decision_log.h"
#include "src/entry/descriptor_budget.h"
#include "src/entry/entry_metrics.h"
#include "src/entry/fleet_reports.h"
#include "src/entry/host_capacity.h"
#include "src/entry/host_gauges.h"
#include "src/entry/load_exchange.h"
#include "src/entry/placement_queue.h"
#include "src/entry/request_runner.h"
#include "src/entry/server_change_log.h"
#include "src/entry/stop_log.h"
#include "src/entry/usage_sheets.h"
#include "src/entry/workspace_explain.h"
#include "src/forward/connection_pool.h"
#include "src/http/http_server.h"
#include "src/http/one_shot.h"
#include "src/http/planned_stop.h"
#include "src/http/worker_pool.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;

// Interval for checking grace periods and the host count.
constexpr Duration kTickInterval = ServerRegistry::kAdvanceEvery;
constexpr int kTicksPerSecond = 10;
// Connections to servers that state no limit are closed after this time.
constexpr Duration kMaxIdle{60'000};
// Callers that cached a lookup learn of a leaving host within this time, two
// lifetimes of a lookup; until then its listener stays open.
constexpr Duration kLeaveNotice{2'500};
constexpr Duration kLookupLifetime{1'000};
// Idle connections are closed only after this percentage of the limit, so that
// the caller's next request and the close do not cross.
constexpr int64_t kIdlePercent = 150;
constexpr Duration kStopPoll{20};
// The process ends this long before it would be killed, so that it can log what
// it leaves unfinished: a host with a small share of a core needs some of it.
constexpr Duration kExitMargin{300};

}  // namespace

// All members are used on the loop after Start(), except for the worker pool.
class EntryDaemon::Impl {
 public:
  Impl(EntrySettings settings, EntryWire names, const StoreFactory& make_store);
  ~Impl();

  void Start();
  const EntrySettings& settings() const { return settings_; }
  void Reload(const EntrySettings& settings);
  void BeginStop();
  bool WaitStopped();

 private:
  HostRecord OwnRecord() const {
    return {settings_.host, settings_.zone, settings_.callers, incarnation_,
            CapacityOf(settings_)};
  }
  FleetStoreListener MakeListener();
  LoadExchange::Hooks ExchangeHooks();
  void OnConfig(const RouteConfigPtr& config);
  void OnServerChange(ServerChange change,
                      const ServerRegistry::Server& server);
  void OnStoreUnreachable(bool unreachable);
  asio::awaitable<void> Tick();
  asio::awaitable<void> FinishStop();
  // Whether this host accepts new callers.
  bool Ready() const {
    return configured_ && servers_known_ && !leaving_ && !caller_room_.full();
  }
  // Notes whether connections of callers use up their descriptors.
  void UpdateFull();
  // Notes whether requests with API keys can be served.
  void UpdateProven();
  void UpdateReady();
  HttpResponse HandleReadiness(const HttpRequest& request) const;
  HttpResponse HandleLookup(const HttpRequest& request) const;
  HttpResponse HandleMetrics(const HttpRequest& request);
  HttpServer::Handler ToHandler(HttpResponse (Impl::*handle)(const HttpRequest&)
                                    const);

  EntrySettings settings_;
  const EntryWire names_;
  const Incarnation incarnation_;
  const DescriptorBudget descriptors_;
  CallerRoom caller_room_;
  // For callers' requests and for responses.
  const std::shared_ptr<MemoryAccount> memory_;
  WorkerPool workers_;
  asio::io_context& loop_;
  std::unique_ptr<FleetStore> store_;
  RouteTable routes_;
  UsageCaps caps_;
  AccessControl access_;
  ServerRegistry registry_;
  Placer placer_;
  PlannedStop stop_;
  PlacementQueue placement_queue_;
  ConnectionPool connections_;
  CrashTracker crashes_;
  EntryMetrics metrics_;
  HostRoster roster_;
  RequestRunner runner_;
  FleetReports reports_;
  LoadExchange load_exchange_;
  HttpServer callers_;
  HttpServer readiness_;
  HttpServer directory_;
  HttpServer metrics_server_;
  uint64_t max_body_bytes_ = CallerLimits().max_body_bytes;
  bool configured_ = false;
  bool servers_known_ = false;
  bool leaving_ = false;
  bool ready_ = false;
  bool proven_ = true;
  bool store_unreachable_ = false;
  std::promise<bool> stopped_;
};

EntryDaemon::Impl::Impl(EntrySettings settings,
                        EntryWire names,
                        const StoreFactory& make_store)
    : settings_(std::move(settings)),
      names_(std::move(names)),
      incarnation_(static_cast<Incarnation>(UnixMillis())),
      descriptors_(DivideDescriptors(settings_.max_descriptors)),
      caller_room_(descriptors_.callers),
      memory_(std::make_shared<MemoryAccount>(
          MemoryAccount::LimitsFor(settings_.memory_bytes))),
      workers_(1),
      loop_(workers_.loop(0)),
      store_(make_store(loop_, settings_)),
      caps_(CapOptions(settings_, incarnation_), SteadyNow()),
      access_({settings_.revoke_within,
               [this] { return store_->counts().proven_at; },
               [this] { return store_unreachable_; }},
              caps_),
      registry_(
          [this](ServerChange change, const ServerRegistry::Server& server) {
            OnServerChange(change, server);
          }),
      placer_({settings_.host, settings_.zone, settings_.region,
               settings_.regions, static_cast<double>(CapacityOf(settings_)),
               Placer::Options::kZoneRtt, Placer::Options::kRegionRtt,
               settings_.pace_servers},
              registry_,
              SteadyNow()),
      placement_queue_(loop_, placer_, stop_),
      connections_(loop_),
      roster_(OwnRecord(), settings_.regions),
      runner_({loop_, settings_, names_, routes_, registry_, placement_queue_,
               connections_, crashes_, metrics_, placer_, *store_, access_,
               stop_}),
      reports_(settings_.host, incarnation_, placer_, crashes_),
      load_exchange_(loop_, settings_.peers, ExchangeHooks()),
      callers_(
          workers_,
          LimitsOf(descriptors_.callers),
          [this](std::string_view) { return max_body_bytes_; },
          [this](HttpRequest request) {
            return runner_.Handle(std::move(request));
          }),
      readiness_(
          workers_,
          SmallLimits(settings_, descriptors_.readiness),
          [](std::string_view) { return uint64_t{0}; },
          ToHandler(&Impl::HandleReadiness)),
      directory_(
          workers_,
          SmallLimits(settings_, descriptors_.directory),
          [](std::string_view) { return uint64_t{0}; },
          ToHandler(&Impl::HandleLookup)),
      metrics_server_(
          workers_,
          SmallLimits(settings_, descriptors_.metrics),
          [](std::string_view) { return uint64_t{0}; },
          [this](HttpRequest request) -> asio::awaitable<HttpResponse> {
            co_return HandleMetrics(request);
          }) {}

EntryDaemon::Impl::~Impl() {
  workers_.Stop();
}

HttpServer::Handler EntryDaemon::Impl::ToHandler(
    HttpResponse (Impl::*handle)(const HttpRequest&) const) {
  return [this, handle](HttpRequest request) -> asio::awaitable<HttpResponse> {
    co_return (this->*handle)(request);
  };
}

void EntryDaemon::Impl::Start() {
  connections_.set_memory(memory_);
  callers_.SetMemory(memory_);
  connections_.set_max_connections(static_cast<size_t>(descriptors_.servers));
  callers_.SetMayOverlap([this](const HttpRequest& request) {
    const Route* route =
        routes_.Find(request.fields.Get("Host"), request.target);
    return route != nullptr && route->kind == RequestKind::kIdempotent;
  });
  callers_.SetOnClosedStopping(&LogClosedConnection);
  callers_.SetBodyTimeLimit(
      {[this](const HttpRequest& head) { return runner_.BodyCompleteBy(head); },
       [this](const HttpRequest& head) { return runner_.RefuseBody(head); }});
  const auto listen = [](const char* what, HttpServer& server, Endpoint& at) {
    at = BindWhenFree(what, at, kBindPatience,
                      [&] { return server.Listen(at); });
  };
  listen("callers", callers_, settings_.callers);
  listen("readiness", readiness_, settings_.readiness);
  listen("directory", directory_, settings_.directory);
  roster_.SetSelf(OwnRecord());
  if (settings_.metrics)
    listen("metrics", metrics_server_, *settings_.metrics);
  BindWhenFree("peers", settings_.peers, kBindPatience, [this] {
    load_exchange_.Start();
    return settings_.peers;
  });
  registry_.SetHeartbeat(settings_.heartbeat);
  asio::post(loop_, [this] {
    LogChange("start", {{"zone", settings_.zone.str()},
                        {"region", settings_.region.str()},
                        {"callers", settings_.callers.ToString()},
                        {"store", settings_.store.ToString()}});
    store_->Start(MakeListener());
    asio::co_spawn(loop_, Tick(), asio::detached);
  });
}

void EntryDaemon::Impl::Reload(const EntrySettings& settings) {
  asio::post(loop_, [this, settings] {
    settings_.lookup_lifetime = settings.lookup_lifetime;
    settings_.retry_ratio = settings.retry_ratio;
    settings_.retry_slack = settings.retry_slack;
    settings_.stop_within = settings.stop_within;
    registry_.SetHeartbeat(settings.heartbeat);
    LogChange("reload", {{"retry_slack", settings.retry_slack}});
  });
}

FleetStoreListener EntryDaemon::Impl::MakeListener() {
  FleetStoreListener listener;
  listener.config = [this](const RouteConfigPtr& config) { OnConfig(config); };
  listener.zone_evacuated = [this](const ZoneId& zone) {
    LogChange("zone_evacuated", {{"zone", zone.str()}});
    registry_.Evacuate(zone);
  };
  listener.zone_restored = [this](const ZoneId& zone) {
    LogChange("zone_restored", {{"zone", zone.str()}});
    registry_.Restore(zone, SteadyNow());
    placement_queue_.Wake();
  };
  listener.evacuations_listed = [this](const std::set<ZoneId>& zones) {
    registry_.OnEvacuationsListed(zones, SteadyNow());
  };
  listener.server = [this](const ServerEntry& entry) {
    registry_.OnEntry(entry, SteadyNow());
  };
  listener.server_removed = [this](const ServerId& id) {
    registry_.OnRemoved(id, SteadyNow());
  };
  listener.servers_listed = [this](const std::set<ServerId>& ids) {
    registry_.OnListed(ids, SteadyNow());
    LogChange("servers_listed", {{"servers", ids.size()}});
    servers_known_ = true;
    UpdateReady();
  };
  listener.host = [this](const HostRecord& record) {
    roster_.OnHost(record, SteadyNow());
  };
  listener.host_removed = [this](const HostId& host) {
    LogChange("host_removed", {{"of", host.str()}});
    roster_.OnRemoved(host, SteadyNow());
  };
  listener.hosts_listed = [this](const std::set<HostId>& hosts) {
    roster_.OnListed(hosts, SteadyNow());
  };
  listener.store_unreachable = [this](bool unreachable) {
    OnStoreUnreachable(unreachable);
  };
  listener.store_restored = [this] {
    registry_.OnStoreRestored(SteadyNow());
    roster_.OnStoreRestored(SteadyNow());
  };
  listener.send_news = [this](const StoreNews& news) {
    std::vector<Endpoint> peers = roster_.ZonePeerAddresses();
    for (Endpoint& it : peers)
      it.port = settings_.peers.port;
    load_exchange_.SendStoreNews(peers, news);
  };
  return listener;
}

LoadExchange::Hooks EntryDaemon::Impl::ExchangeHooks() {
  LoadExchange::Hooks hooks;
  hooks.own_sheet = [this] { return reports_.MakeSheet(SteadyNow()); };
  hooks.notice = [this] { return reports_.MakeNotice(SteadyNow()); };
  hooks.crowded = [this] { return placer_.crowded(SteadyNow()); };
  hooks.on_sheet = [this](const LoadSheet& sheet) {
    reports_.Apply(sheet, SteadyNow());
    if (const std::optional<UsageReport> report = UsageReportOf(sheet))
      caps_.OnReport(*report, SteadyNow());
  };
  hooks.on_store_news = [this](const StoreNews& news) { store_->OnNews(news); };
  hooks.usage = [this]() -> std::optional<LoadSheet> {
    if (!caps_.active())
      return std::nullopt;
    return ToSheet(caps_.MakeReport(SteadyNow()));
  };
  hooks.peers = [this](bool near) {
    std::vector<Endpoint> peers = roster_.PeerAddresses(settings_.region, near);
    for (Endpoint& it : peers)
      it.port = settings_.peers.port;
    return peers;
  };
  return hooks;
}

void EntryDaemon::Impl::OnConfig(const RouteConfigPtr& config) {
  const ConfigVersion before = routes_.version();
  if (!routes_.Apply(config))
    return;
  LogChange("config", {{"version", VersionValue(config->version)},
                       {"before", VersionValue(before)},
                       {"routes", config->routes.size()}});
  placer_.OnConfig(config);
  access_.OnConfig(config);
  runner_.OnConfig(*config);
  max_body_bytes_ = config->limits.max_body_bytes;
  callers_.SetTimeouts(config->limits.idle_timeout * kIdlePercent / 100,
                       config->limits.header_timeout);
  configured_ = true;
  UpdateReady();
}

void EntryDaemon::Impl::OnServerChange(ServerChange change,
                                       const ServerRegistry::Server& server) {
  LogServerChange(change, server, SteadyNow());
  if (change == ServerChange::kRestarted || change == ServerChange::kGone) {
    placer_.ForgetServer(server.entry.id);
    connections_.CloseIdleTo(server.entry.endpoint);
  }
}

void EntryDaemon::Impl::OnStoreUnreachable(bool unreachable) {
  const Instant now = SteadyNow();
  store_unreachable_ = unreachable;
  registry_.SetStoreUnreachable(unreachable, store_->counts().last_response_at,
                                now);
  roster_.SetStoreUnreachable(unreachable, now);
}

void EntryDaemon::Impl::UpdateReady() {
  const bool ready = Ready();
  if (ready == ready_)
    return;
  ready_ = ready;
  roster_.SetSelfReady(ready);
  LogChange("ready", {{"ready", ready}});
  if (ready)
    store_->Publish(OwnRecord());
  else
    store_->Withdraw();
}

void EntryDaemon::Impl::UpdateFull() {
  const HttpServerCounts counts = callers_.Counts();
  if (!caller_room_.Update(counts.open_connections, counts.accept_failures))
    return;
  LogChange("callers_full",
            {{"full", caller_room_.full()}, {"most", descriptors_.callers}});
  UpdateReady();
}

void EntryDaemon::Impl::UpdateProven() {
  const bool proven = access_.IsProven(BootNow());
  if (proven == proven_)
    return;
  proven_ = proven;
  LogChange("keys_proven",
            {{"proven", proven}, {"config", VersionValue(routes_.version())}});
  roster_.SetSelfProven(proven_);
}

asio::awaitable<void> EntryDaemon::Impl::Tick() {
  for (int tick = 1;; ++tick) {
    co_await SleepFor(kTickInterval);
    const Instant now = SteadyNow();
    registry_.Advance(now);
    roster_.Advance(now);
    placer_.Tick(now);
    const int hosts = roster_.HostCount(now);
    placer_.SetHostCount(hosts);
    placer_.SetHosts(roster_.FleetHosts());
    runner_.SetHostCount(hosts);
    caps_.SetHostCount(hosts);
    caps_.Tick(now);
    UpdateProven();
    UpdateFull();
    placement_queue_.Wake();
    if (tick % kTicksPerSecond == 0) {
      connections_.CloseIdle(kMaxIdle);
      FlushDecisionLog();
    }
  }
}

HttpResponse EntryDaemon::Impl::HandleReadiness(const HttpRequest&) const {
  return Ready() ? TextResponse(200, "ready") : TextResponse(503, "not ready");
}

HttpResponse EntryDaemon::Impl::HandleLookup(const HttpRequest& request) const {
  if (TargetPath(request.target) != names_.lookup_path)
    return TextResponse(404, "unknown path");
  const std::vector<Endpoint> addresses = roster_.AddressesFor(
      {RegionId(QueryValue(request.target, names_.lookup_region)),
       ZoneId(QueryValue(request.target, names_.lookup_zone)),
       request.remote_ip,
       routes_.HomesOf(QueryValue(request.target, names_.lookup_name))});
  if (addresses.empty())
    return TextResponse(503, "no entry host is ready");
  return JsonResponse(
      200, names_.write_hosts(addresses, std::min(kLookupLifetime,
                                                  settings_.lookup_lifetime)));
}

HttpResponse EntryDaemon::Impl::HandleMetrics(const HttpRequest& request) {
  const Instant now = SteadyNow();
  if (TargetPath(request.target) == "/explain") {
    const std::string& target = request.target;
    if (const std::string workspace = QueryValue(target, "workspace");
        !workspace.empty()) {
      return JsonResponse(
          200, ExplainWorkspace(WorkspaceId(workspace), access_, caps_,
                                store_->counts().proven_at, BootNow(), now));
    }
    if (const std::string host = QueryValue(target, "host"); !host.empty()) {
      return JsonResponse(
          200,
          runner_.Explain(
              {host, QueryValue(target, "path"), QueryValue(target, "object"),
               QueryValue(target, "workspace"),
               std::string(request.fields.Get(ExplainQuery::kKeyField))}));
    }
    const ServiceId service(QueryValue(target, "service"));
    return JsonResponse(200, placer_.Explain(service, now));
  }
  const HostGauges gauges{store_->counts(),         connections_.counts(),
                          callers_.Counts(),        routes_.version(),
                          registry_.size(),         roster_.HostCount(now),
                          placer_.waiting(),        Ready(),
                          access_.keys().size(),    access_.IsProven(BootNow()),
                          memory_->total_reserved()};
  gauges.WriteTo(metrics_);
  metrics_.SetGauge("toucanknot_requests_refused_stopping",
                    static_cast<double>(runner_.refused_stopping()));
  return TextResponse(200, metrics_.ToPrometheusText());
}

void EntryDaemon::Impl::BeginStop() {
  asio::post(loop_, [this] {
    LogChange("stop", {{"in_flight", runner_.in_flight()},
                       {"waiting", placer_.waiting()},
                       {"grace_ms", settings_.stop_within.ms()}});
    leaving_ = true;
    UpdateReady();
    asio::co_spawn(loop_, FinishStop(), asio::detached);
  });
}

asio::awaitable<void> EntryDaemon::Impl::FinishStop() {
  const Instant begun = SteadyNow();
  const Instant end = begun + settings_.stop_within - kExitMargin;
  const Duration notice = std::min(kLeaveNotice, settings_.stop_within / 2);
  stop_.Begin(begun + notice, end);
  callers_.BeginStop();
  co_await SleepFor(notice);
  callers_.StopAccepting();
  directory_.StopAccepting();
  while ((runner_.in_flight() > 0 || callers_.OpenConnections() > 0) &&
         SteadyNow() < end) {
    co_await SleepFor(kStopPoll);
  }
  runner_.LogCut();
  const HttpServerCounts counts = callers_.Counts();
  callers_.DiscardUnread();
  // It takes effect on this loop before the next statement.
  co_await asio::post(loop_, asio::use_awaitable);
  LogChange("stopped", {{"in_flight", runner_.in_flight()},
                        {"refused", runner_.refused_stopping()},
                        {"connections", counts.open_connections},
                        {"lingering", counts.lingering},
                        {"closed", CountsByReason(counts)},
                        {"send_queue_unknown", counts.send_queue_unknown},
                        {"took_ms", (SteadyNow() - begun).ms()}});
  stopped_.set_value(runner_.in_flight() == 0);
}

bool EntryDaemon::Impl::WaitStopped() {
  return stopped_.get_future().get();
}

EntryDaemon::EntryDaemon(EntrySettings settings,
                         EntryWire names,
                         const StoreFactory& make_store)
    : impl_(std::make_unique<Impl>(std::move(settings),
                                   std::move(names),
                                   make_store)) {}

EntryDaemon::~EntryDaemon() = default;

void EntryDaemon::Start() {
  impl_->Start();
}

Endpoint EntryDaemon::callers() const {
  return impl_->settings().callers;
}

Endpoint EntryDaemon::readiness() const {
  return impl_->settings().readiness;
}

Endpoint EntryDaemon::directory() const {
  return impl_->settings().directory;
}

Endpoint EntryDaemon::metrics() const {
  return impl_->settings().metrics.value_or(Endpoint());
}

void EntryDaemon::Reload(const EntrySettings& settings) {
  impl_->Reload(settings);
}

void EntryDaemon::BeginStop() {
  impl_->BeginStop();
}

bool EntryDaemon::WaitStopped() {
  return impl_->WaitStopped();
}

}  // namespace toucanknot
