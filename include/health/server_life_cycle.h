#ifndef INCLUDE_HEALTH_SERVER_LIFE_CYCLE_H_
#define INCLUDE_HEALTH_SERVER_LIFE_CYCLE_H_

#include <memory>

#include "include/base/enum_names.h"

namespace toucanknot {

// What a host believes of a backend server.
enum class ServerState {
  // Serves, with a growing share.
  kCold,
  // Serves its full share.
  kWarm,
  // Serves a small share until it has shown that it works, or has failed.
  kSuspect,
  // Gets no work but single trials.
  kEjected,
  // Gets no new work; finishes what runs.
  kLeaving,
};

inline constexpr EnumNames<ServerState, 5> kServerStateNames{
    {"cold", "warm", "suspect", "ejected", "leaving"}};

// What may change a server's state.
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

// The state machine of one backend server. A signal that has no meaning in the
// present state changes nothing; from kLeaving only kReturn leads on, from
// kEjected only kTrialsPassed and kLeave.
class ServerLifeCycle {
 public:
  ServerLifeCycle();
  ServerLifeCycle(ServerLifeCycle&&) noexcept;
  ServerLifeCycle& operator=(ServerLifeCycle&&) noexcept;
  ~ServerLifeCycle();

  ServerState state() const;
  // Whether the state changed.
  bool Apply(ServerSignal signal);

 private:
  struct Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace toucanknot

#endif  // INCLUDE_HEALTH_SERVER_LIFE_CYCLE_H_
