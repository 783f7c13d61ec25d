#include "include/daemon/host_daemon.h"

#include <openssl/rand.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <limits>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include "include/config/config_offer.h"
#include "include/config/config_text.h"
#include "include/config/places.h"
#include "src/daemon/admin_handler.h"
#include "src/daemon/caller_handler.h"
#include "src/daemon/config_intake.h"
#include "src/daemon/crash_gate.h"
#include "src/daemon/fleet_link.h"
#include "src/daemon/host_metrics.h"
#include "src/daemon/pass_desk.h"
#include "src/daemon/peer_news.h"
#include "src/daemon/prober.h"
#include "src/daemon/service_state.h"
#include "src/daemon/silence_watch.h"
#include "src/daemon/status_page.h"
#include "src/http/http_server.h"

namespace toucanknot {
namespace {

// How often waiting requests are looked at.
constexpr Duration kTick{5};
// How often health ramps move and records expire.
constexpr Duration kHousekeeping{100};
constexpr Duration kStopPoll{20};
// Load is told to the region's hosts at the greater of the first and of the
// second for each of them, so that its cost has a bound.
constexpr Duration kLoadInterval{50};
constexpr Duration kLoadSpacing{10};
constexpr Duration kViewInterval{250};
// This process was not running when it wakes up so much later than it should.
constexpr Duration kOwnPause{200};
constexpr int64_t kNoEnd = std::numeric_limits<int64_t>::max();
// Time for the last messages of a host that stops to leave.
constexpr Duration kFarewell{200};
// Look-ups have no body worth naming.
constexpr uint64_t kMaxOtherBodyBytes = 4 << 10;

Duration LoadInterval(size_t hosts) {
  return std::max(kLoadInterval, kLoadSpacing * static_cast<int64_t>(hosts));
}

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

constexpr int kUnconfirmedRank = 10;

// Hosts with the same rank share callers. Unconfirmed ones are named last.
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
  Instant ConfigSince() const { return intake_.Since(); }

 private:
  using Coroutine = boost::asio::awaitable<void>;

  std::shared_ptr<ServiceState> StateOf(const ServiceId& service);
  std::shared_ptr<ServiceState> FindState(const ServiceId& service) const;
  std::vector<std::shared_ptr<ServiceState>> AllStates() const;
  uint64_t BodyLimit(std::string_view target) const;
  // A configuration has been accepted: brings it into force.
  void Apply(const FleetConfigPtr& config);
  // Which hosts serve has changed.
  void OnView();
  void SetHomes(const std::vector<HostId>& live, Instant now);
  void RebuildLookups(const RoutingTables& tables);
  FleetLink::Hooks FleetHooks();
  void OnProbe(const ServiceEntry& entry,
               const ServerProbe& probe,
               const std::optional<LoadReport>& load);
  void OnAttempt(const Call& call, const AttemptResult& result);
  void OnHostList(const std::vector<PlatformHost>& hosts);
  void SetConnectionShares(const FleetConfig& config);

  Coroutine TickLoop();
  Coroutine HousekeepingLoop();
  Coroutine NewsLoop();
  Coroutine AnnounceThenClose();
  void SendCrashes();
  void ApplyEndedExceptions();

  AdminHandler::Sources AdminSources();
  std::string MetricsText() const;
  std::string NotReady() const;

  const HostSettings settings_;
  const HostLife self_;
  const std::shared_ptr<const FleetKeys> keys_;
  const std::shared_ptr<Store> store_;
  std::atomic<bool> leaving_{false};
  std::atomic<uint64_t> next_item_{1};
  // When the next exception in force ends.
  std::atomic<int64_t> next_end_unix_ms_{kNoEnd};

  // Guards states_. May be held while a ServiceDesk's lock is taken.
  mutable std::mutex states_mutex_;
  std::map<ServiceId, std::shared_ptr<ServiceState>> states_;

  // Guards the two below. May be held while a ServiceDesk's lock is taken.
  std::mutex silence_mutex_;
  SilenceWatch silence_;
  std::vector<HostId> homes_;

  HostTables tables_;
  std::atomic<LookupTablePtr> lookups_;
  HostMetrics metrics_;
  const std::shared_ptr<PassDesk> passes_;
  TicketDesk tickets_;
  WorkerPool workers_;
  PeerNews news_;
  CrashGate gate_;
  std::unique_ptr<Sender> sender_;
  std::unique_ptr<OnceRunner> once_;
  std::unique_ptr<IdempotentRunner> idempotent_;
  std::unique_ptr<CallerHandler> callers_;
  std::unique_ptr<AdminHandler> admin_;
  std::unique_ptr<Prober> prober_;
  std::unique_ptr<HttpServer> caller_server_;
  std::unique_ptr<HttpServer> admin_server_;
  ConfigIntake intake_;
  std::unique_ptr<FleetLink> fleet_;
};

HostDaemon::Impl::Impl(HostSettings settings, std::shared_ptr<Store> store)
    : settings_(std::move(settings)),
      self_{settings_.host, DrawIncarnation()},
      keys_(MakeKeys(settings_)),
      store_(std::move(store)),
      silence_(self_.host),
      passes_(std::make_shared<PassDesk>(self_.host,
                                         self_.incarnation,
                                         SteadyNow())),
      tickets_(self_, {}),
      workers_(settings_.workers),
      news_([this] { return AllStates(); },
            [this](const ServiceId& id) { return FindState(id); }),
      gate_(workers_,
            settings_.zone,
            [this](const ServiceId& id) { return StateOf(id); }),
      intake_([this](const FleetConfigPtr& config) { Apply(config); }) {
  sender_ = std::make_unique<Sender>(workers_, self_, keys_);
  sender_->set_observer([this](const Call& call, const AttemptResult& result) {
    OnAttempt(call, result);
  });
  once_ = std::make_unique<OnceRunner>(workers_, *sender_, tickets_, gate_,
                                       next_item_);
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
      workers_, *sender_, gate_, next_item_, std::move(attempts));
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
  fleet_ = std::make_unique<FleetLink>(
      workers_, settings_, PeerSender{self_.host, self_.incarnation}, keys_,
      store_, FleetHooks());
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
  // Closes the sockets at once, as a crash would; calls to the store that have
  // begun are waited for after that.
  caller_server_.reset();
  admin_server_.reset();
  fleet_.reset();
}

FleetLink::Hooks HostDaemon::Impl::FleetHooks() {
  FleetLink::Hooks hooks;
  hooks.on_config = [this](const ConfigOffer& offer, const std::string& from) {
    return intake_.Offer(offer, from);
  };
  hooks.on_hosts = [this](const std::vector<PlatformHost>& hosts) {
    OnHostList(hosts);
  };
  hooks.on_view = [this] { OnView(); };
  hooks.on_message = [this](const PeerSender& from,
                            const PeerMessage& message) {
    if (std::holds_alternative<LoadNotice>(message)) {
      const std::lock_guard lock(silence_mutex_);
      silence_.OnHeard(from.host, SteadyNow());
    }
    if (const auto* handoff = std::get_if<TicketHandoff>(&message)) {
      tickets_.TakeOver(*handoff);
      spdlog::info("tickets taken over from={}", from.host.str());
    }
    news_.OnMessage(from, message, SteadyNow());
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
  boost::asio::co_spawn(workers_.loop(0), NewsLoop(), boost::asio::detached);
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
                                           self_.incarnation, passes_);
  }
  return state;
}

std::shared_ptr<ServiceState> HostDaemon::Impl::FindState(
    const ServiceId& service) const {
  const std::lock_guard lock(states_mutex_);
  const auto it = states_.find(service);
  return it == states_.end() ? nullptr : it->second;
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
  passes_->OnConfig(config, unix_ms, now);
  tables_.Set(tables);
  next_end_unix_ms_ = config->NextEnd(unix_ms).value_or(kNoEnd);
  fleet_->SetConfig(config);
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

void HostDaemon::Impl::OnView() {
  const RoutingTablesPtr tables = tables_.Get();
  if (!tables)
    return;
  const Instant now = SteadyNow();
  SetHomes(fleet_->LiveInRegion(), now);
  passes_->OnLiveRegions(fleet_->LiveRegions(), now);
  RebuildLookups(*tables);
}

// The hosts of the region that may be the home of requests: serving, and heard
// lately.
void HostDaemon::Impl::SetHomes(const std::vector<HostId>& live, Instant now) {
  const std::lock_guard lock(silence_mutex_);
  std::vector<HostId> heard =
      silence_.Heard(live, LoadInterval(live.size()), now);
  if (heard == homes_)
    return;
  homes_ = std::move(heard);
  for (const auto& it : AllStates())
    it->OnHosts(homes_, now);
}

void HostDaemon::Impl::RebuildLookups(const RoutingTables& tables) {
  LookupTable::Source source;
  source.config = tables.config;
  source.lifetime = tables.tunables.lookup_lifetime;
  for (const EntryCandidate& it : fleet_->Candidates()) {
    const auto host = tables.hosts.find(it.host);
    if (host == tables.hosts.end())
      continue;
    const Scope place = PlaceOfHost(*tables.config, host->second);
    if (!tables.config->Resolve(place, UnixMillis()).drain)
      source.hosts.push_back({host->second, RankOfCandidate(it)});
  }
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
  if (result.end == AttemptEnd::kBroken)
    SendCrashes();
}

void HostDaemon::Impl::SendCrashes() {
  for (CrashNotices& it : news_.Crashes())
    fleet_->Send({fleet_->Others(), std::move(it)});
}

HostDaemon::Impl::Coroutine HostDaemon::Impl::NewsLoop() {
  Instant next_views;
  Instant due = SteadyNow();
  for (;;) {
    const Instant now = SteadyNow();
    if (now - due > kOwnPause) {
      const std::lock_guard lock(silence_mutex_);
      silence_.Forgive(now - due);
    }
    const std::vector<HostId> near = fleet_->LiveInRegion();
    SetHomes(near, now);
    if (near.size() > 1) {
      fleet_->Send({near, news_.Load()});
      if (now >= next_views) {
        for (ServerViews& it : news_.Views(now))
          fleet_->Send({near, std::move(it)});
        next_views = now + kViewInterval;
      }
    }
    SendCrashes();
    const Duration interval = LoadInterval(near.size());
    due = now + interval;
    co_await SleepFor(interval);
  }
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
    passes_->Advance(now);
    for (const auto& it : AllStates())
      it->Advance(now);
    ApplyEndedExceptions();
  }
}

// An exception that ends goes out of force by itself.
void HostDaemon::Impl::ApplyEndedExceptions() {
  const RoutingTablesPtr tables = tables_.Get();
  const int64_t unix_ms = UnixMillis();
  if (!tables || unix_ms < next_end_unix_ms_)
    return;
  spdlog::info("exception ended version={}", tables->config->version);
  intake_.Reapply();
  OnView();
}

void HostDaemon::Impl::BeginStop() {
  if (leaving_.exchange(true))
    return;
  spdlog::info("state=leaving host={}", settings_.host.str());
  caller_server_->BeginStop();
  fleet_->Leave();
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
  fleet_->Send({fleet_->Others(), tickets_.Close()});
  fleet_->Stopped();
  std::this_thread::sleep_for(std::chrono::milliseconds(kFarewell.ms()));
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
    const FleetLink::Figures fleet = fleet_->figures();
    facts.store_up = fleet.store_up;
    facts.store_calls = fleet.store_calls;
    facts.store_reader = fleet.reader;
    facts.peers = fleet.transport;
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
  const FleetLink::Figures fleet = fleet_->figures();
  text += MetricLine("toucanknot_store_calls_total", "",
                     static_cast<double>(fleet.store_calls));
  text += MetricLine("toucanknot_store_up", "", fleet.store_up ? 1 : 0);
  text += MetricLine("toucanknot_peer_messages_total", "direction=\"sent\"",
                     static_cast<double>(fleet.transport.sent_messages));
  text += MetricLine("toucanknot_peer_messages_total", "direction=\"received\"",
                     static_cast<double>(fleet.transport.received_messages));
  text += MetricLine("toucanknot_peer_bytes_total", "direction=\"sent\"",
                     static_cast<double>(fleet.transport.sent_bytes));
  text += MetricLine("toucanknot_peer_dropped_messages_total", "",
                     static_cast<double>(fleet.transport.dropped_messages));
  text += MetricLine("toucanknot_peer_bad_connections_total", "",
                     static_cast<double>(fleet.transport.bad_connections));
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
