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

// Limits what one entry host forwards to other regions: its share of every link
// in each direction, the share of each service's requests that may shift, and
// the order in which work classes are shed when links are short. One object
// serves all services of the host; it implements SteeringHooks::on_request and
// may_forward. Shares are static, so that the limits hold without peers and
// store. Not thread-safe.
class ForwardingGate {
 public:
  explicit ForwardingGate(HostId host) : host_(std::move(host)) {}

  // Until the first call nothing may be forwarded.
  void OnConfig(const FleetConfigPtr& config, int64_t unix_ms, Instant now);

  // SteeringHooks::on_request.
  void OnRequest(const DispatchRequest& request, Instant now);
  // SteeringHooks::may_forward. After kNone the budgets are reserved until
  // OnForwardingEnded().
  Refusal TryForward(const RegionId& region,
                     const DispatchRequest& request,
                     Instant now);
  // The forwarding of the request ended, successfully or not; `response_bytes`
  // were received. Ignores requests that the gate did not permit.
  void OnForwardingEnded(uint64_t request_id,
                         int64_t response_bytes,
                         Instant now);

  // Forwarded requests that were permitted and have not ended.
  size_t in_flight() const { return reservations_.size(); }

 private:
  struct Reservation {
    ServiceId service;
    RegionId region;
    int64_t response_bytes = 0;
  };
  struct PerService {
    std::string work_class;
    ShiftLimiter shift;
    ResponseSizeEstimate response_size;
  };

  // Shares of a link's direction for the bodies of requests sent over it, and
  // for responses to requests that used the other direction.
  static constexpr double kRequestShare = 0.25;
  static constexpr double kResponseShare = 0.75;

  const HostId host_;
  std::map<ServiceId, PerService> services_;
  std::map<RegionId, LinkLimiter> links_;
  ClassShedder classes_{{}};
  boost::unordered_flat_map<uint64_t, Reservation> reservations_;
};

}  // namespace toucanknot

#endif  // INCLUDE_STEERING_FORWARDING_GATE_H_
