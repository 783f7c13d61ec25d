#ifndef INCLUDE_MEMBERSHIP_HOST_LIFE_CYCLE_H_
#define INCLUDE_MEMBERSHIP_HOST_LIFE_CYCLE_H_

#include <memory>

#include "include/peer/messages.h"

namespace toucanknot {

// The life cycle of one incarnation of a host: starting, serving, leaving,
// stopped. It only goes forward; a host that is back is another incarnation.
class HostLifeCycle {
 public:
  HostLifeCycle();
  HostLifeCycle(HostLifeCycle&&) noexcept;
  HostLifeCycle& operator=(HostLifeCycle&&) noexcept;
  ~HostLifeCycle();

  HostState state() const;

  // Each returns whether the state changed; calls that the present state does
  // not allow change nothing.

  // It has a configuration and listens: starting to serving.
  bool Ready();
  // It takes no new work: starting or serving to leaving.
  bool Leave();
  // It ended, with or without notice: any state to stopped.
  bool Stop();
  // What the host itself reports; a report of an earlier state is late.
  bool Report(HostState reported);

 private:
  struct Machine;
  std::unique_ptr<Machine> machine_;
};

}  // namespace toucanknot

#endif  // INCLUDE_MEMBERSHIP_HOST_LIFE_CYCLE_H_
