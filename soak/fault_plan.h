#ifndef SOAK_FAULT_PLAN_H_
#define SOAK_FAULT_PLAN_H_

#include <cstdint>
#include <vector>

#include "include/base/clock.h"
#include "include/base/enum_names.h"

namespace toucanknot::soak {

// What may happen to a fleet. Faults of a link hold for a while; those marked
// with * strike once.
enum class FaultKind {
  // A host: SIGKILL and a start later, SIGSTOP and SIGCONT, SIGTERM and a start
  // once it has ended, SIGHUP*.
  kKillHost,
  kPauseHost,
  kStopHost,
  kReloadHost,
  // The callers' way to a host.
  kDelayCallers,
  kResetCallers,
  kCutCallersOneWay,
  kSilenceCallers,
  // The hosts' way to a server.
  kDelayServer,
  kResetServer,
  kCutServerOneWay,
  kSilenceServer,
  // One host's way to the store.
  kDelayStore,
  kResetStore,
  kCutStoreOneWay,
  kSilenceStore,
  // The store, for all: answers 503, answers nothing, is slow, loses answers
  // of writes it has made, forgets its history*, forgets waiting watches*,
  // forgets some servers' entries until it is back.
  kStoreRefuses,
  kStoreSilent,
  kStoreSlow,
  kStoreLosesAnswers,
  kStoreForgetsHistory,
  kStoreDropsWatches,
  kStoreLapsesServers,
  // A server: ends without a word, is slow, fails a part of its requests,
  // leaves as planned and is replaced.
  kCrashServer,
  kSlowServer,
  kFailServer,
  kReplaceServer,
  // The operator: a change of the configuration*, a zone without work.
  kChangeConfig,
  kEvacuateZone,
};

inline constexpr size_t kFaultKinds = 29;
inline constexpr EnumNames<FaultKind, kFaultKinds> kFaultKindNames{
    {"kill-host",           "pause-host",          "stop-host",
     "reload-host",         "delay-callers",       "reset-callers",
     "cut-callers-one-way", "silence-callers",     "delay-server",
     "reset-server",        "cut-server-one-way",  "silence-server",
     "delay-store",         "reset-store",         "cut-store-one-way",
     "silence-store",       "store-refuses",       "store-silent",
     "store-slow",          "store-loses-answers", "store-forgets",
     "store-drops-watches", "store-lapses",        "crash-server",
     "slow-server",         "fail-server",         "replace-server",
     "change-config",       "evacuate-zone"}};

struct Fault {
  // From the start of the plan.
  Duration at;
  FaultKind kind = FaultKind::kKillHost;
  // Which host, server or zone; taken modulo their number.
  uint64_t subject = 0;
  Duration length;

  bool operator==(const Fault&) const = default;
};

// Draws what happens in `length`: episodes of one to five faults that overlap
// or follow each other closely, quiet times between them, and planned changes
// all the while. The same seed draws the same plan.
std::vector<Fault> DrawPlan(uint64_t seed, Duration length);

}  // namespace toucanknot::soak

#endif  // SOAK_FAULT_PLAN_H_
