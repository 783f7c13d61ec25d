#ifndef SRC_STEERING_REGION_SHIFTER_H_
#define SRC_STEERING_REGION_SHIFTER_H_

#include <functional>
#include <utility>
#include <vector>

#include "include/base/clock.h"
#include "include/base/ids.h"
#include "include/steering/dispatcher.h"
#include "src/steering/fleet_view.h"
#include "src/steering/host_table.h"

namespace toucanknot {

// Chooses another region for requests that the own region cannot serve, or
// would serve later. The number of requests in flight to a region is bounded by
// a window that grows with its responses and shrinks with its refusals. Thus it
// tracks the free capacity of the region without load reports, which would be
// outdated on arrival. The limits on links and shifts are checked last and
// always hold.
class RegionShifter {
 public:
  using MayForwardFn =
      std::function<Refusal(const RegionId&, const DispatchRequest&, Instant)>;

  explicit RegionShifter(MayForwardFn may_forward)
      : may_forward_(std::move(may_forward)) {}

  struct Need {
    // The request cannot be served in time in the own region.
    bool must = false;
    // The expected wait in the own region, in milliseconds.
    double wait_ms = 0;
    // Mean response time, in milliseconds.
    double mean_ms = 0;
  };
  struct Choice {
    // The entry host to forward to; empty when there is none.
    HostId host;
    // The refusal of the last limit that prevented forwarding.
    Refusal refusal = Refusal::kNone;
  };
  // The window of requests in flight to one region.
  struct Window {
    RegionId region;
    double size = 0;
    int in_flight = 0;
    Instant shrunk_at;
  };

  // If the choice names a host, the request counts as in flight until
  // OnEnded().
  Choice Choose(const FleetView& view,
                const HostTable& hosts,
                const DispatchRequest& request,
                const Need& need,
                Instant now);
  // A request that was forwarded to `region` has ended.
  void OnEnded(const RegionId& region, AttemptEnd end, Instant now);

  const std::vector<Window>& windows() const { return windows_; }

 private:
  Window& WindowOf(const RegionId& region);
  bool IsWorthForwarding(const FleetView::RegionView& region,
                         const HostTable& hosts,
                         const Need& need,
                         Instant now) const;
  HostId HomeHostIn(const FleetView::RegionView& region,
                    const DispatchRequest& request) const;

  MayForwardFn may_forward_;
  std::vector<Window> windows_;
};

}  // namespace toucanknot

#endif  // SRC_STEERING_REGION_SHIFTER_H_
