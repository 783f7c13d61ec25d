#include "include/steering/dispatcher_builder.h"

#include <utility>

#include "include/base/error.h"
#include "include/steering/naive_dispatcher.h"
#include "src/steering/steering_dispatcher.h"

namespace toucanknot {
namespace {

SteeringHooks WithDefaults(SteeringHooks hooks) {
  if (!hooks.usable_share)
    hooks.usable_share = [](const ServerId&, Instant) { return 1.0; };
  if (!hooks.admit)
    hooks.admit = [](const DispatchRequest&, Instant) {
      return Refusal::kNone;
    };
  if (!hooks.on_request)
    hooks.on_request = [](const DispatchRequest&, Instant) {};
  if (!hooks.may_forward) {
    hooks.may_forward = [](const RegionId&, const DispatchRequest&, Instant) {
      return Refusal::kNone;
    };
  }
  if (!hooks.region_has_capacity)
    hooks.region_has_capacity = [](const DispatchRequest&, Instant) {
      return true;
    };
  return hooks;
}

}  // namespace

DispatcherBuilder& DispatcherBuilder::SetService(ServiceId service) {
  service_ = std::move(service);
  return *this;
}

DispatcherBuilder& DispatcherBuilder::SetHost(HostId host) {
  host_ = std::move(host);
  return *this;
}

DispatcherBuilder& DispatcherBuilder::SetSeed(uint64_t seed) {
  seed_ = seed;
  return *this;
}

DispatcherBuilder& DispatcherBuilder::SetPolicy(Policy policy) {
  policy_ = policy;
  return *this;
}

DispatcherBuilder& DispatcherBuilder::SetQueueOrder(QueueOrder order) {
  order_ = order;
  return *this;
}

DispatcherBuilder& DispatcherBuilder::SetHooks(SteeringHooks hooks) {
  hooks_ = std::move(hooks);
  return *this;
}

std::unique_ptr<Dispatcher> DispatcherBuilder::Build() const {
  if (service_.empty())
    throw Error("no service was set for the dispatcher");
  if (host_.empty())
    throw Error("no host was set for the dispatcher");
  if (policy_ == Policy::kNaive)
    return MakeNaiveDispatcher(service_, host_);
  return std::make_unique<SteeringDispatcher>(
      SteeringDispatcher::Parts{.service = service_,
                                .own = host_,
                                .seed = seed_,
                                .policy = policy_,
                                .order = order_,
                                .hooks = WithDefaults(hooks_)});
}

}  // namespace toucanknot
