#include "include/once/ticket_state.h"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>
#include <cstddef>

namespace toucanknot {
namespace {

namespace front = boost::msm::front;

template <TicketState kState>
struct StateFor : front::state<> {
  static constexpr TicketState kId = kState;
};

template <TicketEvent kEvent>
struct EventFor {};

template <TicketState kFrom, TicketEvent kEvent, TicketState kTo>
using Row = front::Row<StateFor<kFrom>, EventFor<kEvent>, StateFor<kTo>>;

using S = TicketState;
using E = TicketEvent;

// The transitions of a ticket. No transition leads out of kRan or kVoided, and
// none from kBroken to a state in which bytes may be sent.
struct TicketMachine : front::state_machine_def<TicketMachine> {
  using no_exception_thrown = int;
  using no_message_queue = int;
  using initial_state = StateFor<S::kUnused>;

  // clang-format off
  // MSM prescribes the name. NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table : boost::mpl::vector<
      Row<S::kUnused,     E::kAdmit,    S::kAdmitted>,
      Row<S::kUnused,     E::kVoid,     S::kVoided>,
      Row<S::kAdmitted,   E::kHandOver, S::kHandedOver>,
      Row<S::kAdmitted,   E::kVoid,     S::kVoided>,
      Row<S::kHandedOver, E::kTakeBack, S::kAdmitted>,
      Row<S::kHandedOver, E::kResponse, S::kRan>,
      Row<S::kHandedOver, E::kBreak,    S::kBroken>,
      Row<S::kHandedOver, E::kRefuse,   S::kVoided>,
      Row<S::kBroken,     E::kResponse, S::kRan>,
      Row<S::kBroken,     E::kRefuse,   S::kVoided>> {};
  // clang-format on

  template <typename Fsm, typename Event>
  void no_transition(const Event&, Fsm&, int) {}
};

using Machine = boost::msm::back::state_machine<TicketMachine>;

constexpr size_t kStates = kTicketStateNames.names.size();
constexpr size_t kEvents = kTicketEventNames.names.size();

using TransitionTable =
    std::array<std::array<std::optional<TicketState>, kEvents>, kStates>;

template <TicketState kState>
void MapStateId(const Machine& machine,
                std::array<TicketState, kStates>& by_id) {
  using Ids = Machine::stt;
  constexpr int id =
      boost::msm::back::get_state_id<Ids, StateFor<kState>>::type::value;
  by_id[id] = kState;
  (void)machine;
}

TicketState StateOf(const Machine& machine) {
  std::array<TicketState, kStates> by_id{};
  MapStateId<S::kUnused>(machine, by_id);
  MapStateId<S::kAdmitted>(machine, by_id);
  MapStateId<S::kHandedOver>(machine, by_id);
  MapStateId<S::kRan>(machine, by_id);
  MapStateId<S::kBroken>(machine, by_id);
  MapStateId<S::kVoided>(machine, by_id);
  return by_id[machine.current_state()[0]];
}

template <TicketEvent kEvent>
void Explore(const Machine& from, TransitionTable& table);

// Records the transitions from the state of `machine`, and follows them.
void ExploreAll(const Machine& machine, TransitionTable& table) {
  Explore<E::kAdmit>(machine, table);
  Explore<E::kHandOver>(machine, table);
  Explore<E::kTakeBack>(machine, table);
  Explore<E::kResponse>(machine, table);
  Explore<E::kBreak>(machine, table);
  Explore<E::kVoid>(machine, table);
  Explore<E::kRefuse>(machine, table);
}

template <TicketEvent kEvent>
void Explore(const Machine& from, TransitionTable& table) {
  auto& cell =
      table[static_cast<size_t>(StateOf(from))][static_cast<size_t>(kEvent)];
  if (cell)
    return;
  Machine next = from;
  if (next.process_event(EventFor<kEvent>()) != boost::msm::back::HANDLED_TRUE)
    return;
  cell = StateOf(next);
  ExploreAll(next, table);
}

// Explores the state machine once and builds a transition table from it. So a
// record holds one byte instead of a machine, and files that hold records don't
// include MSM's headers.
TransitionTable BuildTransitionTable() {
  TransitionTable table{};
  Machine machine;
  machine.start();
  ExploreAll(machine, table);
  return table;
}

}  // namespace

std::optional<TicketState> NextTicketState(TicketState state,
                                           TicketEvent event) {
  static const TransitionTable table = BuildTransitionTable();
  return table[static_cast<size_t>(state)][static_cast<size_t>(event)];
}

}  // namespace toucanknot
