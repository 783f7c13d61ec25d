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

// Chooses another region for requests that the own region cannot serve, or not
// as soon. How much may be under way to a region at once is a window that
// grows with its answers and shrinks with its refusals, so that it follows
// what the region has free without figures that would be old on arrival. The
// limits of links and shifts are asked last and bind.
class RegionShifter {
 public:
  using MayForwardFn =
      std::function<Refusal(const RegionId&, const DispatchRequest&, Instant)>;

  explicit RegionShifter(MayForwardFn may_forward)
      : may_pass_(std::move(may_forward)) {}

  struct Need {
    // The request cannot be served in time in the own region.
    bool must = false;
    // How long it would wait in the own region, in milliseconds.
    double wait_ms = 0;
    // Mean time of an answer, in milliseconds.
    double mean_ms = 0;
  };
  struct Choice {
    // The entry host to pass to; empty when there is none.
    HostId host;
    // Why not, when a limit was the reason.
    Refusal refusal = Refusal::kNone;
  };
  // Requests under way to another region.
  struct Window {
    RegionId region;
    double size = 0;
    int under_way = 0;
    Instant shrunk_at;
  };

  // Counts the request as under way when it names a host.
  Choice Choose(const FleetView& view,
                const HostTable& hosts,
                const DispatchRequest& request,
                const Need& need,
                Instant now);
  // A request that was under way to `region` has ended.
  void Ended(const RegionId& region, AttemptEnd end, Instant now);

  const std::vector<Window>& windows() const { return windows_; }

 private:
  Window& WindowOf(const RegionId& region);
  bool WorthPassing(const FleetView::Place& place,
                    const HostTable& hosts,
                    const Need& need,
                    Instant now) const;
  HostId HomeIn(const FleetView::Place& place,
                const DispatchRequest& request) const;

  MayForwardFn may_pass_;
  std::vector<Window> windows_;
};

}  // namespace toucanknot

#endif  // SRC_STEERING_REGION_SHIFTER_H_
