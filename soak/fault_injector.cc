#include "soak/fault_injector.h"

#include <signal.h>

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "soak/server_process_faults.h"
#include "src/forward/connection_pool.h"
#include "src/http/one_shot.h"

namespace toucanknot::soak {
namespace {

namespace asio = boost::asio;

// Time from the exit of a stopped host process to its restart.
constexpr Duration kRestartDelay{300};
// How long a server still serves after it has begun to drain.
constexpr Duration kServeWhileDraining{4'000};
// The entry of a crashed server expires after three missed heartbeats.
constexpr Duration kEntryLifetime{4'500};
// Time until a server writes an expired entry again after the store is back,
// and until a replaced server starts again.
constexpr Duration kEntryRewriteDelay{1'500};
// The age of the copy that the store comes back from, and how long it is away.
constexpr Duration kMaxCopyAge{4'000};
constexpr Duration kStoreAway{300};
constexpr Duration kLinkDelay{120};
constexpr Duration kStoreDelay{250};
constexpr int64_t kSlowdownFactor = 6;
constexpr double kFailureRate = 0.4;
// Faults that take effect after some seconds last longer.
constexpr int64_t kNoticeLengthFactor = 3;
constexpr double kLimits[] = {0.5, 2, 5};
constexpr Duration kCrashingInterval{120};
constexpr Duration kCrashingTimeout{2'000};

constexpr Duration kResetInterval{200};

// How the store fails before it is silent.
enum class StoreFailure {
  kReject503,
  kReject429,
  kSlow,
  kReset,
  kCut,
  kStall,
  kTrickle,
};
constexpr uint64_t kStoreFailures = 7;

ResponseFault ResponseFaultOf(StoreFailure failure) {
  switch (failure) {
    case StoreFailure::kCut:
      return ResponseFault::kCut;
    case StoreFailure::kStall:
      return ResponseFault::kStalled;
    case StoreFailure::kTrickle:
      return ResponseFault::kTrickled;
    default:
      return ResponseFault::kNone;
  }
}

// Faults of a link, in the order in which FaultKind lists them for each link.
enum class LinkFault { kDelay, kReset, kCutOneWay, kSilence };

LinkFault LinkFaultOf(FaultKind kind, FaultKind first_of_group) {
  return static_cast<LinkFault>(static_cast<int>(kind) -
                                static_cast<int>(first_of_group));
}

asio::awaitable<void> InjectLinkFault(FaultProxy& link,
                                      LinkFault fault,
                                      Duration length) {
  switch (fault) {
    case LinkFault::kDelay:
      link.SetLink({kLinkDelay, true, true});
      break;
    case LinkFault::kReset:
      link.ResetConnections();
      co_return;
    case LinkFault::kCutOneWay: {
      const bool to_target = length.ms() % 2 == 0;
      link.SetLink({Duration(0), to_target, !to_target});
      break;
    }
    case LinkFault::kSilence:
      link.SilenceOpenConnections();
      break;
  }
  co_await SleepFor(length);
  link.SetLink({});
}

bool IsServerFault(FaultKind kind) {
  return (kind >= FaultKind::kLimitServer &&
          kind <= FaultKind::kRepeatRefusals) ||
         (kind >= FaultKind::kDelayServer &&
          kind <= FaultKind::kSilenceServer) ||
         (kind >= FaultKind::kCrashServer && kind <= FaultKind::kReplaceServer);
}

}  // namespace

asio::awaitable<void> FaultInjector::Inject(Fault fault) {
  auto& hosts = fleet_.hosts();
  auto& servers = fleet_.servers();
  SoakFleet::Host& host = hosts[fault.subject % hosts.size()];
  SoakFleet::Server& server = servers[fault.subject % servers.size()];
  if (fault.kind <= FaultKind::kReloadHost) {
    co_await InjectHostFault(host, fault);
  } else if (fault.kind <= FaultKind::kSilenceCallers) {
    co_await InjectCallerLinkFault(host, fault);
  } else if (IsServerFault(fault.kind)) {
    co_await InjectServerFault(server, fault);
  } else if (fault.kind <= FaultKind::kSilenceStore) {
    co_await InjectStoreLinkFault(host, fault);
  } else if (fault.kind <= FaultKind::kStoreExpiresServers) {
    co_await InjectStoreFault(fault);
  } else if (fault.kind == FaultKind::kSendCrashingRequest) {
    // Server processes are killed by other faults.
    if (server.local)
      co_await SendCrashingRequests(fault);
  } else if (fault.kind == FaultKind::kWriteOddEntries) {
    co_await WriteOddEntries(fault);
  } else if (fault.kind == FaultKind::kRestoreStore) {
    co_await RestoreStore(fault);
  } else if (fault.kind == FaultKind::kStoreFailsThenSilent) {
    co_await InjectStoreSeries(fault);
  } else if (fault.kind >= FaultKind::kShedRequests) {
    co_await refusals_.Inject(fault);
  } else if (fault.kind == FaultKind::kChangeConfig) {
    fleet_.ChangeConfig();
  } else {
    const auto& zones = fleet_.zones();
    const auto n = static_cast<ptrdiff_t>(fault.subject % zones.size());
    co_await EvacuateZone(std::next(zones.begin(), n)->first, fault.length);
  }
}

asio::awaitable<void> FaultInjector::InjectHostFault(SoakFleet::Host& host,
                                                     const Fault& fault) {
  if (!host.process->running() || host.stop_requested || host.paused)
    co_return;
  switch (fault.kind) {
    case FaultKind::kReloadHost:
      host.process->Signal(SIGHUP);
      break;
    case FaultKind::kStopHost:
      co_await fleet_.StopHost(host);
      co_await SleepFor(kRestartDelay);
      fleet_.StartHost(host);
      break;
    case FaultKind::kPauseHost: {
      const ScopedFault span(fleet_.fault_history(),
                             {host.id.str(), FaultHistory::kUnplanned});
      host.paused = true;
      host.process->Signal(SIGSTOP);
      co_await SleepFor(fault.length);
      host.process->Signal(SIGCONT);
      host.paused = false;
      break;
    }
    default: {
      const ScopedFault span(fleet_.fault_history(),
                             {host.id.str(), FaultHistory::kUnplanned});
      co_await fleet_.KillHost(host);
      co_await SleepFor(fault.length);
      fleet_.StartHost(host);
      break;
    }
  }
}

asio::awaitable<void> FaultInjector::InjectCallerLinkFault(
    SoakFleet::Host& host,
    const Fault& fault) {
  const ScopedFault span(fleet_.fault_history(),
                         {host.id.str(), FaultHistory::kUnplanned});
  co_await InjectLinkFault(*host.caller_link,
                           LinkFaultOf(fault.kind, FaultKind::kDelayCallers),
                           fault.length);
}

asio::awaitable<void> FaultInjector::InjectStoreLinkFault(SoakFleet::Host& host,
                                                          const Fault& fault) {
  const ScopedFault span(fleet_.fault_history(), {host.id.str()});
  co_await InjectLinkFault(*host.store_link,
                           LinkFaultOf(fault.kind, FaultKind::kDelayStore),
                           fault.length);
}

asio::awaitable<void> FaultInjector::InjectStoreFault(const Fault& fault) {
  const ScopedFault span(fleet_.fault_history(), {FaultHistory::kStore});
  platform::StoreStandin& store = fleet_.store();
  switch (fault.kind) {
    case FaultKind::kStoreRefuses:
      store.RejectWith(503);
      break;
    case FaultKind::kStoreSilent:
      store.SetSilent(true);
      break;
    case FaultKind::kStoreSlow:
      store.SetDelay(kStoreDelay);
      break;
    case FaultKind::kStoreLosesResponses:
      store.SetLosingResponses(true);
      break;
    case FaultKind::kStoreCompactsHistory:
      store.Compact();
      break;
    case FaultKind::kStoreDropsWatches:
      store.DropWatches();
      break;
    default:
      store.RejectWith(503);
      for (size_t i = fault.subject % 2; i < fleet_.servers().size(); i += 2)
        fleet_.RemoveServerEntry(fleet_.servers()[i]);
      break;
  }
  co_await SleepFor(fault.length);
  store.RejectWith(0);
  store.SetSilent(false);
  store.SetDelay(Duration(0));
  store.SetLosingResponses(false);
  if (fault.kind != FaultKind::kStoreExpiresServers)
    co_return;
  co_await SleepFor(kEntryRewriteDelay);
  for (const SoakFleet::Server& it : fleet_.servers()) {
    if (it.server->up())
      fleet_.WriteServerEntry(it);
  }
}

asio::awaitable<void> FaultInjector::InjectStoreSeries(const Fault& fault) {
  const auto how = static_cast<StoreFailure>(fault.subject % kStoreFailures);
  // Rejections and delays are the store's, for all hosts.
  const bool for_all =
      how <= StoreFailure::kSlow || fault.subject / kStoreFailures % 2 == 0;
  std::vector<FaultProxy*> links;
  std::vector<std::string> subjects;
  for (size_t i = 0; i < fleet_.hosts().size(); i += for_all ? 1 : 2) {
    links.push_back(fleet_.hosts()[i].store_link.get());
    subjects.push_back(fleet_.hosts()[i].id.str());
  }
  if (for_all)
    subjects.emplace_back(FaultHistory::kStore);
  const ScopedFault span(fleet_.fault_history(), subjects);
  platform::StoreStandin& store = fleet_.store();
  if (how <= StoreFailure::kReject429)
    store.RejectWith(how == StoreFailure::kReject429 ? 429 : 503);
  else if (how == StoreFailure::kSlow)
    store.SetDelay(kStoreDelay);
  const Instant silent_at = SteadyNow() + fault.length;
  do {
    for (FaultProxy* it : links) {
      if (how == StoreFailure::kReset)
        it->ResetConnections();
      else if (how >= StoreFailure::kCut)
        it->SetResponseFault(ResponseFaultOf(how));
    }
    co_await SleepFor(kResetInterval);
  } while (SteadyNow() < silent_at);
  store.RejectWith(0);
  store.SetDelay(Duration(0));
  for (FaultProxy* it : links) {
    it->SetResponseFault(ResponseFault::kNone);
    it->SilenceOpenConnections();
    it->SetLink({.from_target = false});
  }
  co_await SleepFor(fault.length / 3);
  for (FaultProxy* it : links) {
    // What the store did not answer then stays without an answer.
    it->SilenceOpenConnections();
    it->SetLink({});
  }
}

asio::awaitable<void> FaultInjector::RestoreStore(const Fault& fault) {
  if (restoring_store_)
    co_return;
  restoring_store_ = true;
  platform::StoreStandin& store = fleet_.store();
  store.TakeCopy();
  co_await SleepFor(std::min(fault.length, kMaxCopyAge));
  const ScopedFault span(fleet_.fault_history(), {FaultHistory::kStore});
  store.RejectWith(503);
  co_await SleepFor(kStoreAway);
  store.RestoreCopy();
  store.RejectWith(0);
  co_await SleepFor(kEntryRewriteDelay);
  fleet_.WriteStoreAgain();
  restoring_store_ = false;
}

asio::awaitable<void> FaultInjector::InjectServerFault(
    SoakFleet::Server& server,
    const Fault& fault) {
  if (server.fault_in_progress)
    co_return;
  server.fault_in_progress = true;
  if (fault.kind == FaultKind::kReplaceServer) {
    co_await ReplaceServer(server, fault.length);
    server.fault_in_progress = false;
    co_return;
  }
  if (server.process) {
    co_await InjectServerProcessFault(fleet_, server, fault);
    server.fault_in_progress = false;
    co_return;
  }
  SoakServer& it = *server.local;
  if (fault.kind == FaultKind::kLimitServer) {
    co_await LimitServer(server, fault.length * kNoticeLengthFactor);
    server.fault_in_progress = false;
    co_return;
  }
  if (fault.kind == FaultKind::kPauseServer) {
    co_await PauseServer(server, fault.length);
    server.fault_in_progress = false;
    co_return;
  }
  const ScopedFault span(fleet_.fault_history(),
                         {it.entry().id.str(), FaultHistory::kUnplanned});
  if (fault.kind == FaultKind::kRepeatRefusals) {
    it.link().SetLateCopies({1, true, false});
    co_await SleepFor(fault.length * kNoticeLengthFactor);
    it.link().SetLateCopies({});
  } else if (fault.kind == FaultKind::kSlowServer) {
    it.SetSlowdown(kSlowdownFactor);
    co_await SleepFor(fault.length);
    it.SetSlowdown(1);
  } else if (fault.kind == FaultKind::kFailServer) {
    it.SetFailureRate(kFailureRate);
    co_await SleepFor(fault.length);
    it.SetFailureRate(0);
  } else if (fault.kind == FaultKind::kCrashServer) {
    it.Crash();
    co_await SleepFor(std::min(fault.length, kEntryLifetime));
    if (fault.length > kEntryLifetime)
      fleet_.RemoveServerEntry(server);
    it.Restart(it.entry().id, it.entry().service);
    fleet_.WriteServerEntry(server);
  } else {
    it.MarkLost();
    co_await InjectLinkFault(it.link(),
                             LinkFaultOf(fault.kind, FaultKind::kDelayServer),
                             fault.length);
    it.MarkLost();
  }
  server.fault_in_progress = false;
}

asio::awaitable<void> FaultInjector::LimitServer(SoakFleet::Server& server,
                                                 Duration length) {
  server.local->SetLimit(kLimits[length.ms() % std::size(kLimits)]);
  server.limited_since = SteadyNow();
  server.limited_arrivals.clear();
  co_await SleepFor(length);
  server.local->SetLimit(std::nullopt);
  server.limited_since.reset();
}

asio::awaitable<void> FaultInjector::PauseServer(SoakFleet::Server& server,
                                                 Duration length) {
  server.paused_hosts.clear();
  server.sent_in_pause.clear();
  server.paused_until = SteadyNow() + length;
  server.local->SetPausedUntil(server.paused_until);
  co_await SleepFor(length);
}

asio::awaitable<void> FaultInjector::SendCrashingRequest(SoakFleet::Host& host,
                                                         std::string target,
                                                         std::string id) {
  HttpRequest request;
  request.method = "GET";
  request.target = target;
  request.fields.Add("Host", "soak.example");
  request.fields.Add(fleet_.names().request_id, id);
  fleet_.checker().OnSent(id, "lookup", true, host.id.str(),
                          RequestDigest(request.method, target, {}),
                          SteadyNow());
  ConnectionPool connections(fleet_.loop());
  ExchangeOptions options;
  options.deadline = SteadyNow() + kCrashingTimeout;
  co_await connections.Exchange(host.caller_link->endpoint(),
                                std::move(request), std::move(options));
}

asio::awaitable<void> FaultInjector::SendCrashingRequests(const Fault& fault) {
  const std::string target =
      "/lookup" + std::string(kCrashingTarget) + std::to_string(fault.subject);
  const Instant end = SteadyNow() + fault.length * kNoticeLengthFactor;
  const ScopedFault span(fleet_.fault_history(), {FaultHistory::kUnplanned});
  for (size_t n = 0; SteadyNow() < end; ++n) {
    auto& hosts = fleet_.hosts();
    SoakFleet::Host& host = hosts[(fault.subject + n) % hosts.size()];
    if (host.process->running() && !host.stop_requested && !host.paused) {
      co_await SendCrashingRequest(
          host, target,
          std::to_string(fault.subject) + "-" + std::to_string(n));
    }
    co_await SleepFor(kCrashingInterval);
  }
}

asio::awaitable<void> FaultInjector::WriteOddEntries(const Fault& fault) {
  const std::string number = std::to_string(fault.subject % 1'000);
  const std::vector<std::pair<std::string, std::string>> entries = {
      {"servers/deep-" + number, std::string(20'000, '[')},
      {"servers/number-" + number,
       R"({"service":"lookup","address":"127.0.0.1:99999","zone":"zone-0-0",)"
       R"("version":"1","slots":4,"state":"ready","cold_left":"1e300s",)"
       R"("sequence":1e400,"born":99999999999999999999})"},
      {"servers/", "{}"},
      {"a key&after=%0 \r\n" + number, "\xff\xfe"}};
  for (const auto& [key, value] : entries)
    fleet_.store().Put(key, value);
  co_await SleepFor(fault.length);
  for (const auto& [key, value] : entries)
    fleet_.store().Remove(key);
}

asio::awaitable<void> FaultInjector::ReplaceServer(SoakFleet::Server& server,
                                                   Duration length) {
  BackendServer& it = *server.server;
  it.SetLeaving();
  // Some servers remove their entry at once instead of marking it as draining.
  if (length.ms() % 3 == 0)
    fleet_.RemoveServerEntry(server);
  else
    fleet_.WriteServerEntry(server);
  server.draining_since = SteadyNow();
  co_await SleepFor(kServeWhileDraining + length);
  fleet_.RemoveServerEntry(server);
  it.Crash();
  co_await SleepFor(kEntryRewriteDelay);
  server.draining_since.reset();
  ++server.generation;
  const std::string name = it.entry().id.str();
  it.Restart(ServerId(name.substr(0, name.rfind('-') + 1) +
                      std::to_string(server.generation)),
             it.entry().service);
  fleet_.WriteServerEntry(server);
}

asio::awaitable<void> FaultInjector::EvacuateZone(const ZoneId& zone,
                                                  Duration length) {
  // Only one zone at a time, because the other zones must carry its load.
  if (!fleet_.BeginEvacuation(zone))
    co_return;
  co_await SleepFor(SoakFleet::kEvacuationLimit + length);
  fleet_.EndEvacuation(zone);
}

}  // namespace toucanknot::soak
