#include "include/membership/host_life_cycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace toucanknot {
namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct ReadyEvent {};
struct LeaveEvent {};
struct StopEvent {};

struct LifeCycleDef : msm::front::state_machine_def<LifeCycleDef> {
  struct Starting : msm::front::state<> {};
  struct Serving : msm::front::state<> {};
  struct Leaving : msm::front::state<> {};
  struct Stopped : msm::front::state<> {};

  // Names required by the library.
  // NOLINTBEGIN(readability-identifier-naming)
  using initial_state = Starting;
  struct transition_table
      : boost::mpl::vector<Row<Starting, ReadyEvent, Serving, none, none>,
                           Row<Starting, LeaveEvent, Leaving, none, none>,
                           Row<Serving, LeaveEvent, Leaving, none, none>,
                           Row<Starting, StopEvent, Stopped, none, none>,
                           Row<Serving, StopEvent, Stopped, none, none>,
                           Row<Leaving, StopEvent, Stopped, none, none>> {};

  // Events that the present state does not allow are ignored.
  template <typename Fsm, typename Event>
  void no_transition(const Event&, Fsm&, int) {}
  // NOLINTEND(readability-identifier-naming)
};

}  // namespace

struct HostLifeCycle::Machine {
  Machine() { fsm.start(); }

  // The library numbers states in the order of the table's first column, which
  // matches HostState.
  HostState State() const {
    return static_cast<HostState>(fsm.current_state()[0]);
  }

  template <typename Event>
  bool Process(const Event& event) {
    const HostState before = State();
    fsm.process_event(event);
    return State() != before;
  }

  msm::back::state_machine<LifeCycleDef> fsm;
};

HostLifeCycle::HostLifeCycle() : machine_(std::make_unique<Machine>()) {}
HostLifeCycle::HostLifeCycle(HostLifeCycle&&) noexcept = default;
HostLifeCycle& HostLifeCycle::operator=(HostLifeCycle&&) noexcept = default;
HostLifeCycle::~HostLifeCycle() = default;

HostState HostLifeCycle::state() const {
  return machine_->State();
}

bool HostLifeCycle::Ready() {
  return machine_->Process(ReadyEvent());
}

bool HostLifeCycle::Leave() {
  return machine_->Process(LeaveEvent());
}

bool HostLifeCycle::Stop() {
  return machine_->Process(StopEvent());
}

bool HostLifeCycle::Report(HostState reported) {
  switch (reported) {
    case HostState::kStarting:
      return false;
    case HostState::kServing:
      return Ready();
    case HostState::kLeaving:
      return Leave();
    case HostState::kStopped:
      return Stop();
  }
  return false;
}

}  // namespace toucanknot
