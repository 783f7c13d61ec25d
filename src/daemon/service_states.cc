#include "src/daemon/service_states.h"

#include <utility>

namespace toucanknot {

ServiceStates::ServiceStates(
    HostIncarnation self,
    std::shared_ptr<SharedForwardingLimits> forwarding_limits)
    : self_(std::move(self)),
      forwarding_limits_(std::move(forwarding_limits)) {}

std::shared_ptr<ServiceState> ServiceStates::Get(const ServiceId& service) {
  const std::lock_guard lock(mutex_);
  auto& state = states_[service];
  if (!state) {
    state = std::make_shared<ServiceState>(
        service, self_.host, self_.incarnation, forwarding_limits_);
  }
  return state;
}

std::shared_ptr<ServiceState> ServiceStates::Find(
    const ServiceId& service) const {
  const std::lock_guard lock(mutex_);
  const auto it = states_.find(service);
  return it == states_.end() ? nullptr : it->second;
}

std::vector<std::shared_ptr<ServiceState>> ServiceStates::All() const {
  const std::lock_guard lock(mutex_);
  std::vector<std::shared_ptr<ServiceState>> all;
  all.reserve(states_.size());
  for (const auto& [id, state] : states_)
    all.push_back(state);
  return all;
}

}  // namespace toucanknot
