#ifndef SOAK_FAULT_PLAN_H_
#define SOAK_FAULT_PLAN_H_

#include <cstdint>
#include <vector>

#include "include/base/clock.h"
#include "include/base/enum_names.h"

namespace toucanknot::soak {

// The faults that a soak injects into a fleet. Each lasts for the length of its
// Fault, except those marked with *, which are momentary events.
enum class FaultKind {
  // A host process: SIGKILL and a later restart, SIGSTOP then SIGCONT, SIGTERM
  // and a restart after it has exited, SIGHUP*.
  kKillHost,
  kPauseHost,
  kStopHost,
  kReloadHost,
  // The link from callers to a host. kResetCallers* resets its connections.
  kDelayCallers,
  kResetCallers,
  kCutCallersOneWay,
  kSilenceCallers,
  // The link from all hosts to a server. kResetServer* resets its connections.
  kDelayServer,
  kResetServer,
  kCutServerOneWay,
  kSilenceServer,
  // The link from one host to the store. kResetStore* resets its connections.
  kDelayStore,
  kResetStore,
  kCutStoreOneWay,
  kSilenceStore,
  // The store, for all hosts: responds with 503, doesn't respond, is slow,
  // loses the responses to writes that it has applied, compacts its history*,
  // drops waiting watches*, responds with 503 while the entries of half of the
  // servers expire.
  kStoreRefuses,
  kStoreSilent,
  kStoreSlow,
  kStoreLosesResponses,
  kStoreCompactsHistory,
  kStoreDropsWatches,
  kStoreExpiresServers,
  // A server: crashes, is slow, fails a part of its requests, drains and is
  // replaced by a new instance.
  kCrashServer,
  kSlowServer,
  kFailServer,
  kReplaceServer,
  // The operator: changes the configuration*, evacuates a zone.
  kChangeConfig,
  kEvacuateZone,
  // A server: names a limit on its requests a second, rejects requests and asks
  // for a pause, writes each refusal once more on its connection.
  kLimitServer,
  kPauseServer,
  kRepeatRefusals,
  // A caller: sends a request that crashes the servers that run it, to one host
  // after the other.
  kSendCrashingRequest,
  // Another writer: odd entries in the store, among those of servers and hosts.
  kWriteOddEntries,
  // Half of the servers: reject a part of their requests; besides, write a late
  // copy of responses, whole or broken off; respond with 408, 429 or 503 to a
  // part of what they have run.
  kShedRequests,
  kLateCopies,
  kBrokenCopies,
  kRunThenRefuse,
  // The store is away for a moment and comes back from a copy that is as old as
  // the fault is long; operators and servers then write again.
  kRestoreStore,
  // The store, for all hosts or for half of them: rejects calls, is slow,
  // resets
  // connections, or cuts, stalls or trickles its responses; then is silent.
  kStoreFailsThenSilent,
};

inline constexpr size_t kFaultKindCount = 40;
inline constexpr EnumNames<FaultKind, kFaultKindCount> kFaultKindNames{
    {"kill-host",
     "pause-host",
     "stop-host",
     "reload-host",
     "delay-callers",
     "reset-callers",
     "cut-callers-one-way",
     "silence-callers",
     "delay-server",
     "reset-server",
     "cut-server-one-way",
     "silence-server",
     "delay-store",
     "reset-store",
     "cut-store-one-way",
     "silence-store",
     "store-refuses",
     "store-silent",
     "store-slow",
     "store-loses-answers",
     "store-forgets",
     "store-drops-watches",
     "store-lapses",
     "crash-server",
     "slow-server",
     "fail-server",
     "replace-server",
     "change-config",
     "evacuate-zone",
     "limit-server",
     "pause-server",
     "repeat-refusals",
     "send-crashing-request",
     "write-odd-entries",
     "shed-requests",
     "late-copies",
     "broken-copies",
     "run-then-refuse",
     "restore-store",
     "store-fails-then-silent"}};

struct Fault {
  // Begin of the fault, from the start of the plan.
  Duration at;
  FaultKind kind = FaultKind::kKillHost;
  // Index of the affected host, server or zone, modulo their number.
  uint64_t subject = 0;
  Duration length;

  bool operator==(const Fault&) const = default;
};

// Generates the faults of a run of `length`, sorted by their begin: episodes of
// one to five faults that overlap or follow each other closely, with fault-free
// gaps between them, and planned changes throughout. The same seed always gives
// the same plan.
std::vector<Fault> GenerateFaultPlan(uint64_t seed, Duration length);

// Generates planned stops of one host after the other, which overlap.
std::vector<Fault> GenerateStopPlan(Duration length);

}  // namespace toucanknot::soak

#endif  // SOAK_FAULT_PLAN_H_
