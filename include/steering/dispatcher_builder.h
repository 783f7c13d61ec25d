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

// How a backend server is chosen. The daemon uses kPool; the others are
// alternatives for comparison in benchmarks and tests.
enum class Policy {
  // MakeNaiveDispatcher().
  kNaive,
  // Round robin over the servers of the own region, without limits.
  kRegionRoundRobin,
  // Every host owns a fixed share of every server's slots.
  kStaticShare,
  // The less loaded of two random servers, by their load reports.
  kTwoChoices,
  // The server with the most slots left after subtracting the requests in
  // flight from this host and from its peers.
  kPeerLoad,
  // Each server has one home host, the only one that sends to it; a request
  // goes to a random server's home.
  kHoming,
  // As kHoming, but a request goes to the home with the shortest expected wait
  // by the load that the peers report.
  kHomingLeastWait,
  // A service's servers in a region are grouped into a few pools; each pool has
  // one home host with one queue for all of its slots.
  kPool,
};

inline constexpr EnumNames<Policy, 8> kPolicyNames{
    {"naive", "region-round-robin", "static-share", "two-choices", "peer-load",
     "homing", "homing-least-wait", "pool"}};

// The order in which waiting requests are started.
enum class QueueOrder {
  kFifo,
  // The newest first once the oldest has waited long.
  kLifoUnderOverload,
  kDeadline,
};

inline constexpr EnumNames<QueueOrder, 3> kQueueOrderNames{
    {"fifo", "lifo-under-overload", "deadline"}};

// Returned by SteeringHooks::usable_share for an ejected server that is due for
// a trial request.
inline constexpr double kTrialUsableShare = 0.01;

// Callbacks through which the dispatcher consults health, limits and
// quarantine. Every hook defaults to permitting.
struct SteeringHooks {
  // The share of `server`'s slots that may be used: 0 if it is ejected or
  // leaving, 1 if it is warm, below 0.05 if it is due for a single trial
  // request. Run-once requests are never used as trials.
  std::function<double(const ServerId& server, Instant now)> usable_share;
  // Whether the request may be served at all, by quarantine and work class.
  // kNone admits it.
  std::function<Refusal(const DispatchRequest& request, Instant now)> admit;
  // Called at the home host for each request that this host decides on, and not
  // where it is merely forwarded to the home. The limit on shifts is a share of
  // these requests.
  std::function<void(const DispatchRequest& request, Instant now)> on_request;
  // Whether the request may be forwarded to `region`, by the limits on links
  // and shifts. Returning kNone consumes the budget.
  std::function<Refusal(const RegionId& region,
                        const DispatchRequest& request,
                        Instant now)>
      may_forward;
  // Whether the own region may accept a request from another region. Returning
  // true consumes the budget.
  std::function<bool(const DispatchRequest& request, Instant now)>
      region_has_capacity;
};

// Composes a dispatcher for one service at one entry host.
class DispatcherBuilder {
 public:
  DispatcherBuilder& SetService(ServiceId service);
  // The own host; its zone and region come from the configuration.
  DispatcherBuilder& SetHost(HostId host);
  DispatcherBuilder& SetSeed(uint64_t seed);
  DispatcherBuilder& SetPolicy(Policy policy);
  DispatcherBuilder& SetQueueOrder(QueueOrder order);
  DispatcherBuilder& SetHooks(SteeringHooks hooks);

  // Throws Error when the service or the host is missing. Until OnConfig()
  // every request is refused with kNoServer; until OnHosts() the own host is
  // considered the only live one.
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
