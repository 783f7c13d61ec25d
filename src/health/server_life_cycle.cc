#include "include/health/server_life_cycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace toucanknot {
namespace {

namespace front = boost::msm::front;

template <ServerSignal>
struct On {};

template <ServerState>
struct Is : front::state<> {};

// Events are handled at once and throw nothing, so MSM's queue and exception
// handling are disabled.
struct Definition : front::state_machine_def<Definition> {
  using Cold = Is<ServerState::kCold>;
  using Warm = Is<ServerState::kWarm>;
  using Suspect = Is<ServerState::kSuspect>;
  using Ejected = Is<ServerState::kEjected>;
  using Leaving = Is<ServerState::kLeaving>;
  using initial_state = Cold;
  using no_message_queue = int;
  using no_exception_thrown = int;

  using S = ServerSignal;
  template <typename From, S signal, typename To>
  using Row = front::Row<From, On<signal>, To>;

  // MSM numbers the states by their first appearance as a source in this table;
  // that order must match ServerState.
  struct transition_table  // NOLINT(readability-identifier-naming)
      : boost::mpl::vector<Row<Cold, S::kWarmedUp, Warm>,
                           Row<Warm, S::kDoubt, Suspect>,
                           Row<Suspect, S::kRecovered, Cold>,
                           Row<Ejected, S::kTrialsPassed, Cold>,
                           Row<Leaving, S::kReturn, Cold>,
                           Row<Cold, S::kDoubt, Suspect>,
                           Row<Cold, S::kEject, Ejected>,
                           Row<Warm, S::kEject, Ejected>,
                           Row<Suspect, S::kEject, Ejected>,
                           Row<Cold, S::kLeave, Leaving>,
                           Row<Warm, S::kLeave, Leaving>,
                           Row<Suspect, S::kLeave, Leaving>,
                           Row<Ejected, S::kLeave, Leaving>> {};

  template <typename Fsm, typename Event>
  void no_transition(const Event&, Fsm&, int) {}
};

}  // namespace

struct ServerLifeCycle::Machine {
  Machine() { states.start(); }

  boost::msm::back::state_machine<Definition> states;
};

ServerLifeCycle::ServerLifeCycle() : machine_(std::make_unique<Machine>()) {}
ServerLifeCycle::ServerLifeCycle(ServerLifeCycle&&) noexcept = default;
ServerLifeCycle& ServerLifeCycle::operator=(ServerLifeCycle&&) noexcept =
    default;
ServerLifeCycle::~ServerLifeCycle() = default;

ServerState ServerLifeCycle::state() const {
  return static_cast<ServerState>(machine_->states.current_state()[0]);
}

bool ServerLifeCycle::Apply(ServerSignal signal) {
  const ServerState before = state();
  auto& states = machine_->states;
  switch (signal) {
    case ServerSignal::kWarmedUp:
      states.process_event(On<ServerSignal::kWarmedUp>());
      break;
    case ServerSignal::kDoubt:
      states.process_event(On<ServerSignal::kDoubt>());
      break;
    case ServerSignal::kRecovered:
      states.process_event(On<ServerSignal::kRecovered>());
      break;
    case ServerSignal::kEject:
      states.process_event(On<ServerSignal::kEject>());
      break;
    case ServerSignal::kTrialsPassed:
      states.process_event(On<ServerSignal::kTrialsPassed>());
      break;
    case ServerSignal::kLeave:
      states.process_event(On<ServerSignal::kLeave>());
      break;
    case ServerSignal::kReturn:
      states.process_event(On<ServerSignal::kReturn>());
      break;
  }
  return state() != before;
}

}  // namespace toucanknot
