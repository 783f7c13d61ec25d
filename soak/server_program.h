#ifndef SOAK_SERVER_PROGRAM_H_
#define SOAK_SERVER_PROGRAM_H_

#include <cstdint>
#include <string>

#include "include/base/endpoint.h"

namespace toucanknot::soak {

// What a backend server that is a process of its own is started with. The rates
// are shares of requests or connections, 0 to 1.
struct ServerProgramOptions {
  std::string id;
  Endpoint endpoint;
  // The file to which it appends its ledger; see ServerLedger.
  std::string ledger;
  uint64_t seed = 1;
  int slots = 4;
  int max_connections = 20;
  // Steady clock, milliseconds: from then on all rates are 0.
  int64_t faulty_until_ms = 0;
  // Connections: a new one holds a slot. Idle ones are closed after a short
  // time.
  double slot_holding = 0;
  double short_idle = 0;
  // Responses: rejections without a reason; 408, 429 or 503 to what was run;
  // 500; written in parts with pauses; broken off; without a length.
  double shed = 0;
  double run_then_refuse = 0;
  double fail = 0;
  double in_parts = 0;
  double truncated = 0;
  double no_length = 0;
  // Late copies of the last response, and the share of them that break off.
  double late_copies = 0;
  double broken_copies = 0;
  // Rejections of long bodies before they are read, which are read later.
  double early_rejection = 0;

  std::string ToJson() const;
  static ServerProgramOptions FromJson(const std::string& text);
};

// Runs such a server; returns only by an exception. It ends with its parent,
// and is leaving from SIGUSR1 on.
[[noreturn]] void RunServerProgram(const ServerProgramOptions& options);

}  // namespace toucanknot::soak

#endif  // SOAK_SERVER_PROGRAM_H_
