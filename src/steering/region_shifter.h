#ifndef SRC_STEERING_REGION_SHIFTER_H_
#define SRC_STEERING_REGION_SHIFTER_H_

#include <functional>
#include <optional>
#include <vector>

#include "include/base/clock.h"
#include "include/base/ids.h"
#include "include/steering/dispatcher.h"
#include "src/steering/fleet_view.h"
#include "src/steering/host_table.h"

namespace toucanknot {

// Chooses another region for requests that the own region cannot serve, or not
// as soon. The limits of links and shifts are asked last and bind.
class RegionShifter {
 public:
  using MayPassFn =
      std::function<Refusal(const RegionId&, const WorkItem&, Instant)>;

  explicit RegionShifter(MayPassFn may_pass) : may_pass_(std::move(may_pass)) {}

  struct Need {
    // The request cannot be served in time in the own region.
    bool must = false;
    // How long it would wait in the own region, in milliseconds.
    double wait_ms = 0;
  };
  struct Choice {
    // The entry host to pass to; empty when there is none.
    HostId host;
    // Why not, when a limit was the reason.
    Refusal refusal = Refusal::kNone;
  };

  Choice Choose(const FleetView& view,
                const HostTable& hosts,
                const WorkItem& item,
                const Need& need,
                Instant now);
  // `region` refused a request: leave it alone for a moment.
  void Refused(const RegionId& region, Instant now);

 private:
  struct Rest {
    RegionId region;
    Instant until;
  };

  bool Rests(const RegionId& region, Instant now) const;
  bool WorthPassing(const FleetView::Place& place,
                    const HostTable& hosts,
                    const Need& need,
                    Instant now) const;
  HostId HomeIn(const FleetView::Place& place, const WorkItem& item) const;

  MayPassFn may_pass_;
  std::vector<Rest> rests_;
};

}  // namespace toucanknot

#endif  // SRC_STEERING_REGION_SHIFTER_H_
