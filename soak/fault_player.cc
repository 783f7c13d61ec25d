#include "soak/fault_player.h"

#include <signal.h>

#include <algorithm>
#include <iterator>
#include <string>

#include "src/http/one_shot.h"

namespace toucanknot::soak {
namespace {

namespace asio = boost::asio;

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

// What may happen to a link, in the order of the kinds of each group of links.
enum class LinkFault { kDelay, kReset, kCutOneWay, kSilence };

LinkFault LinkFaultOf(FaultKind kind, FaultKind first_of_group) {
  return static_cast<LinkFault>(static_cast<int>(kind) -
                                static_cast<int>(first_of_group));
}

asio::awaitable<void> ToLink(FaultProxy& link,
                             LinkFault fault,
                             Duration length) {
  switch (fault) {
    case LinkFault::kDelay:
      link.SetLink({kLinkDelay, true, true});
      break;
    case LinkFault::kReset:
      link.ResetAll();
      co_return;
    case LinkFault::kCutOneWay: {
      const bool to_target = length.ms() % 2 == 0;
      link.SetLink({Duration(0), to_target, !to_target});
      break;
    }
    case LinkFault::kSilence:
      link.SilenceOpen();
      break;
  }
  co_await SleepFor(length);
  link.SetLink({});
}

bool IsServerFault(FaultKind kind) {
  return (kind >= FaultKind::kDelayServer &&
          kind <= FaultKind::kSilenceServer) ||
         (kind >= FaultKind::kCrashServer && kind <= FaultKind::kReplaceServer);
}

}  // namespace

asio::awaitable<void> FaultPlayer::Play(Fault fault) {
  auto& hosts = fleet_.hosts();
  auto& servers = fleet_.servers();
  SoakFleet::Host& host = hosts[fault.subject % hosts.size()];
  SoakFleet::Server& server = servers[fault.subject % servers.size()];
  if (fault.kind <= FaultKind::kReloadHost) {
    co_await ToHost(host, fault);
  } else if (fault.kind <= FaultKind::kSilenceCallers) {
    co_await ToCallers(host, fault);
  } else if (IsServerFault(fault.kind)) {
    co_await ToServer(server, fault);
  } else if (fault.kind <= FaultKind::kSilenceStore) {
    co_await ToStoreLink(host, fault);
  } else if (fault.kind <= FaultKind::kStoreLapsesServers) {
    co_await ToStore(fault);
  } else if (fault.kind == FaultKind::kChangeConfig) {
    fleet_.ChangeConfig();
  } else {
    const auto& zones = fleet_.zones();
    const auto n = static_cast<ptrdiff_t>(fault.subject % zones.size());
    co_await Evacuate(std::next(zones.begin(), n)->first, fault.length);
  }
}

asio::awaitable<void> FaultPlayer::ToHost(SoakFleet::Host& host,
                                          const Fault& fault) {
  if (!host.process->running() || host.to_end || host.paused)
    co_return;
  switch (fault.kind) {
    case FaultKind::kReloadHost:
      host.process->Signal(SIGHUP);
      break;
    case FaultKind::kStopHost:
      co_await fleet_.StopHost(host);
      co_await SleepFor(kRestartAfter);
      fleet_.StartHost(host);
      break;
    case FaultKind::kPauseHost: {
      const FaultSpan span(fleet_.times(),
                           {host.id.str(), FaultTimes::kUnplanned});
      host.paused = true;
      host.process->Signal(SIGSTOP);
      co_await SleepFor(fault.length);
      host.process->Signal(SIGCONT);
      host.paused = false;
      break;
    }
    default: {
      const FaultSpan span(fleet_.times(),
                           {host.id.str(), FaultTimes::kUnplanned});
      co_await fleet_.KillHost(host);
      co_await SleepFor(fault.length);
      fleet_.StartHost(host);
      break;
    }
  }
}

asio::awaitable<void> FaultPlayer::ToCallers(SoakFleet::Host& host,
                                             const Fault& fault) {
  const FaultSpan span(fleet_.times(), {host.id.str(), FaultTimes::kUnplanned});
  co_await ToLink(*host.caller_link,
                  LinkFaultOf(fault.kind, FaultKind::kDelayCallers),
                  fault.length);
}

asio::awaitable<void> FaultPlayer::ToStoreLink(SoakFleet::Host& host,
                                               const Fault& fault) {
  const FaultSpan span(fleet_.times(), {host.id.str()});
  co_await ToLink(*host.store_link,
                  LinkFaultOf(fault.kind, FaultKind::kDelayStore),
                  fault.length);
}

asio::awaitable<void> FaultPlayer::ToStore(const Fault& fault) {
  const FaultSpan span(fleet_.times(), {FaultTimes::kStore});
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
    case FaultKind::kStoreLosesAnswers:
      store.SetLosingResponses(true);
      break;
    case FaultKind::kStoreForgetsHistory:
      store.Compact();
      break;
    case FaultKind::kStoreDropsWatches:
      store.DropWatches();
      break;
    default:
      store.RejectWith(503);
      for (size_t i = fault.subject % 2; i < fleet_.servers().size(); i += 2)
        fleet_.RemoveEntry(fleet_.servers()[i]);
      break;
  }
  co_await SleepFor(fault.length);
  store.RejectWith(0);
  store.SetSilent(false);
  store.SetDelay(Duration(0));
  store.SetLosingResponses(false);
  if (fault.kind != FaultKind::kStoreLapsesServers)
    co_return;
  co_await SleepFor(kEntriesBack);
  for (const SoakFleet::Server& it : fleet_.servers()) {
    if (it.server->up())
      fleet_.WriteEntry(it);
  }
}

asio::awaitable<void> FaultPlayer::ToServer(SoakFleet::Server& server,
                                            const Fault& fault) {
  if (server.busy)
    co_return;
  server.busy = true;
  SoakServer& it = *server.server;
  if (fault.kind == FaultKind::kReplaceServer) {
    co_await Replace(server, fault.length);
    server.busy = false;
    co_return;
  }
  const FaultSpan span(fleet_.times(),
                       {it.entry().id.str(), FaultTimes::kUnplanned});
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
      fleet_.RemoveEntry(server);
    it.Restart(it.entry().id);
    fleet_.WriteEntry(server);
  } else {
    co_await ToLink(it.link(), LinkFaultOf(fault.kind, FaultKind::kDelayServer),
                    fault.length);
  }
  server.busy = false;
}

asio::awaitable<void> FaultPlayer::Replace(SoakFleet::Server& server,
                                           Duration length) {
  SoakServer& it = *server.server;
  it.SetLeaving();
  // Some leave without a word.
  if (length.ms() % 3 == 0)
    fleet_.RemoveEntry(server);
  else
    fleet_.WriteEntry(server);
  server.leaving_since = SteadyNow();
  co_await SleepFor(kServeOn + length);
  fleet_.RemoveEntry(server);
  it.Crash();
  co_await SleepFor(kEntriesBack);
  server.leaving_since.reset();
  ++server.generation;
  const std::string name = it.entry().id.str();
  it.Restart(ServerId(name.substr(0, name.rfind('-') + 1) +
                      std::to_string(server.generation)));
  fleet_.WriteEntry(server);
}

asio::awaitable<void> FaultPlayer::Evacuate(const ZoneId& zone,
                                            Duration length) {
  // The other zones must bear the load.
  if (!fleet_.BeginEvacuation(zone))
    co_return;
  co_await SleepFor(SoakFleet::kEvacuate + length);
  fleet_.EndEvacuation(zone);
}

}  // namespace toucanknot::soak
