#ifndef INCLUDE_STEERING_DISPATCHER_BUILDER_H_
#define INCLUDE_STEERING_DISPATCHER_BUILDER_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "include/base/clock.h"
#include "include/base/enum_names.h"
#include "include/base/ids.h"
#include "include/config/fleet_config.h"
#include "include/steering/dispatcher.h"

namespace toucanknot {

// How a backend server is chosen. kPool is what the daemon runs; the others
// are the ways it was measured against.
enum class Policy {
  // MakeNaiveDispatcher().
  kNaive,
  // Round robin over the servers of the own region, no limits.
  kRegionRoundRobin,
  // Every host owns a fixed part of every server's slots.
  kStaticShare,
  // The less loaded of two random servers, by their reports.
  kTwoChoices,
  // The slots that are left after the own requests and those of the peers.
  kPeerLoad,
  // Each server has one home host, the only one that sends to it; a request
  // goes to a random server's home.
  kHoming,
  // As kHoming, but a request goes to a home with free slots by the peers'
  // figures, or to the shortest expected wait.
  kHomingLeastWait,
  // The servers of a service in a region form few pools; each pool has one
  // home host with one queue for all of its slots.
  kPool,
};

inline constexpr EnumNames<Policy, 8> kPolicyNames{
    {"naive", "region-round-robin", "static-share", "two-choices", "peer-load",
     "homing", "homing-least-wait", "pool"}};

// The order in which waiting requests are started.
enum class QueueOrder {
  kFifo,
  // The youngest first once the oldest has waited long.
  kLifoUnderOverload,
  kDeadline,
};

inline constexpr EnumNames<QueueOrder, 3> kQueueOrderNames{
    {"fifo", "lifo-under-overload", "deadline"}};

// What SteeringHooks::usable_share says of an ejected server that is due for a
// trial.
inline constexpr double kTrialUsableShare = 0.01;

// What the dispatcher asks of its surroundings. Every hook has a default that
// permits.
struct SteeringHooks {
  // The part of `server`'s slots that may be used: 0 for one that is ejected
  // or leaves, 1 for a warm one, under 0.05 for one that is due for a single
  // trial request, which will not be one that runs once.
  std::function<double(const ServerId& server, Instant now)> usable_share;
  // Whether the request may be served at all: quarantine, class of work.
  std::function<Refusal(const DispatchRequest& request, Instant now)> admit;
  // A request whose region's part is decided here, at its home; not called
  // where it is only passed on to the home. What shifts are a share of.
  std::function<void(const DispatchRequest& request, Instant now)> on_request;
  // Whether the request may be passed to `region`, by the limits of the links
  // and of shifts. A kNone answer takes the budget.
  std::function<Refusal(const RegionId& region,
                        const DispatchRequest& request,
                        Instant now)>
      may_forward;
  // Whether the own region may take a request from another region. A true
  // answer takes the budget.
  std::function<bool(const DispatchRequest& request, Instant now)>
      region_has_capacity;
};

// Composes a dispatcher for one service at one entry host.
class DispatcherBuilder {
 public:
  DispatcherBuilder& SetService(ServiceId service);
  // The own host; its zone and region are those of the configuration.
  DispatcherBuilder& SetHost(HostId host);
  DispatcherBuilder& SetSeed(uint64_t seed);
  DispatcherBuilder& SetPolicy(Policy policy);
  DispatcherBuilder& SetQueueOrder(QueueOrder order);
  DispatcherBuilder& SetHooks(SteeringHooks hooks);

  // Throws Error when the service or the host is missing. Until OnConfig()
  // every request is refused with kNoServer; until OnHosts() the host counts
  // itself as the only live one.
  std::unique_ptr<Dispatcher> Build() const;

 private:
  ServiceId service_;
  HostId host_;
  uint64_t seed_ = 1;
  Policy policy_ = Policy::kPool;
  QueueOrder order_ = QueueOrder::kFifo;
  SteeringHooks hooks_;
};

}  // namespace toucanknot

#endif  // INCLUDE_STEERING_DISPATCHER_BUILDER_H_
