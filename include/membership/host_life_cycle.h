#ifndef INCLUDE_MEMBERSHIP_HOST_LIFE_CYCLE_H_
#define INCLUDE_MEMBERSHIP_HOST_LIFE_CYCLE_H_

#include <memory>

#include "include/peer/messages.h"

namespace toucanknot {

// The life cycle of one incarnation of a host: starting, serving, leaving,
// stopped. It only moves forward; a restarted host is another incarnation.
class HostLifeCycle {
 public:
  HostLifeCycle();
  HostLifeCycle(HostLifeCycle&&) noexcept;
  HostLifeCycle& operator=(HostLifeCycle&&) noexcept;
  ~HostLifeCycle();

  HostState state() const;

  // Each method returns whether the state changed; a transition that the
  // present state does not allow changes nothing.

  // The host has a configuration and listens: starting to serving.
  bool Ready();
  // The host accepts no new work: starting or serving to leaving.
  bool Leave();
  // The host ended, with or without notice: any state to stopped.
  bool Stop();
  // Applies the state that the host itself reports; a report of an earlier
  // state is ignored as late.
  bool Report(HostState reported);

 private:
  struct Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace toucanknot

#endif  // INCLUDE_MEMBERSHIP_HOST_LIFE_CYCLE_H_
