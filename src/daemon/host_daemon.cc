#include "include/daemon/host_daemon.h"

#include <openssl/rand.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <limits>
#include <mutex>
#include <thread>
#include <utility>

#include "include/config/config_candidate.h"
#include "include/config/config_text.h"
#include "include/config/locations.h"
#include "src/daemon/admin_handler.h"
#include "src/daemon/caller_handler.h"
#include "src/daemon/config_receiver.h"
#include "src/daemon/crash_admission.h"
#include "src/daemon/fleet_link.h"
#include "src/daemon/host_metrics.h"
#include "src/daemon/peer_state_broadcaster.h"
#include "src/daemon/prober.h"
#include "src/daemon/service_states.h"
#include "src/daemon/shared_forwarding_limits.h"
#include "src/daemon/status_page.h"
#include "src/http/http_server.h"
#include "src/http/planned_stop.h"

namespace toucanknot {
namespace {

// How often the dispatchers process waiting requests.
constexpr Duration kTickInterval{5};
// How often slow start advances, records expire and ended exceptions are
// applied.
constexpr Duration kHousekeepingInterval{100};
constexpr int kRoundsPerSecond = 10;
constexpr Duration kStopPollInterval{20};
constexpr int64_t kNoEnd = std::numeric_limits<int64_t>::max();
// Time for the last messages of a stopping host to be sent.
constexpr Duration kFinalMessageTime{200};
// Only requests to services may have larger bodies.
constexpr uint64_t kMaxOtherBodyBytes = 4 << 10;

// Greater than earlier incarnations of the same host unless the clock was set
// back; the 16 random low bits make a repeat unlikely even then.
Incarnation GenerateIncarnation() {
  uint16_t random_bits = 0;
  RAND_bytes(reinterpret_cast<unsigned char*>(&random_bits),
             sizeof random_bits);
  return (static_cast<Incarnation>(UnixMillis()) << 16) | random_bits;
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

constexpr int kUnconfirmedRank = 10;

// Hosts with the same rank share callers evenly. Unconfirmed hosts come last.
int RankOfCandidate(const EntryCandidate& candidate) {
  return static_cast<int>(candidate.proximity) +
         (candidate.confirmed ? 0 : kUnconfirmedRank);
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
  Instant ConfigSince() const { return config_receiver_.Since(); }

 private:
  using Coroutine = boost::asio::awaitable<void>;

  uint64_t BodyLimit(std::string_view target) const;
  // Applies a configuration that was accepted.
  void Apply(const FleetConfigPtr& config);
  // The set of serving hosts has changed.
  void OnViewChanged();
  void RebuildLookups(const RoutingTables& tables);
  FleetLink::Hooks FleetHooks();
  void OnProbe(const ServiceEntry& entry,
               const ServerProbe& probe,
               const std::optional<LoadReport>& load);
  void OnAttempt(const ServiceRequest& service_request,
                 const AttemptResult& result);
  void OnHostList(const std::vector<PlatformHost>& hosts);
  void SetConnectionShares(const FleetConfig& config);

  Coroutine TickLoop();
  Coroutine HousekeepingLoop();
  Coroutine AnnounceThenClose();
  void ApplyEndedExceptions();

  AdminHandler::Sources AdminSources();
  StatusFacts MakeStatusFacts() const;
  std::string NotReady() const;

  const HostSettings settings_;
  const HostIncarnation self_;
  const std::shared_ptr<const FleetKeys> keys_;
  const std::shared_ptr<Store> store_;
  std::atomic<bool> leaving_{false};
  PlannedStop stop_;
  // When the process ends at the latest; set by BeginStop().
  Instant stop_end_;
  std::atomic<uint64_t> next_item_{1};
  // When the next active exception ends.
  std::atomic<int64_t> next_end_unix_ms_{kNoEnd};

  HostTables tables_;
  std::atomic<LookupTablePtr> lookups_;
  HostMetrics metrics_;
  const std::shared_ptr<SharedForwardingLimits> forwarding_limits_;
  ServiceStates states_;
  SharedTicketRecords tickets_;
  WorkerPool workers_;
  CrashAdmission crash_admission_;
  std::unique_ptr<Sender> sender_;
  std::unique_ptr<OnceRunner> once_;
  std::unique_ptr<IdempotentRunner> idempotent_;
  std::unique_ptr<CallerHandler> callers_;
  std::unique_ptr<AdminHandler> admin_;
  std::unique_ptr<Prober> prober_;
  std::unique_ptr<HttpServer> caller_server_;
  std::unique_ptr<HttpServer> admin_server_;
  ConfigReceiver config_receiver_;
  std::unique_ptr<FleetLink> fleet_;
  std::unique_ptr<PeerStateBroadcaster> broadcaster_;
};

HostDaemon::Impl::Impl(HostSettings settings, std::shared_ptr<Store> store)
    : settings_(std::move(settings)),
      self_{settings_.host, GenerateIncarnation()},
      keys_(MakeKeys(settings_)),
      store_(std::move(store)),
      forwarding_limits_(
          std::make_shared<SharedForwardingLimits>(self_.host,
                                                   self_.incarnation,
                                                   SteadyNow())),
      states_(self_, forwarding_limits_),
      tickets_(self_, {}),
      workers_(settings_.workers),
      crash_admission_(workers_,
                       settings_.zone,
                       [this](const ServiceId& id) { return states_.Get(id); }),
      config_receiver_(
          [this](const FleetConfigPtr& config) { Apply(config); }) {
  sender_ = std::make_unique<Sender>(workers_, self_, keys_);
  sender_->set_observer([this](const ServiceRequest& service_request,
                               const AttemptResult& result) {
    OnAttempt(service_request, result);
  });
  once_ = std::make_unique<OnceRunner>(workers_, *sender_, tickets_,
                                       crash_admission_, next_item_, stop_);
  IdempotentRunner::Hooks attempts;
  attempts.try_acquire_retry = [this](const ServiceEntry& entry) {
    return states_.Get(entry.service.id)->TryAcquireRetry(SteadyNow());
  };
  attempts.try_acquire_hedge = [this](const ServiceEntry& entry) {
    return states_.Get(entry.service.id)->TryAcquireHedge(SteadyNow());
  };
  attempts.hedge_after = [this](const ServiceEntry& entry) {
    return states_.Get(entry.service.id)->HedgeAfter();
  };
  idempotent_ = std::make_unique<IdempotentRunner>(
      workers_, *sender_, crash_admission_, next_item_, std::move(attempts));
  CallerHandler::Dependencies dependencies;
  dependencies.self = settings_.host;
  dependencies.keys = keys_;
  dependencies.tables = &tables_;
  dependencies.lookups = &lookups_;
  dependencies.idempotent = idempotent_.get();
  dependencies.once = once_.get();
  dependencies.tickets = &tickets_;
  dependencies.metrics = &metrics_;
  dependencies.stop = &stop_;
  callers_ = std::make_unique<CallerHandler>(std::move(dependencies));
  admin_ =
      std::make_unique<AdminHandler>(settings_.admin_token, AdminSources());
  fleet_ = std::make_unique<FleetLink>(
      workers_, settings_, PeerSender{self_.host, self_.incarnation}, keys_,
      store_, FleetHooks());
  broadcaster_ = std::make_unique<PeerStateBroadcaster>(workers_, self_.host,
                                                        *fleet_, states_);
  prober_ = std::make_unique<Prober>(
      workers_, *sender_, tables_,
      [this](const ServiceEntry& entry, const ServerProbe& probe,
             const std::optional<LoadReport>& load) {
        OnProbe(entry, probe, load);
      });
}

HostDaemon::Impl::~Impl() {
  fleet_->Disconnect();
  workers_.Stop();
  // Close the sockets immediately, as a crash would, before waiting for the
  // store calls in progress.
  caller_server_.reset();
  admin_server_.reset();
  fleet_->WaitForStoreCalls();
}

FleetLink::Hooks HostDaemon::Impl::FleetHooks() {
  FleetLink::Hooks hooks;
  hooks.on_config = [this](const ConfigCandidate& candidate,
                           const std::string& from) {
    return config_receiver_.Offer(candidate, from);
  };
  hooks.on_hosts = [this](const std::vector<PlatformHost>& hosts) {
    OnHostList(hosts);
  };
  hooks.on_view_changed = [this] { OnViewChanged(); };
  hooks.on_message = [this](const PeerSender& from,
                            const PeerMessage& message) {
    if (const auto* handoff = std::get_if<TicketHandoff>(&message)) {
      tickets_.TakeOver(*handoff);
      spdlog::info("ticket records taken over from={}", from.host.str());
    }
    broadcaster_->OnMessage(from, message);
  };
  return hooks;
}

void HostDaemon::Impl::Start() {
  caller_server_ = std::make_unique<HttpServer>(
      workers_, CallerLimits(settings_),
      [this](std::string_view target) { return BodyLimit(target); },
      [this](HttpRequest request) {
        return callers_->Handle(std::move(request));
      });
  caller_server_->SetBodyTimeLimit(
      {[this](const HttpRequest& head) {
         return callers_->BodyCompleteBy(head);
       },
       [this](const HttpRequest& head) { return callers_->RefuseBody(head); }});
  admin_server_ = std::make_unique<HttpServer>(
      workers_, HttpServerLimits(),
      [](std::string_view) { return kMaxOtherBodyBytes; },
      [this](HttpRequest request) {
        return admin_->Handle(std::move(request));
      });
  caller_server_->Listen(settings_.callers);
  admin_server_->Listen(settings_.admin);
  fleet_->Start();
  prober_->Start(settings_.zone);
  boost::asio::co_spawn(workers_.loop(0), TickLoop(), boost::asio::detached);
  boost::asio::co_spawn(workers_.loop(0), HousekeepingLoop(),
                        boost::asio::detached);
  broadcaster_->Start();
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

void HostDaemon::Impl::Apply(const FleetConfigPtr& config) {
  const int64_t unix_ms = UnixMillis();
  const auto tables = BuildRoutingTables(
      config, settings_.host, settings_.zone, unix_ms,
      [this](const ServiceId& id) { return states_.Get(id)->dispatcher(); });
  const Instant now = SteadyNow();
  for (const auto& [name, entry] : tables->services)
    states_.Get(entry->service.id)->OnConfig(config, *entry, unix_ms, now);
  const Tunables& host = tables->tunables;
  tickets_.SetLimits({host.keep_answer, host.kept_answers_bytes});
  SetConnectionShares(*config);
  forwarding_limits_->OnConfig(config, unix_ms, now);
  tables_.Set(tables);
  next_end_unix_ms_ = config->NextExceptionEnd(unix_ms).value_or(kNoEnd);
  fleet_->SetConfig(config);
  spdlog::info("config applied version={} digest={}", config->version,
               config->digest);
}

// Gives each host an equal share of a backend server's connections, so that all
// hosts together stay within the server's limit.
void HostDaemon::Impl::SetConnectionShares(const FleetConfig& config) {
  const int hosts = std::max<int>(static_cast<int>(config.hosts.size()), 1);
  std::unordered_map<std::string, int> limits;
  for (const Service& service : config.services) {
    for (const BackendServer& it : service.servers)
      limits[it.address.ToString()] = std::max(it.max_connections / hosts, 1);
  }
  sender_->SetConnectionLimits(std::move(limits));
}

void HostDaemon::Impl::OnViewChanged() {
  const RoutingTablesPtr tables = tables_.Get();
  if (!tables)
    return;
  const Instant now = SteadyNow();
  broadcaster_->RefreshHomes();
  forwarding_limits_->OnLiveRegions(fleet_->LiveRegions(), now);
  RebuildLookups(*tables);
}

void HostDaemon::Impl::RebuildLookups(const RoutingTables& tables) {
  LookupTable::Source source;
  source.config = tables.config;
  source.lifetime = tables.tunables.lookup_lifetime;
  for (const EntryCandidate& it : fleet_->EntryCandidates()) {
    const auto host = tables.hosts.find(it.host);
    if (host == tables.hosts.end())
      continue;
    const Scope scope = LocationOfHost(*tables.config, host->second);
    if (!tables.config->Resolve(scope, UnixMillis()).drain)
      source.hosts.push_back({host->second, RankOfCandidate(it)});
  }
  lookups_ = std::make_shared<const LookupTable>(source);
}

void HostDaemon::Impl::OnProbe(const ServiceEntry& entry,
                               const ServerProbe& probe,
                               const std::optional<LoadReport>& load) {
  states_.Get(entry.service.id)->OnProbe(probe, load, SteadyNow());
}

void HostDaemon::Impl::OnAttempt(const ServiceRequest& service_request,
                                 const AttemptResult& result) {
  metrics_.CountAttempt(result.end);
  states_.Get(service_request.entry->service.id)
      ->OnAttempt(result, SteadyNow());
  if (result.end == AttemptEnd::kBroken)
    broadcaster_->SendCrashNotices();
}

void HostDaemon::Impl::OnHostList(const std::vector<PlatformHost>& hosts) {
  const Instant now = SteadyNow();
  for (const auto& state : states_.All()) {
    for (const PlatformHost& it : hosts)
      state->OnHostListed(ServerId(it.id), it.leaving, now);
  }
}

HostDaemon::Impl::Coroutine HostDaemon::Impl::TickLoop() {
  for (;;) {
    co_await SleepFor(kTickInterval);
    for (const auto& it : states_.All())
      it->dispatcher()->Tick();
  }
}

HostDaemon::Impl::Coroutine HostDaemon::Impl::HousekeepingLoop() {
  for (int round = 1;; ++round) {
    co_await SleepFor(kHousekeepingInterval);
    if (round % kRoundsPerSecond == 0)
      sender_->CloseIdle();
    tickets_.Expire();
    const Instant now = SteadyNow();
    forwarding_limits_->Advance(now);
    for (const auto& it : states_.All())
      it->Advance(now);
    ApplyEndedExceptions();
  }
}

// Reapplies the configuration when one of its exceptions has ended.
void HostDaemon::Impl::ApplyEndedExceptions() {
  const RoutingTablesPtr tables = tables_.Get();
  const int64_t unix_ms = UnixMillis();
  if (!tables || unix_ms < next_end_unix_ms_)
    return;
  spdlog::info("exception ended version={}", tables->config->version);
  config_receiver_.Reapply();
  OnViewChanged();
}

void HostDaemon::Impl::BeginStop() {
  if (leaving_.exchange(true))
    return;
  const RoutingTablesPtr tables = tables_.Get();
  const Duration limit =
      tables ? tables->tunables.drain_limit : Tunables().drain_limit;
  const Instant notice_until = SteadyNow() + settings_.leave_notice;
  stop_end_ = notice_until + limit;
  stop_.Begin(notice_until, stop_end_);
  spdlog::info("state=leaving host={} ends_within_ms={}", settings_.host.str(),
               (stop_end_ - SteadyNow()).ms());
  caller_server_->BeginStop();
  fleet_->AnnounceLeaving();
  boost::asio::co_spawn(workers_.loop(0), AnnounceThenClose(),
                        boost::asio::detached);
}

// Callers that looked up this host earlier keep connecting for a while, so the
// listener stays open for `leave_notice`.
HostDaemon::Impl::Coroutine HostDaemon::Impl::AnnounceThenClose() {
  co_await SleepFor(settings_.leave_notice);
  caller_server_->StopAccepting();
}

bool HostDaemon::Impl::WaitStopped() {
  std::this_thread::sleep_for(
      std::chrono::milliseconds(settings_.leave_notice.ms()));
  const auto sleep = [](Duration d) {
    std::this_thread::sleep_for(std::chrono::milliseconds(d.ms()));
  };
  // Connections that linger get no further response.
  const auto serving = [this] {
    const HttpServerCounts counts = caller_server_->Counts();
    return counts.open_connections - counts.lingering;
  };
  while (serving() > 0 || tickets_.unfinished() > 0) {
    if (SteadyNow() >= stop_end_) {
      spdlog::warn(
          "state=stopped host={} connections={} unfinished_runs={} cut",
          settings_.host.str(), caller_server_->OpenConnections(),
          tickets_.unfinished());
      caller_server_->DiscardUnread();
      return false;
    }
    sleep(kStopPollInterval);
  }
  fleet_->Send({fleet_->OtherHosts(), tickets_.CloseForHandoff()});
  fleet_->AnnounceStopped();
  sleep(kFinalMessageTime);
  while (caller_server_->OpenConnections() > 0 && SteadyNow() < stop_end_)
    sleep(kStopPollInterval);
  caller_server_->DiscardUnread();
  spdlog::info("state=stopped host={} lingering={}", settings_.host.str(),
               caller_server_->OpenConnections());
  return true;
}

uint64_t HostDaemon::Impl::ConfigVersion() const {
  const RoutingTablesPtr tables = tables_.Get();
  return tables ? tables->config->version : 0;
}

AdminHandler::Sources HostDaemon::Impl::AdminSources() {
  AdminHandler::Sources sources;
  sources.metrics = [this] {
    return metrics_.Text() + StatusMetrics(MakeStatusFacts());
  };
  sources.not_ready = [this] { return NotReady(); };
  sources.config = [this] {
    const ConfigCandidate candidate = config_receiver_.Current();
    return candidate.version == 0 ? std::string()
                                  : WriteConfigCandidate(candidate);
  };
  sources.status = [this] { return StatusJson(MakeStatusFacts()); };
  sources.explain = [this](const std::string& service) {
    const RoutingTablesPtr tables = tables_.Get();
    if (!tables || !tables->Find(service))
      return std::string();
    return states_.Get(ServiceId(service))->Explain(SteadyNow());
  };
  return sources;
}

StatusFacts HostDaemon::Impl::MakeStatusFacts() const {
  StatusFacts facts;
  facts.self = self_;
  facts.zone = settings_.zone;
  facts.leaving = leaving_;
  facts.version = ConfigVersion();
  const FleetLink::Stats fleet = fleet_->stats();
  facts.store_up = fleet.store_up;
  facts.store_calls = fleet.store_calls;
  facts.store_reader = fleet.reader;
  facts.peers = fleet.transport;
  facts.config = config_receiver_.Status(SteadyNow());
  facts.ticket_records = tickets_.records();
  facts.cached_response_bytes = tickets_.cached_bytes();
  facts.callers = caller_server_->Counts();
  facts.connections = sender_->Counts();
  return facts;
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
