#ifndef SRC_DAEMON_SHARED_FORWARDING_LIMITS_H_
#define SRC_DAEMON_SHARED_FORWARDING_LIMITS_H_

#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "include/limits/forwarding_limits.h"
#include "include/steering/dispatcher.h"

namespace toucanknot {

// The host's limits on what it passes to other regions, shared by its services
// and workers. Its lock may be taken while a SharedDispatcher's is held.
class SharedForwardingLimits {
 public:
  SharedForwardingLimits(HostId host, Incarnation incarnation, Instant now);

  void OnConfig(const FleetConfigPtr& config, int64_t unix_ms, Instant now);
  // The regions that have a serving host, by what is known here.
  void OnLiveRegions(const std::vector<RegionId>& live, Instant now);
  void Advance(Instant now);

  // A request of `service` arrived, wherever it will go.
  void OnRequest(const ServiceId& service, Instant now);
  // Whether `item` may be passed to `region`; takes what it needs if so.
  Refusal MayForward(const RegionId& region,
                     const DispatchRequest& item,
                     Instant now);
  // An attempt ended; gives back what was not used if it was a passing.
  void OnEnded(const ServiceId& service,
               const AttemptResult& result,
               Instant now);

  std::string Explain(Instant now);

 private:
  struct Passing {
    RegionId region;
    ForwardingPermit permit;
  };

  std::mutex mutex_;
  ForwardingLimits limits_;
  std::vector<RegionId> regions_;
  std::unordered_map<uint64_t, Passing> under_way_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_SHARED_FORWARDING_LIMITS_H_
