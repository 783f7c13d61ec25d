#include "soak/soak_fleet.h"

#include <fmt/format.h>
#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <boost/json.hpp>
#include <fstream>
#include <utility>

#include "include/base/error.h"
#include "src/http/one_shot.h"
#include "tests/platform/platform_texts.h"

namespace toucanknot::soak {
namespace {

namespace asio = boost::asio;

constexpr int kRegions = 2;
constexpr int kZonesOfRegion = 2;
constexpr int kSlots = 4;
constexpr Duration kSupervisePoll{20};
// A process that ended is started again after this.
constexpr Duration kRestartAfter{300};
// A server serves on for this long after it said that it leaves.
constexpr Duration kServeOn{4'000};
// Entries of a server that crashed go after three heartbeats.
constexpr Duration kEntryLife{4'500};
// Entries that lapsed are written again within this time of the store's return.
constexpr Duration kEntriesBack{1'500};
constexpr Duration kLinkDelay{120};
constexpr Duration kStoreDelay{250};
constexpr int64_t kSlowTimes = 6;
constexpr double kFailingPart = 0.4;
// What the scheduler and a busy machine may add to the end of a process.
constexpr Duration kEndSlack{1'000};
constexpr uint64_t kVersionStep = 3;

// Loopback addresses from 127.0.1.1 on, 200 in each third number.
std::string HostIp(int i) {
  return fmt::format("127.0.{}.{}", 1 + i / 200, 1 + i % 200);
}

Route MakeRoute(const std::string& prefix,
                RequestKind kind,
                const std::string& service) {
  Route route;
  route.name = "route" + prefix;
  route.host_name = "soak.example";
  route.prefix = prefix;
  route.kind = kind;
  route.timeout = Duration(1'500);
  route.target_latency = Duration(400);
  route.priority = kind == RequestKind::kIdempotent ? 1 : 0;
  route.attempts = kind == RequestKind::kIdempotent ? 2 : 1;
  route.sticky = true;
  route.targets = {{ServiceId(service), 1}};
  return route;
}

bool IsServerFault(FaultKind kind) {
  return (kind >= FaultKind::kDelayServer &&
          kind <= FaultKind::kSilenceServer) ||
         (kind >= FaultKind::kCrashServer && kind <= FaultKind::kReplaceServer);
}

}  // namespace

std::string VersionPath(uint64_t version) {
  return fmt::format("/version-{}/", version);
}

SoakFleet::SoakFleet(SoakOptions options,
                     WorkerPool& workers,
                     const EntryWire& names,
                     RunLedger& ledger,
                     const RunLedger::Budget& budget)
    : options_(std::move(options)),
      workers_(workers),
      names_(names),
      ledger_(ledger),
      budget_(budget) {
  for (int region = 0; region < kRegions; ++region) {
    for (int zone = 0; zone < kZonesOfRegion; ++zone) {
      zones_[ZoneId(fmt::format("zone-{}-{}", region, zone))] =
          RegionId(fmt::format("region-{}", region));
    }
  }
  for (int i = 0; i < options_.servers; ++i)
    AddServer(i);
  for (int i = 0; i < options_.hosts; ++i)
    AddHost(i);
}

void SoakFleet::AddServer(int i) {
  const auto zone = std::next(zones_.begin(), i % std::ssize(zones_));
  SoakServer::Options server;
  server.entry.id = ServerId(fmt::format("server-{}-0", i));
  // Both services have servers in every zone.
  server.entry.service =
      ServiceId(i / std::ssize(zones_) % 2 == 0 ? "lookup" : "confirm");
  server.entry.zone = zone->first;
  server.entry.slots = kSlots;
  server.seed = options_.seed * 1'000 + static_cast<uint64_t>(i);
  servers_.push_back(
      {std::make_unique<SoakServer>(
           workers_, names_, ledger_,
           [this](const std::string& id, const std::string& request) {
             OnArrival(id, request);
           },
           std::move(server)),
       0, std::nullopt, false});
}

void SoakFleet::AddHost(int i) {
  const auto zone = std::next(zones_.begin(), i % std::ssize(zones_));
  Host host;
  host.id = HostId(fmt::format("host-{}", i));
  host.zone = zone->first;
  host.region = zone->second;
  host.callers = {HostIp(i), options_.first_port};
  host.directory = {HostIp(i), static_cast<uint16_t>(options_.first_port + 1)};
  host.store_link =
      std::make_unique<FaultProxy>(workers_.loop(0), store_.endpoint());
  host.caller_link =
      std::make_unique<FaultProxy>(workers_.loop(0), host.callers);
  const std::string base = options_.folder + "/" + host.id.str();
  std::ofstream(base + ".json") << SettingsOf(host);
  host.process = std::make_unique<HostProcess>(options_.program, base + ".json",
                                               base + ".log");
  hosts_.push_back(std::move(host));
}

std::string SoakFleet::SettingsOf(const Host& host) const {
  boost::json::object regions;
  for (const auto& [zone, region] : zones_)
    regions[zone.str()] = region.str();
  const std::string& ip = host.callers.ip;
  const auto port = [&](int offset) {
    return Endpoint{ip, static_cast<uint16_t>(options_.first_port + offset)}
        .ToString();
  };
  return boost::json::serialize(boost::json::value{
      {"host", host.id.str()},
      {"zone", host.zone.str()},
      {"region", host.region.str()},
      {"regions", std::move(regions)},
      {"callers", port(0)},
      {"directory", port(1)},
      {"readiness", port(2)},
      {"peer_port", options_.first_port + 3},
      {"metrics_port", options_.first_port + 4},
      {"store", host.store_link->endpoint().ToString()},
      {"retry_ratio", budget_.ratio},
      {"retry_slack", budget_.slack},
      {"retry_window", fmt::format("{}ms", budget_.window.ms())},
      {"news_within", fmt::format("{}ms", kDrain.ms())},
      {"stop_within", fmt::format("{}ms", kGrace.ms())}});
}

void SoakFleet::Start() {
  config_.version = kVersionStep;
  config_.services[ServiceId("lookup")] = {};
  config_.services[ServiceId("confirm")] = {};
  WriteConfig();
  for (const Server& it : servers_)
    WriteServer(it);
  for (Host& it : hosts_)
    StartHost(it);
}

void SoakFleet::WriteConfig() {
  config_.routes = {
      MakeRoute("/lookup/", RequestKind::kIdempotent, "lookup"),
      MakeRoute("/confirm/", RequestKind::kNonIdempotent, "confirm"),
      MakeRoute(VersionPath(config_.version), RequestKind::kIdempotent,
                "lookup")};
  store_.Put(platform::ConfigKey(), platform::EncodeConfig(config_));
  version_at_ = SteadyNow();
}

void SoakFleet::WriteServer(const Server& server) {
  const ServerEntry& entry = server.server->entry();
  store_.Put(platform::ServerKeyInStore(entry.id),
             platform::EncodeServer(entry));
}

void SoakFleet::StartHost(Host& host) {
  ++host.life;
  host.seen_version = 0;
  host.to_end = false;
  host.stopped_at.reset();
  host.process->Start();
  // It is new to everything until it had time to settle.
  times_.Begin(host.id.str());
  times_.End(host.id.str(), SteadyNow());
}

SoakFleet::Host* SoakFleet::FindHost(const Endpoint& callers) {
  const auto it =
      std::find_if(hosts_.begin(), hosts_.end(),
                   [&](const Host& h) { return h.callers == callers; });
  return it == hosts_.end() ? nullptr : &*it;
}

void SoakFleet::OnArrival(const std::string& server, const std::string& id) {
  const Instant now = SteadyNow();
  const std::string host = ledger_.HostOf(id);
  const auto it = std::find_if(
      servers_.begin(), servers_.end(),
      [&](const Server& s) { return s.server->entry().id.str() == server; });
  if (it == servers_.end() || !times_.CalmSince(host, now) ||
      !times_.CalmSince(server, now) ||
      !times_.CalmSince(FaultTimes::kStore, now)) {
    return;
  }
  if (it->leaving_since && now - *it->leaving_since > kDrain) {
    ledger_.Report(Breach::kSentToLeaver,
                   fmt::format("{} from {} reached {} {} ms after it left", id,
                               host, server, (now - *it->leaving_since).ms()));
  }
  const auto zone = evacuated_.find(it->server->entry().zone);
  if (zone != evacuated_.end() && now - zone->second > kEvacuate) {
    ledger_.Report(
        Breach::kSentToLeaver,
        fmt::format("{} from {} reached {} in an evacuated zone after {} ms",
                    id, host, server, (now - zone->second).ms()));
  }
}

asio::awaitable<void> SoakFleet::Supervise(const bool& stop) {
  while (!stop) {
    co_await SleepFor(kSupervisePoll);
    for (Host& it : hosts_) {
      most_resident_bytes_ =
          std::max(most_resident_bytes_, it.process->ResidentBytes());
      const std::optional<int> status = it.process->Reap();
      if (!status || it.to_end)
        continue;
      ledger_.Report(Breach::kHostEnded,
                     fmt::format("{} ended by itself, status {:#x}",
                                 it.id.str(), *status));
      StartHost(it);
    }
  }
}

asio::awaitable<bool> SoakFleet::WaitGone(Host& host, Duration limit) {
  const Instant end = SteadyNow() + limit;
  while (host.process->running() && SteadyNow() < end) {
    host.process->Reap();
    co_await SleepFor(kSupervisePoll);
  }
  co_return !host.process->running();
}

asio::awaitable<void> SoakFleet::StopHost(Host& host) {
  if (!host.process->running() || host.to_end)
    co_return;
  host.to_end = true;
  host.stopped_at = SteadyNow();
  const Instant begun = SteadyNow();
  host.process->Signal(SIGTERM);
  if (co_await WaitGone(host, kGrace + kEndSlack))
    co_return;
  // A process that was held still may take longer.
  if (times_.CalmSince(host.id.str(), begun)) {
    ledger_.Report(Breach::kHostEnded,
                   host.id.str() + " did not end within its grace time");
  }
  host.process->Signal(SIGKILL);
  host.process->Signal(SIGCONT);
  co_await WaitGone(host, kEndSlack);
}

asio::awaitable<void> SoakFleet::StopAll() {
  for (Host& it : hosts_)
    co_await StopHost(it);
}

asio::awaitable<void> SoakFleet::HostFault(Host& host, const Fault& fault) {
  if (!host.process->running() || host.to_end || host.paused)
    co_return;
  const std::string name = host.id.str();
  switch (fault.kind) {
    case FaultKind::kReloadHost:
      host.process->Signal(SIGHUP);
      co_return;
    case FaultKind::kStopHost:
      co_await StopHost(host);
      co_await SleepFor(kRestartAfter);
      StartHost(host);
      co_return;
    case FaultKind::kPauseHost:
      times_.Begin(name);
      times_.Begin(FaultTimes::kUnplanned);
      host.paused = true;
      host.process->Signal(SIGSTOP);
      co_await SleepFor(fault.length);
      host.process->Signal(SIGCONT);
      host.paused = false;
      break;
    default:
      times_.Begin(name);
      times_.Begin(FaultTimes::kUnplanned);
      host.to_end = true;
      host.process->Signal(SIGKILL);
      co_await WaitGone(host, kEndSlack);
      co_await SleepFor(fault.length);
      StartHost(host);
      break;
  }
  times_.End(name, SteadyNow());
  times_.End(FaultTimes::kUnplanned, SteadyNow());
}

asio::awaitable<void> SoakFleet::LinkFault(FaultProxy& link,
                                           int variant,
                                           Duration length) {
  switch (variant) {
    case 0:
      link.SetLink({kLinkDelay, true, true});
      break;
    case 1:
      link.ResetAll();
      co_return;
    case 2:
      link.SetLink({Duration(0), length.ms() % 2 == 0, length.ms() % 2 != 0});
      break;
    default:
      link.SilenceOpen();
      break;
  }
  co_await SleepFor(length);
  link.SetLink({});
}

asio::awaitable<void> SoakFleet::StoreFault(const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::kStoreRefuses:
      store_.RefuseWith(503);
      break;
    case FaultKind::kStoreSilent:
      store_.SetSilent(true);
      break;
    case FaultKind::kStoreSlow:
      store_.SetDelay(kStoreDelay);
      break;
    case FaultKind::kStoreLosesAnswers:
      store_.SetLosingAnswers(true);
      break;
    case FaultKind::kStoreForgetsHistory:
      store_.Compact();
      break;
    case FaultKind::kStoreDropsWatches:
      store_.DropWatches();
      break;
    default: {
      store_.RefuseWith(503);
      for (size_t i = fault.subject % 2; i < servers_.size(); i += 2) {
        store_.Remove(
            platform::ServerKeyInStore(servers_[i].server->entry().id));
      }
      break;
    }
  }
  co_await SleepFor(fault.length);
  store_.RefuseWith(0);
  store_.SetSilent(false);
  store_.SetDelay(Duration(0));
  store_.SetLosingAnswers(false);
  if (fault.kind != FaultKind::kStoreLapsesServers)
    co_return;
  co_await SleepFor(kEntriesBack);
  for (const Server& it : servers_) {
    if (it.server->up())
      WriteServer(it);
  }
}

asio::awaitable<void> SoakFleet::ServerFault(Server& server,
                                             const Fault& fault) {
  if (server.busy)
    co_return;
  server.busy = true;
  SoakServer& it = *server.server;
  if (fault.kind == FaultKind::kReplaceServer) {
    co_await ReplaceServer(server, fault.length);
    server.busy = false;
    co_return;
  }
  const std::string name = it.entry().id.str();
  times_.Begin(name);
  times_.Begin(FaultTimes::kUnplanned);
  if (fault.kind == FaultKind::kSlowServer) {
    it.SetSlowness(kSlowTimes);
    co_await SleepFor(fault.length);
    it.SetSlowness(1);
  } else if (fault.kind == FaultKind::kFailServer) {
    it.SetFailing(kFailingPart);
    co_await SleepFor(fault.length);
    it.SetFailing(0);
  } else if (fault.kind == FaultKind::kCrashServer) {
    it.Crash();
    co_await SleepFor(std::min(fault.length, kEntryLife));
    if (fault.length > kEntryLife)
      store_.Remove(platform::ServerKeyInStore(it.entry().id));
    it.Restart(it.entry().id);
    WriteServer(server);
  } else {
    co_await LinkFault(it.link(),
                       static_cast<int>(fault.kind) -
                           static_cast<int>(FaultKind::kDelayServer),
                       fault.length);
  }
  times_.End(name, SteadyNow());
  times_.End(FaultTimes::kUnplanned, SteadyNow());
  server.busy = false;
}

asio::awaitable<void> SoakFleet::ReplaceServer(Server& server,
                                               Duration length) {
  SoakServer& it = *server.server;
  const std::string key = platform::ServerKeyInStore(it.entry().id);
  it.SetLeaving();
  // Some leave without a word.
  if (length.ms() % 3 == 0)
    store_.Remove(key);
  else
    WriteServer(server);
  server.leaving_since = SteadyNow();
  co_await SleepFor(kServeOn + length);
  store_.Remove(key);
  it.Crash();
  co_await SleepFor(kEntriesBack);
  server.leaving_since.reset();
  ++server.generation;
  const std::string name = it.entry().id.str();
  it.Restart(ServerId(fmt::format("{}-{}", name.substr(0, name.rfind('-')),
                                  server.generation)));
  WriteServer(server);
}

asio::awaitable<void> SoakFleet::EvacuateZone(const ZoneId& zone,
                                              Duration length) {
  // The other zones must bear the load.
  if (!evacuated_.empty())
    co_return;
  store_.Put(platform::EvacuationKey(zone), "{}");
  evacuated_[zone] = SteadyNow();
  co_await SleepFor(kEvacuate + length);
  evacuated_.erase(zone);
  store_.Remove(platform::EvacuationKey(zone));
}

asio::awaitable<void> SoakFleet::Apply(Fault fault) {
  Host& host = hosts_[fault.subject % hosts_.size()];
  Server& server = servers_[fault.subject % servers_.size()];
  if (fault.kind <= FaultKind::kReloadHost) {
    co_await HostFault(host, fault);
  } else if (fault.kind <= FaultKind::kSilenceCallers) {
    times_.Begin(host.id.str());
    times_.Begin(FaultTimes::kUnplanned);
    co_await LinkFault(*host.caller_link,
                       static_cast<int>(fault.kind) -
                           static_cast<int>(FaultKind::kDelayCallers),
                       fault.length);
    times_.End(host.id.str(), SteadyNow());
    times_.End(FaultTimes::kUnplanned, SteadyNow());
  } else if (IsServerFault(fault.kind)) {
    co_await ServerFault(server, fault);
  } else if (fault.kind <= FaultKind::kSilenceStore) {
    times_.Begin(host.id.str());
    co_await LinkFault(
        *host.store_link,
        static_cast<int>(fault.kind) - static_cast<int>(FaultKind::kDelayStore),
        fault.length);
    times_.End(host.id.str(), SteadyNow());
  } else if (fault.kind <= FaultKind::kStoreLapsesServers) {
    times_.Begin(FaultTimes::kStore);
    co_await StoreFault(fault);
    times_.End(FaultTimes::kStore, SteadyNow());
  } else if (fault.kind == FaultKind::kChangeConfig) {
    config_.version += kVersionStep;
    WriteConfig();
  } else {
    const auto zone = std::next(
        zones_.begin(), static_cast<ptrdiff_t>(fault.subject % zones_.size()));
    co_await EvacuateZone(zone->first, fault.length);
  }
}

}  // namespace toucanknot::soak
