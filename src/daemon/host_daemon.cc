#include "include/daemon/host_daemon.h"

#include <openssl/rand.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include "include/config/config_offer.h"
#include "include/config/config_text.h"
#include "include/limits/retry_budget.h"
#include "include/steering/dispatcher_builder.h"
#include "src/daemon/admin_handler.h"
#include "src/daemon/caller_handler.h"
#include "src/daemon/config_intake.h"
#include "src/daemon/health_desk.h"
#include "src/daemon/host_metrics.h"
#include "src/daemon/prober.h"
#include "src/daemon/service_state.h"
#include "src/daemon/status_page.h"
#include "src/daemon/store_watcher.h"
#include "src/http/http_server.h"

namespace toucanknot {
namespace {

// How often waiting requests are looked at.
constexpr Duration kTick{5};
// How often health ramps move and records expire.
constexpr Duration kHousekeeping{100};
constexpr Duration kStopPoll{20};
// Look-ups have no body worth naming.
constexpr uint64_t kMaxOtherBodyBytes = 4 << 10;

// Greater than before on the same host unless the clock was set back; the low
// bits differ in any case.
Incarnation DrawIncarnation() {
  uint16_t noise = 0;
  RAND_bytes(reinterpret_cast<unsigned char*>(&noise), sizeof noise);
  return (static_cast<Incarnation>(UnixMillis()) << 16) | noise;
}

std::shared_ptr<const FleetKeys> MakeKeys(const HostSettings& settings) {
  std::optional<FleetKey> accepted;
  if (settings.fleet_keys.size() > 1)
    accepted = settings.fleet_keys[1];
  return std::make_shared<FleetKeys>(settings.fleet_keys.at(0), accepted);
}

HttpServerLimits CallerLimits(const HostSettings& settings) {
  HttpServerLimits limits;
  limits.max_connections = settings.max_connections;
  limits.max_buffered_bytes = settings.max_buffered_bytes;
  return limits;
}

}  // namespace

class HostDaemon::Impl {
 public:
  Impl(HostSettings settings, std::shared_ptr<Store> store);
  ~Impl();

  void Start();
  void BeginStop();
  bool WaitStopped();
  uint64_t ConfigVersion() const;
  Instant ConfigSince() const { return intake_.Since(); }

 private:
  using Coroutine = boost::asio::awaitable<void>;

  std::shared_ptr<ServiceState> StateOf(const ServiceId& service);
  std::vector<std::shared_ptr<ServiceState>> AllStates() const;
  uint64_t BodyLimit(std::string_view target) const;
  // A configuration has been accepted: brings it into force.
  void Apply(const FleetConfigPtr& config);
  void RebuildLookups();
  void OnProbe(const ServiceEntry& entry,
               const ServerProbe& probe,
               const std::optional<LoadReport>& load);
  void OnAttempt(const Call& call, const AttemptResult& result);
  void OnHostList(const std::vector<PlatformHost>& hosts);
  void SetConnectionShares(const FleetConfig& config);

  Coroutine TickLoop();
  Coroutine HousekeepingLoop();
  Coroutine AnnounceThenClose();

  AdminHandler::Sources AdminSources();
  std::string MetricsText() const;
  std::string NotReady() const;

  const HostSettings settings_;
  const HostLife self_;
  const std::shared_ptr<const FleetKeys> keys_;
  const std::shared_ptr<Store> store_;
  std::atomic<bool> leaving_{false};
  std::atomic<bool> store_up_{false};
  std::atomic<uint64_t> next_item_{1};

  // Guards states_. May be held while a ServiceDesk's lock is taken.
  mutable std::mutex states_mutex_;
  std::map<ServiceId, std::shared_ptr<ServiceState>> states_;

  HostTables tables_;
  std::atomic<LookupTablePtr> lookups_;
  HostMetrics metrics_;
  TicketDesk tickets_;
  WorkerPool workers_;
  std::unique_ptr<Sender> sender_;
  std::unique_ptr<OnceRunner> once_;
  std::unique_ptr<IdempotentRunner> idempotent_;
  std::unique_ptr<CallerHandler> callers_;
  std::unique_ptr<AdminHandler> admin_;
  std::unique_ptr<Prober> prober_;
  std::unique_ptr<HttpServer> caller_server_;
  std::unique_ptr<HttpServer> admin_server_;
  ConfigIntake intake_;
  std::unique_ptr<StoreWatcher> watcher_;
};

HostDaemon::Impl::Impl(HostSettings settings, std::shared_ptr<Store> store)
    : settings_(std::move(settings)),
      self_{settings_.host, DrawIncarnation()},
      keys_(MakeKeys(settings_)),
      store_(std::move(store)),
      tickets_(self_, {}),
      workers_(settings_.workers),
      intake_([this](const FleetConfigPtr& config) { Apply(config); }) {
  sender_ = std::make_unique<Sender>(workers_, self_, keys_);
  sender_->set_observer([this](const Call& call, const AttemptResult& result) {
    OnAttempt(call, result);
  });
  once_ =
      std::make_unique<OnceRunner>(workers_, *sender_, tickets_, next_item_);
  IdempotentRunner::Hooks attempts;
  attempts.take_retry = [this](const ServiceEntry& entry) {
    return StateOf(entry.service.id)->TakeRetry(SteadyNow());
  };
  attempts.take_hedge = [this](const ServiceEntry& entry) {
    return StateOf(entry.service.id)->TakeHedge(SteadyNow());
  };
  attempts.hedge_after = [this](const ServiceEntry& entry) {
    return StateOf(entry.service.id)->HedgeAfter();
  };
  idempotent_ = std::make_unique<IdempotentRunner>(
      workers_, *sender_, next_item_, std::move(attempts));
  CallerHandler::Parts parts;
  parts.self = settings_.host;
  parts.keys = keys_;
  parts.tables = &tables_;
  parts.lookups = &lookups_;
  parts.idempotent = idempotent_.get();
  parts.once = once_.get();
  parts.tickets = &tickets_;
  parts.metrics = &metrics_;
  callers_ = std::make_unique<CallerHandler>(std::move(parts));
  admin_ =
      std::make_unique<AdminHandler>(settings_.admin_token, AdminSources());
  prober_ = std::make_unique<Prober>(
      workers_, *sender_, tables_,
      [this](const ServiceEntry& entry, const ServerProbe& probe,
             const std::optional<LoadReport>& load) {
        OnProbe(entry, probe, load);
      });
}

HostDaemon::Impl::~Impl() {
  watcher_.reset();
  workers_.Stop();
}

void HostDaemon::Impl::Start() {
  caller_server_ = std::make_unique<HttpServer>(
      workers_, CallerLimits(settings_),
      [this](std::string_view target) { return BodyLimit(target); },
      [this](HttpRequest request) {
        return callers_->Handle(std::move(request));
      });
  admin_server_ = std::make_unique<HttpServer>(
      workers_, HttpServerLimits(),
      [](std::string_view) { return kMaxOtherBodyBytes; },
      [this](HttpRequest request) {
        return admin_->Handle(std::move(request));
      });
  caller_server_->Listen(settings_.callers);
  admin_server_->Listen(settings_.admin);
  StoreWatcher::Hooks hooks;
  hooks.on_offer = [this](const ConfigOffer& offer) {
    intake_.Offer(offer, "store");
  };
  hooks.on_state = [this](bool up, const std::string& error) {
    store_up_ = up;
    if (up)
      spdlog::info("store up");
    else
      spdlog::warn("store down error=\"{}\"", error);
  };
  hooks.on_hosts = [this](const std::vector<PlatformHost>& hosts) {
    OnHostList(hosts);
  };
  watcher_ = std::make_unique<StoreWatcher>(
      store_, std::hash<HostId>()(settings_.host), std::move(hooks));
  watcher_->SetReading(true);
  prober_->Start(settings_.zone);
  boost::asio::co_spawn(workers_.loop(0), TickLoop(), boost::asio::detached);
  boost::asio::co_spawn(workers_.loop(0), HousekeepingLoop(),
                        boost::asio::detached);
  spdlog::info("state=serving host={} zone={} callers={}", settings_.host.str(),
               settings_.zone.str(), settings_.callers.ToString());
}

uint64_t HostDaemon::Impl::BodyLimit(std::string_view target) const {
  if (!target.starts_with(kServicesPrefix))
    return kMaxOtherBodyBytes;
  const RoutingTablesPtr tables = tables_.Get();
  if (!tables)
    return kMaxOtherBodyBytes;
  target.remove_prefix(kServicesPrefix.size());
  const auto entry = tables->Find(target.substr(0, target.find_first_of("/?")));
  return entry ? static_cast<uint64_t>(entry->tunables.max_request_bytes)
               : kMaxOtherBodyBytes;
}

std::shared_ptr<ServiceState> HostDaemon::Impl::StateOf(
    const ServiceId& service) {
  const std::lock_guard lock(states_mutex_);
  auto& state = states_[service];
  if (!state) {
    state = std::make_shared<ServiceState>(service, settings_.host,
                                           self_.incarnation);
  }
  return state;
}

std::vector<std::shared_ptr<ServiceState>> HostDaemon::Impl::AllStates() const {
  const std::lock_guard lock(states_mutex_);
  std::vector<std::shared_ptr<ServiceState>> all;
  all.reserve(states_.size());
  for (const auto& [id, state] : states_)
    all.push_back(state);
  return all;
}

void HostDaemon::Impl::Apply(const FleetConfigPtr& config) {
  const int64_t unix_ms = UnixMillis();
  const auto tables = BuildRoutingTables(
      config, settings_.host, settings_.zone, unix_ms,
      [this](const ServiceId& id) { return StateOf(id)->desk(); });
  const Instant now = SteadyNow();
  for (const auto& [name, entry] : tables->services)
    StateOf(entry->service.id)->OnConfig(config, *entry, unix_ms, now);
  const Tunables& host = tables->tunables;
  tickets_.SetLimits({host.keep_answer, host.kept_answers_bytes});
  SetConnectionShares(*config);
  tables_.Set(tables);
  RebuildLookups();
  spdlog::info("config in force version={} digest={}", config->version,
               config->digest);
}

// Each host may open its part of a backend server's connections, so that all
// hosts together stay under the server's limit.
void HostDaemon::Impl::SetConnectionShares(const FleetConfig& config) {
  const int hosts = std::max<int>(static_cast<int>(config.hosts.size()), 1);
  std::unordered_map<std::string, int> limits;
  for (const Service& service : config.services) {
    for (const BackendServer& it : service.servers)
      limits[it.address.ToString()] = std::max(it.max_connections / hosts, 1);
  }
  sender_->SetConnectionLimits(std::move(limits));
}

void HostDaemon::Impl::RebuildLookups() {
  const RoutingTablesPtr tables = tables_.Get();
  if (!tables)
    return;
  const FleetConfig& config = *tables->config;
  const RegionId own_region = config.RegionOf(settings_.zone);
  LookupTable::Source source;
  source.config = tables->config;
  source.lifetime = tables->tunables.lookup_lifetime;
  for (const EntryHost& it : config.hosts) {
    if (it.id == settings_.host && leaving_)
      continue;
    const bool near = config.RegionOf(it.zone) == own_region;
    source.hosts.push_back({it, it.zone == settings_.zone ? 0 : near ? 1 : 2});
  }
  std::stable_sort(
      source.hosts.begin(), source.hosts.end(),
      [](const auto& a, const auto& b) { return a.rank < b.rank; });
  lookups_ = std::make_shared<const LookupTable>(source);
}

void HostDaemon::Impl::OnProbe(const ServiceEntry& entry,
                               const ServerProbe& probe,
                               const std::optional<LoadReport>& load) {
  StateOf(entry.service.id)->OnProbe(probe, load, SteadyNow());
}

void HostDaemon::Impl::OnAttempt(const Call& call,
                                 const AttemptResult& result) {
  metrics_.CountAttempt(result.end);
  StateOf(call.entry->service.id)->OnAttempt(result, SteadyNow());
}

void HostDaemon::Impl::OnHostList(const std::vector<PlatformHost>& hosts) {
  const Instant now = SteadyNow();
  for (const auto& state : AllStates()) {
    for (const PlatformHost& it : hosts)
      state->OnHostListed(ServerId(it.id), it.leaving, now);
  }
}

HostDaemon::Impl::Coroutine HostDaemon::Impl::TickLoop() {
  for (;;) {
    co_await SleepFor(kTick);
    for (const auto& it : AllStates())
      it->desk()->Tick();
  }
}

HostDaemon::Impl::Coroutine HostDaemon::Impl::HousekeepingLoop() {
  for (;;) {
    co_await SleepFor(kHousekeeping);
    tickets_.Expire();
    const Instant now = SteadyNow();
    for (const auto& it : AllStates())
      it->Advance(now);
  }
}

void HostDaemon::Impl::BeginStop() {
  if (leaving_.exchange(true))
    return;
  spdlog::info("state=leaving host={}", settings_.host.str());
  caller_server_->BeginStop();
  RebuildLookups();
  boost::asio::co_spawn(workers_.loop(0), AnnounceThenClose(),
                        boost::asio::detached);
}

// Callers that looked this host up before still come for a while; only then is
// the listener closed.
HostDaemon::Impl::Coroutine HostDaemon::Impl::AnnounceThenClose() {
  co_await SleepFor(settings_.leave_notice);
  caller_server_->StopAccepting();
}

bool HostDaemon::Impl::WaitStopped() {
  const RoutingTablesPtr tables = tables_.Get();
  const Duration limit =
      tables ? tables->tunables.drain_limit : Tunables().drain_limit;
  const Instant end = SteadyNow() + settings_.leave_notice + limit;
  std::this_thread::sleep_for(
      std::chrono::milliseconds(settings_.leave_notice.ms()));
  while (caller_server_->OpenConnections() > 0 || tickets_.unfinished() > 0) {
    if (SteadyNow() >= end)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(kStopPoll.ms()));
  }
  spdlog::info("state=stopped host={}", settings_.host.str());
  return true;
}

uint64_t HostDaemon::Impl::ConfigVersion() const {
  const RoutingTablesPtr tables = tables_.Get();
  return tables ? tables->config->version : 0;
}

AdminHandler::Sources HostDaemon::Impl::AdminSources() {
  AdminHandler::Sources sources;
  sources.metrics = [this] { return MetricsText(); };
  sources.not_ready = [this] { return NotReady(); };
  sources.config = [this] {
    const ConfigOffer offer = intake_.Current();
    return offer.version == 0 ? std::string() : WriteOffer(offer);
  };
  sources.status = [this] {
    StatusFacts facts;
    facts.self = self_;
    facts.zone = settings_.zone;
    facts.leaving = leaving_;
    facts.store_up = store_up_;
    facts.store_calls = watcher_ ? watcher_->calls() : 0;
    facts.config = intake_.Status(SteadyNow());
    facts.ticket_records = tickets_.records();
    facts.kept_answer_bytes = tickets_.kept_bytes();
    facts.callers = caller_server_->Counts();
    facts.connections = sender_->Counts();
    return StatusJson(facts);
  };
  sources.explain = [this](const std::string& service) {
    const RoutingTablesPtr tables = tables_.Get();
    if (!tables || !tables->Find(service))
      return std::string();
    return StateOf(ServiceId(service))->Explain(SteadyNow());
  };
  return sources;
}

std::string HostDaemon::Impl::MetricsText() const {
  std::string text = metrics_.Text();
  text += MetricLine("toucanknot_config_version", "",
                     static_cast<double>(ConfigVersion()));
  if (watcher_) {
    text += MetricLine("toucanknot_store_calls_total", "",
                       static_cast<double>(watcher_->calls()));
    text += MetricLine("toucanknot_store_failures_total", "",
                       static_cast<double>(watcher_->failures()));
  }
  const HttpServerCounts callers = caller_server_->Counts();
  text += MetricLine("toucanknot_open_connections", "",
                     static_cast<double>(callers.open_connections));
  text += MetricLine("toucanknot_malformed_requests_total", "",
                     static_cast<double>(callers.malformed));
  text += MetricLine("toucanknot_ticket_records", "",
                     static_cast<double>(tickets_.records()));
  return text;
}

std::string HostDaemon::Impl::NotReady() const {
  if (leaving_)
    return "leaving";
  return ConfigVersion() == 0 ? "no configuration yet" : "";
}

HostDaemon::HostDaemon(HostSettings settings, std::shared_ptr<Store> store)
    : impl_(std::make_unique<Impl>(std::move(settings), std::move(store))) {}

HostDaemon::~HostDaemon() = default;

void HostDaemon::Start() {
  impl_->Start();
}

void HostDaemon::BeginStop() {
  impl_->BeginStop();
}

bool HostDaemon::WaitStopped() {
  return impl_->WaitStopped();
}

uint64_t HostDaemon::ConfigVersion() const {
  return impl_->ConfigVersion();
}

Instant HostDaemon::ConfigSince() const {
  return impl_->ConfigSince();
}

}  // namespace toucanknot
