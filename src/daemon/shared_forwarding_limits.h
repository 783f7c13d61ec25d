#ifndef SRC_DAEMON_SHARED_FORWARDING_LIMITS_H_
#define SRC_DAEMON_SHARED_FORWARDING_LIMITS_H_

#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "include/limits/forwarding_limits.h"
#include "include/steering/dispatcher.h"

namespace toucanknot {

// The host's limits on forwarding to other regions, shared by its services and
// workers. Thread-safe; its lock may be taken while a SharedDispatcher's lock
// is held.
class SharedForwardingLimits {
 public:
  SharedForwardingLimits(HostId host, Incarnation incarnation, Instant now);

  void OnConfig(const FleetConfigPtr& config, int64_t unix_ms, Instant now);
  // Updates the regions that have a serving host, in this host's view.
  void OnLiveRegions(const std::vector<RegionId>& live, Instant now);
  void Advance(Instant now);

  // Counts an incoming request of `service`, regardless of where it is sent.
  void OnRequest(const ServiceId& service, Instant now);
  // Whether `item` may be forwarded to `region`, kNone if so; then the capacity
  // it needs is reserved until OnEnded().
  Refusal MayForward(const RegionId& region,
                     const DispatchRequest& item,
                     Instant now);
  // An attempt ended. If it was forwarded, releases what it had reserved and
  // did not use.
  void OnEnded(const ServiceId& service,
               const AttemptResult& result,
               Instant now);

  std::string Explain(Instant now);

 private:
  struct InProgress {
    RegionId region;
    ForwardingPermit permit;
  };

  std::mutex mutex_;
  ForwardingLimits limits_;
  std::vector<RegionId> regions_;
  std::unordered_map<uint64_t, InProgress> in_progress_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_SHARED_FORWARDING_LIMITS_H_
