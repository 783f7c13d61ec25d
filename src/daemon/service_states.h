#ifndef SRC_DAEMON_SERVICE_STATES_H_
#define SRC_DAEMON_SERVICE_STATES_H_

#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "include/once/ticket.h"
#include "src/daemon/service_state.h"

namespace toucanknot {

// The states of all services that this host has seen. Thread-safe; its lock is
// not held while a state is used.
class ServiceStates {
 public:
  ServiceStates(HostIncarnation self,
                std::shared_ptr<SharedForwardingLimits> forwarding_limits);

  // The state of `service`, created if there is none yet.
  std::shared_ptr<ServiceState> Get(const ServiceId& service);
  // The state of `service`, or null.
  std::shared_ptr<ServiceState> Find(const ServiceId& service) const;
  std::vector<std::shared_ptr<ServiceState>> All() const;

 private:
  const HostIncarnation self_;
  const std::shared_ptr<SharedForwardingLimits> forwarding_limits_;
  mutable std::mutex mutex_;
  std::map<ServiceId, std::shared_ptr<ServiceState>> states_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_SERVICE_STATES_H_
