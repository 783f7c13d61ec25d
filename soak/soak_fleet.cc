#include "soak/soak_fleet.h"

#include <fmt/format.h>
#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <fstream>
#include <utility>

#include "include/base/error.h"
#include "soak/server_process_faults.h"
#include "src/forward/connection_pool.h"
#include "src/http/one_shot.h"
#include "tests/platform/platform_texts.h"

namespace toucanknot::soak {
namespace {

namespace asio = boost::asio;

constexpr int kRegions = 2;
constexpr int kZonesPerRegion = 2;
constexpr int kServerSlots = 4;
constexpr Duration kProcessPollInterval{20};
// Where server processes listen, one port each; no host has this address.
constexpr char kServerIp[] = "127.0.200.1";
// What scheduling on a busy machine may add to the exit of a process.
constexpr Duration kExitSlack{1'000};
constexpr uint64_t kVersionStep = 3;
// From the begin of a request that crashes its server to the crash, and from
// there to the server's restart.
constexpr Duration kCrashDelay{50};
constexpr Duration kCrashedFor{1'500};

}  // namespace

SoakFleet::SoakFleet(SoakOptions options,
                     WorkerPool& workers,
                     const EntryWire& names,
                     InvariantChecker& checker,
                     const InvariantChecker::Budget& budget)
    : options_(std::move(options)),
      workers_(workers),
      names_(names),
      checker_(checker),
      budget_(budget),
      crashes_(checker) {
  for (int region = 0; region < kRegions; ++region) {
    for (int zone = 0; zone < kZonesPerRegion; ++zone) {
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
  ServerEntry entry;
  entry.id = ServerId(fmt::format("server-{}-0", i));
  // Both services have servers in every zone.
  entry.service =
      ServiceId(i / std::ssize(zones_) % 2 == 0 ? "lookup" : "confirm");
  entry.zone = zone->first;
  entry.slots = kServerSlots;
  const auto index = static_cast<size_t>(i);
  servers_.push_back(options_.server_processes
                         ? MakeServerProcess(index, std::move(entry))
                         : MakeLocalServer(index, entry));
}

SoakFleet::Server SoakFleet::MakeLocalServer(size_t i,
                                             const ServerEntry& entry) {
  SoakServer::Options options;
  options.entry = entry;
  options.seed = options_.seed * 1'000 + i;
  auto server = std::make_unique<SoakServer>(
      workers_, names_, checker_,
      [this](const std::string& id, const std::string& request) {
        OnArrival(id, request, SteadyNow());
      },
      std::move(options));
  server->set_on_crashing_request(
      [this, i](const std::string& target, const std::string& id) {
        if (!CrashBriefly(servers_[i]))
          return false;
        const Instant now = SteadyNow();
        const std::string host = checker_.HostOf(id);
        crashes_.OnCrash(target, host, InTouch(host, now), now);
        return true;
      });
  Server result;
  result.local = server.get();
  result.server = std::move(server);
  return result;
}

SoakFleet::Server SoakFleet::MakeServerProcess(size_t i, ServerEntry entry) {
  entry.endpoint = {kServerIp, static_cast<uint16_t>(options_.first_port + i)};
  const std::string base = fmt::format("{}/server-{}", options_.folder, i);
  ServerProgramOptions program = FaultyServerOptions(options_.profile);
  program.ledger = base + ".ledger";
  program.seed = (options_.seed * 1'000 + i) * 1'000;
  program.slots = kServerSlots;
  program.max_connections = 2 * options_.hosts + kServerSlots * 2;
  program.faulty_until_ms = (SteadyNow() + kWarmUpTime + options_.length).ms();
  auto server = std::make_unique<ServerProcess>(
      checker_,
      [this](const std::string& id, const std::string& request, Instant now) {
        OnArrival(id, request, now);
      },
      ServerProcess::Options{std::move(entry), std::move(program),
                             base + ".out"});
  Server result;
  result.process = server.get();
  result.server = std::move(server);
  return result;
}

void SoakFleet::AddHost(int i) {
  const auto zone = std::next(zones_.begin(), i % std::ssize(zones_));
  Host host;
  host.id = HostId(fmt::format("host-{}", i));
  host.zone = zone->first;
  host.region = zone->second;
  host.caller_endpoint = {HostIp(i), options_.first_port};
  host.directory_endpoint = {HostIp(i),
                             static_cast<uint16_t>(options_.first_port + 1)};
  host.store_link =
      std::make_unique<FaultProxy>(workers_.loop(0), store_.endpoint());
  host.caller_link =
      std::make_unique<FaultProxy>(workers_.loop(0), host.caller_endpoint);
  const std::string base = options_.folder + "/" + host.id.str();
  std::ofstream(base + ".json") << HostSettings(
      {host.id, host.zone, host.region, zones_, host.caller_endpoint.ip,
       options_.first_port, host.store_link->endpoint(), budget_});
  host.process = std::make_unique<HostProcess>(options_.program, base + ".json",
                                               base + ".log");
  hosts_.push_back(std::move(host));
}

void SoakFleet::Start() {
  config_.version = kVersionStep;
  config_.services[ServiceId("lookup")] = {};
  config_.services[ServiceId("confirm")] = {};
  WriteConfig();
  for (const Server& it : servers_)
    WriteServerEntry(it);
  for (Host& it : hosts_)
    StartHost(it);
}

void SoakFleet::WriteConfig() {
  config_.routes = SoakRoutes(version());
  store_.Put(platform::ConfigKey(), platform::EncodeConfig(config_));
  version_written_at_ = SteadyNow();
}

void SoakFleet::RemoveServerEntry(const Server& server) {
  RemoveServerEntry(server.server->entry().id);
}

void SoakFleet::RemoveServerEntry(const ServerId& id) {
  entered_.erase(id);
  store_.Remove(platform::ServerKeyInStore(id));
}

void SoakFleet::WriteServerEntry(const Server& server) {
  ServerEntry entry = server.server->entry();
  entry.sequence = ++last_sequence_;
  entered_.insert(entry.id);
  store_.Put(platform::ServerKeyInStore(entry.id),
             platform::EncodeServer(entry));
}

void SoakFleet::StartHost(Host& host) {
  ++host.start_count;
  host.seen_version = 0;
  host.stop_requested = false;
  host.stopped_at.reset();
  host.process->Start();
  // Counts as affected by a fault until it has had time to settle.
  fault_history_.Begin(host.id.str());
  fault_history_.End(host.id.str(), SteadyNow());
}

void SoakFleet::ReadLedgers() {
  for (Server& it : servers_) {
    if (!it.process)
      continue;
    it.process->CheckRunning();
    it.process->ReadLedger();
  }
}

SoakFleet::Host* SoakFleet::FindHost(const Endpoint& endpoint) {
  const auto it = std::find_if(
      hosts_.begin(), hosts_.end(),
      [&](const Host& h) { return h.caller_endpoint == endpoint; });
  return it == hosts_.end() ? nullptr : &*it;
}

void SoakFleet::OnArrival(const std::string& server,
                          const std::string& id,
                          Instant now) {
  const std::string host = checker_.HostOf(id);
  const auto it = std::find_if(
      servers_.begin(), servers_.end(),
      [&](const Server& s) { return s.server->entry().id.str() == server; });
  if (it == servers_.end() || !fault_history_.FaultFreeSince(host, now) ||
      !fault_history_.FaultFreeSince(server, now) ||
      !fault_history_.FaultFreeSince(FaultHistory::kStore, now)) {
    return;
  }
  CheckLimit(*it, host, now);
  CheckPause(*it, host, now);
  const std::optional<Instant> disconnected_at = checker_.DisconnectedAt(id);
  if (disconnected_at && now - *disconnected_at > kDisconnectNoticeLimit)
    checker_.OnSentAfterDisconnect(id, now - *disconnected_at);
  if (it->draining_since && now - *it->draining_since > kDrainLimit) {
    checker_.Report(
        InvariantViolation::kSentToDrainedServer,
        fmt::format("{} from {} reached {} {} ms after it began to drain", id,
                    host, server, (now - *it->draining_since).ms()),
        id);
  }
  const auto zone = evacuated_.find(it->server->entry().zone);
  if (zone != evacuated_.end() && now - zone->second > kEvacuationLimit) {
    checker_.Report(
        InvariantViolation::kSentToDrainedServer,
        fmt::format(
            "{} from {} reached {} {} ms after the evacuation of its zone", id,
            host, server, (now - zone->second).ms()),
        id);
  }
}

bool SoakFleet::InTouch(const std::string& host, Instant now) const {
  return fault_history_.FaultFreeSince(host, now) &&
         fault_history_.FaultFreeSince(FaultHistory::kStore, now);
}

void SoakFleet::CheckLimit(Server& server,
                           const std::string& host,
                           Instant now) {
  if (!server.limited_since || now - *server.limited_since < kLimitNotice)
    return;
  const std::optional<double> limit = server.local->limit();
  std::deque<Instant>& arrivals = server.limited_arrivals;
  arrivals.push_back(now);
  while (now - arrivals.front() > kLimitWindow)
    arrivals.pop_front();
  const double allowed =
      kLimitRatio * *limit * kLimitWindow.seconds() + kLimitSlack;
  if (static_cast<double>(arrivals.size()) <= allowed)
    return;
  checker_.Report(
      InvariantViolation::kOverLimit,
      fmt::format("{} got {} requests, {} allowed, the last from {}",
                  server.server->entry().id.str(), arrivals.size(), allowed,
                  host));
  arrivals.clear();
}

void SoakFleet::CheckPause(Server& server,
                           const std::string& host,
                           Instant now) {
  if (now >= server.paused_until)
    return;
  // The server rejects this request and asks its host for a pause.
  const auto [it, first] = server.paused_hosts.try_emplace(host, now);
  if (first || now - it->second <= kPauseNotice)
    return;
  if (++server.sent_in_pause[host] == kMaxSentInPause + 1) {
    checker_.Report(InvariantViolation::kSentInPause,
                    fmt::format("{} sent to {} {} ms after it had asked for a "
                                "pause",
                                host, server.server->entry().id.str(),
                                (now - it->second).ms()));
  }
}

bool SoakFleet::CrashBriefly(Server& server) {
  if (server.fault_in_progress)
    return false;
  server.fault_in_progress = true;
  asio::co_spawn(workers_.loop(0), RestartLater(server), asio::detached);
  return true;
}

asio::awaitable<void> SoakFleet::RestartLater(Server& server) {
  const std::string id = server.server->entry().id.str();
  const ScopedFault span(fault_history_, {id, FaultHistory::kUnplanned});
  co_await SleepFor(kCrashDelay);
  server.server->Crash();
  co_await SleepFor(kCrashedFor);
  const ServerEntry& entry = server.server->entry();
  server.server->Restart(entry.id, entry.service);
  WriteServerEntry(server);
  server.fault_in_progress = false;
}

asio::awaitable<void> SoakFleet::Supervise(const bool& stop) {
  while (!stop) {
    co_await SleepFor(kProcessPollInterval);
    ReadLedgers();
    for (Host& it : hosts_) {
      max_resident_bytes_ =
          std::max(max_resident_bytes_, it.process->ResidentBytes());
      const std::optional<int> status = it.process->Reap();
      if (!status || it.stop_requested)
        continue;
      checker_.Report(InvariantViolation::kHostExited,
                      fmt::format("{} exited unasked, wait status {:#x}",
                                  it.id.str(), *status));
      StartHost(it);
    }
  }
}

asio::awaitable<bool> SoakFleet::WaitForExit(Host& host, Duration limit) {
  const Instant end = SteadyNow() + limit;
  while (host.process->running() && SteadyNow() < end) {
    host.process->Reap();
    co_await SleepFor(kProcessPollInterval);
  }
  co_return !host.process->running();
}

bool SoakFleet::RequestStop(Host& host) {
  if (!host.process->running() || host.stop_requested)
    return false;
  host.stop_requested = true;
  host.stopped_at = SteadyNow();
  host.process->Signal(SIGTERM);
  return true;
}

asio::awaitable<void> SoakFleet::StopHost(Host& host) {
  if (!RequestStop(host))
    co_return;
  const Instant begun = *host.stopped_at;
  if (co_await WaitForExit(host, kGracePeriod + kExitSlack))
    co_return;
  // A process that was paused or otherwise affected may take longer.
  if (fault_history_.FaultFreeSince(host.id.str(), begun)) {
    checker_.Report(InvariantViolation::kHostExited,
                    host.id.str() + " did not exit within its grace period");
  }
  host.process->Signal(SIGKILL);
  host.process->Signal(SIGCONT);
  co_await WaitForExit(host, kExitSlack);
}

asio::awaitable<void> SoakFleet::KillHost(Host& host) {
  host.stop_requested = true;
  host.process->Signal(SIGKILL);
  co_await WaitForExit(host, kExitSlack);
}

asio::awaitable<void> SoakFleet::StopAll() {
  // All at once, as when a fleet is shut down; they share one grace period.
  const Instant begun = SteadyNow();
  for (Host& it : hosts_)
    RequestStop(it);
  for (Host& it : hosts_) {
    const Duration remaining =
        kGracePeriod + kExitSlack - (SteadyNow() - begun);
    if (co_await WaitForExit(it, remaining))
      continue;
    checker_.Report(InvariantViolation::kHostExited,
                    it.id.str() + " did not exit within its grace period");
    co_await KillHost(it);
  }
}

void SoakFleet::ChangeConfig() {
  config_.version = version() + kVersionStep;
  WriteConfig();
}

void SoakFleet::WriteStoreAgain() {
  store_.Put(platform::ConfigKey(), platform::EncodeConfig(config_));
  for (const auto& [zone, since] : evacuated_)
    store_.Put(platform::EvacuationKey(zone), "{}");
  for (const auto& [zone, region] : zones_) {
    if (!evacuated_.contains(zone))
      store_.Remove(platform::EvacuationKey(zone));
  }
  for (const Server& it : servers_) {
    if (it.server->up() && entered_.contains(it.server->entry().id))
      WriteServerEntry(it);
  }
  const std::string prefix = platform::ServerKeyInStore(ServerId());
  for (const std::string& it : store_.Keys(prefix)) {
    if (!entered_.contains(ServerId(it.substr(prefix.size()))))
      store_.Remove(it);
  }
}

bool SoakFleet::BeginEvacuation(const ZoneId& zone) {
  if (!evacuated_.empty())
    return false;
  store_.Put(platform::EvacuationKey(zone), "{}");
  evacuated_[zone] = SteadyNow();
  return true;
}

void SoakFleet::EndEvacuation(const ZoneId& zone) {
  evacuated_.erase(zone);
  store_.Remove(platform::EvacuationKey(zone));
}

}  // namespace toucanknot::soak
