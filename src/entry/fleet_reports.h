#ifndef SRC_ENTRY_FLEET_REPORTS_H_
#define SRC_ENTRY_FLEET_REPORTS_H_

#include <cstdint>
#include <optional>

#include "include/base/clock.h"
#include "include/base/ids.h"
#include "include/health/crash_tracker.h"
#include "include/placing/peer_loads.h"
#include "include/placing/placer.h"

namespace toucanknot {

// What this host reports to the others in load sheets, and what it learns from
// theirs: loads and demands, limits of servers, requests that crash servers.
// Does no I/O. Used on one loop.
class FleetReports {
 public:
  // `placer` and `crashes` must outlive this object.
  FleetReports(const HostId& host,
               Incarnation incarnation,
               Placer& placer,
               CrashTracker& crashes);

  // The next regular sheet.
  LoadSheet MakeSheet(Instant now);
  // What the others should learn at once, if there is anything.
  std::optional<LoadSheet> MakeNotice(Instant now);
  // Handles a sheet or a notice of another host.
  void Apply(const LoadSheet& sheet, Instant now);

 private:
  // Adds the limits, what this host saw of crashes since `since`, and some of
  // the refused requests.
  void AddReports(LoadSheet& sheet, Instant since, Instant now);

  const uint64_t host_key_;
  const Incarnation incarnation_;
  Placer& placer_;
  CrashTracker& crashes_;
  uint64_t sheets_made_ = 0;
};

}  // namespace toucanknot

#endif  // SRC_ENTRY_FLEET_REPORTS_H_
