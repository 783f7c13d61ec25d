#ifndef INCLUDE_HEALTH_SERVER_LIFE_CYCLE_H_
#define INCLUDE_HEALTH_SERVER_LIFE_CYCLE_H_

#include <memory>

#include "include/base/enum_names.h"

namespace toucanknot {

// The state of a backend server as one host sees it.
enum class ServerState {
  // Serves a growing share of work.
  kCold,
  // Serves its full share.
  kWarm,
  // Serves a small share until its responses show that it works or fails.
  kSuspect,
  // Gets no work except single trial requests.
  kEjected,
  // Gets no new work; running requests finish.
  kLeaving,
};

inline constexpr EnumNames<ServerState, 5> kServerStateNames{
    {"cold", "warm", "suspect", "ejected", "leaving"}};

// Events that may change the state of a server.
enum class ServerSignal {
  kWarmedUp,
  kDoubt,
  kRecovered,
  kEject,
  kTrialsPassed,
  kLeave,
  kReturn,
};

inline constexpr EnumNames<ServerSignal, 7> kServerSignalNames{
    {"warmed-up", "doubt", "recovered", "eject", "trials-passed", "leave",
     "return"}};

// The state machine of one backend server. A signal without a transition from
// the present state changes nothing; only kReturn leads out of kLeaving, only
// kTrialsPassed and kLeave lead out of kEjected.
class ServerLifeCycle {
 public:
  ServerLifeCycle();
  ServerLifeCycle(ServerLifeCycle&&) noexcept;
  ServerLifeCycle& operator=(ServerLifeCycle&&) noexcept;
  ~ServerLifeCycle();

  ServerState state() const;
  // Returns whether the state changed.
  bool Apply(ServerSignal signal);

 private:
  struct Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace toucanknot

#endif  // INCLUDE_HEALTH_SERVER_LIFE_CYCLE_H_
