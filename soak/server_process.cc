#include "soak/server_process.h"

#include <signal.h>

#include <filesystem>
#include <utility>

#include "include/base/error.h"

namespace toucanknot::soak {

ServerProcess::ServerProcess(InvariantChecker& checker,
                             ArrivalHook on_arrival,
                             Options options)
    : checker_(checker),
      on_arrival_(std::move(on_arrival)),
      options_(std::move(options)),
      ledger_(options_.program.ledger) {
  Start();
}

void ServerProcess::Start() {
  options_.entry.incarnation = static_cast<Incarnation>(UnixMillis());
  options_.entry.leaving = false;
  options_.program.id = options_.entry.id.str();
  options_.program.endpoint = options_.entry.endpoint;
  // Each start draws its faults anew.
  ++options_.program.seed;
  process_ = std::make_unique<ChildProcess>(
      std::vector<std::string>{
          std::filesystem::read_symlink("/proc/self/exe").string(), kCommand,
          options_.program.ToJson()},
      options_.log);
  process_->Start();
}

void ServerProcess::MarkLost() {
  checker_.OnServerLost(options_.entry.id.str(), SteadyNow());
}

void ServerProcess::Crash() {
  MarkLost();
  // Kills the process and waits for its end.
  process_.reset();
  ReadLedger();
}

void ServerProcess::Restart(const ServerId& id, const ServiceId& service) {
  options_.entry.id = id;
  options_.entry.service = service;
  Start();
}

void ServerProcess::CheckRunning() {
  if (process_ && process_->Reap())
    throw Error("server process ended, see " + options_.log);
}

void ServerProcess::SetLeaving() {
  options_.entry.leaving = true;
  Signal(SIGUSR1);
}

void ServerProcess::ReadLedger() {
  for (const ServerLedger::Event& it : ledger_.ReadNew()) {
    switch (it.kind) {
      case ServerLedger::EventKind::kArrived:
        checker_.OnArrived(it.id, it.server, it.time);
        on_arrival_(it.server, it.id, it.time);
        break;
      case ServerLedger::EventKind::kRan:
        checker_.OnRun(it.id, it.digest, it.server, it.time);
        break;
      case ServerLedger::EventKind::kRejected:
        checker_.OnRejectedByServer(it.id, it.server, it.time);
        break;
      case ServerLedger::EventKind::kLateBody:
        checker_.OnLateBody(it.id, it.digest);
        break;
      case ServerLedger::EventKind::kBrokeOff:
        checker_.OnBrokenOff(it.id, it.server, it.time);
        break;
    }
  }
}

}  // namespace toucanknot::soak
