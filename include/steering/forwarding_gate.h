#ifndef INCLUDE_STEERING_FORWARDING_GATE_H_
#define INCLUDE_STEERING_FORWARDING_GATE_H_

#include <cstdint>
#include <map>
#include <string>

#include <boost/unordered/unordered_flat_map.hpp>

#include "include/base/clock.h"
#include "include/base/ids.h"
#include "include/config/fleet_config.h"
#include "include/limits/class_shedder.h"
#include "include/limits/link_limiter.h"
#include "include/limits/shift_limiter.h"
#include "include/steering/dispatcher.h"

namespace toucanknot {

// What one entry host may pass to other regions: its share of every link, each
// way, the share of each service that may shift, and which classes of work
// lose the links first. One object for all services of the host; it backs
// SteeringHooks::on_request and may_forward. Shares are static, so that they
// hold without peers and store. Not thread-safe.
class ForwardingGate {
 public:
  explicit ForwardingGate(HostId host) : host_(std::move(host)) {}

  // Until then nothing may pass.
  void OnConfig(const FleetConfigPtr& config, int64_t unix_ms, Instant now);

  // SteeringHooks::on_request.
  void OnRequest(const DispatchRequest& request, Instant now);
  // SteeringHooks::may_forward. After kNone the budgets are held until
  // OnForwardingEnded().
  Refusal TryForward(const RegionId& region,
                     const DispatchRequest& request,
                     Instant now);
  // The pass of the request ended, whichever way; `response_bytes` came back.
  // Ignores items that were not passed through the gate.
  void OnForwardingEnded(uint64_t request_id,
                         int64_t response_bytes,
                         Instant now);

  // Passes that were permitted and have not ended.
  size_t under_way() const { return held_.size(); }

 private:
  struct Held {
    ServiceId service;
    RegionId region;
    int64_t response_bytes = 0;
  };
  struct PerService {
    std::string work_class;
    ShiftLimiter shift;
    ResponseSizeEstimate answer;
  };

  // Parts of a link's direction for bodies that leave over it, and for answers
  // to requests that came over the other direction.
  static constexpr double kBodiesPart = 0.25;
  static constexpr double kAnswersPart = 0.75;

  const HostId host_;
  std::map<ServiceId, PerService> services_;
  std::map<RegionId, LinkLimiter> links_;
  ClassShedder classes_{{}};
  boost::unordered_flat_map<uint64_t, Held> held_;
};

}  // namespace toucanknot

#endif  // INCLUDE_STEERING_FORWARDING_GATE_H_
