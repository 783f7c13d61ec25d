#ifndef SOAK_SERVER_PROCESS_H_
#define SOAK_SERVER_PROCESS_H_

#include <functional>
#include <memory>
#include <string>

#include "soak/backend_server.h"
#include "soak/child_process.h"
#include "soak/invariant_checker.h"
#include "soak/server_ledger.h"
#include "soak/server_program.h"

namespace toucanknot::soak {

// A backend server that is a process of its own: this program with the command
// kCommand. What it records in its ledger goes to the checker.
class ServerProcess : public BackendServer {
 public:
  static constexpr char kCommand[] = "serve";

  struct Options {
    // Its endpoint is where the process listens.
    ServerEntry entry;
    ServerProgramOptions program;
    // File for its output.
    std::string log;
  };
  using ArrivalHook = std::function<
      void(const std::string& server, const std::string& id, Instant at)>;

  // Starts the process.
  ServerProcess(InvariantChecker& checker,
                ArrivalHook on_arrival,
                Options options);

  const ServerEntry& entry() const override { return options_.entry; }
  bool up() const override { return process_ != nullptr; }
  void MarkLost() override;
  void Crash() override;
  void Restart(const ServerId& id, const ServiceId& service) override;
  void SetLeaving() override;
  void Signal(int signal) {
    if (process_)
      process_->Signal(signal);
  }
  // Throws Error if the process has ended by itself.
  void CheckRunning();
  // Hands what is new in the ledger to the checker.
  void ReadLedger();

 private:
  void Start();

  InvariantChecker& checker_;
  const ArrivalHook on_arrival_;
  Options options_;
  ServerLedger ledger_;
  std::unique_ptr<ChildProcess> process_;
};

}  // namespace toucanknot::soak

#endif  // SOAK_SERVER_PROCESS_H_
