#include "soak/server_process_faults.h"

#include <signal.h>

#include <algorithm>
#include <string>

#include "src/http/one_shot.h"

namespace toucanknot::soak {
namespace {

namespace asio = boost::asio;

constexpr Duration kMaxStopped{2'000};
// The entry of a killed server expires after three missed heartbeats; its
// address is used again before that.
constexpr Duration kEntryLifetime{4'500};
constexpr Duration kReuseAfter{2'000};
constexpr double kRefusalRate = 0.15;

asio::awaitable<void> StopForAWhile(SoakFleet::Server& server,
                                    Duration length) {
  server.process->MarkLost();
  server.process->Signal(SIGSTOP);
  co_await SleepFor(std::min(length, kMaxStopped));
  server.process->Signal(SIGCONT);
  server.process->MarkLost();
}

asio::awaitable<void> KillAndRestart(SoakFleet& fleet,
                                     SoakFleet::Server& server,
                                     Duration length) {
  ServerProcess& it = *server.process;
  it.Crash();
  co_await SleepFor(std::min(length, kEntryLifetime));
  if (length > kEntryLifetime)
    fleet.RemoveServerEntry(server);
  it.Restart(it.entry().id, it.entry().service);
  fleet.WriteServerEntry(server);
}

asio::awaitable<void> TakeOverPort(SoakFleet& fleet,
                                   SoakFleet::Server& server) {
  ServerProcess& it = *server.process;
  const ServerId gone = it.entry().id;
  it.Crash();
  co_await SleepFor(kReuseAfter);
  const std::string& name = gone.str();
  ++server.generation;
  it.Restart(ServerId(name.substr(0, name.rfind('-') + 1) +
                      std::to_string(server.generation)),
             ServiceId(it.entry().service == ServiceId("lookup") ? "confirm"
                                                                 : "lookup"));
  fleet.WriteServerEntry(server);
  co_await SleepFor(kEntryLifetime - kReuseAfter);
  fleet.RemoveServerEntry(gone);
}

}  // namespace

ServerProgramOptions FaultyServerOptions(Profile profile) {
  ServerProgramOptions it;
  const bool all = profile == Profile::kMixed;
  if (all) {
    it.slot_holding = 0.1;
    it.short_idle = 0.3;
    it.fail = 0.01;
    it.in_parts = 0.1;
    it.truncated = 0.01;
    it.no_length = 0.02;
    it.early_rejection = 0.2;
    it.shed = 0.05;
    it.run_then_refuse = 0.01;
    it.late_copies = 0.1;
    it.broken_copies = 0.5;
  }
  if (profile == Profile::kLateCopies || profile == Profile::kRefusals ||
      profile == Profile::kBrokenCopies) {
    it.shed = kRefusalRate;
    it.late_copies = 1;
    it.broken_copies = profile == Profile::kBrokenCopies ? 1 : 0;
  }
  if (profile == Profile::kRunThenRefuse || profile == Profile::kRefusals)
    it.run_then_refuse = kRefusalRate;
  return it;
}

asio::awaitable<void> InjectServerProcessFault(SoakFleet& fleet,
                                               SoakFleet::Server& server,
                                               const Fault& fault) {
  const std::string id = server.server->entry().id.str();
  const ScopedFault span(fleet.fault_history(), {id, FaultHistory::kUnplanned});
  switch (fault.kind) {
    case FaultKind::kDelayServer:
    case FaultKind::kCutServerOneWay:
    case FaultKind::kSilenceServer:
    case FaultKind::kSlowServer:
      co_await StopForAWhile(server, fault.length);
      break;
    case FaultKind::kResetServer:
    case FaultKind::kCrashServer:
      co_await KillAndRestart(fleet, server, fault.length);
      break;
    case FaultKind::kFailServer:
      co_await TakeOverPort(fleet, server);
      break;
    default:
      // Server processes name no limits and ask for no pauses.
      break;
  }
}

}  // namespace toucanknot::soak
