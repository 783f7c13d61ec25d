#ifndef INCLUDE_LIMITS_USAGE_CAPS_H_
#define INCLUDE_LIMITS_USAGE_CAPS_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "include/base/clock.h"
#include "include/base/ids.h"
#include "include/limits/usage_window.h"
#include "include/routing/route_config.h"

namespace toucanknot {

// Runs of one host's workspaces within the cap window, as other hosts learn
// them.
struct UsageReport {
  struct Row {
    // WorkspaceKey() of its id.
    uint32_t workspace = 0;
    // Requests admitted, and asked for, within the window.
    int admitted = 0;
    int offered = 0;

    bool operator==(const Row&) const = default;
  };

  uint64_t host = 0;
  Incarnation incarnation = 0;
  // Increases with each report of an incarnation.
  uint64_t sequence = 0;
  // How much of the window the host has counted; less than the window after a
  // start.
  Duration covers;
  // Workspaces without requests are left out.
  std::vector<Row> rows;

  bool operator==(const UsageReport&) const = default;
};

// Compact key of a workspace in reports.
uint32_t WorkspaceKey(const WorkspaceId& id);

// Keeps the usage caps of workspaces over all hosts: in any window, the runs of
// a workspace at all hosts together stay below its cap, while requests below it
// are admitted at whatever host they arrive.
//
// Each host counts its own runs of the window and learns those of the others
// from their reports. What the cap leaves is divided between the hosts, part of
// it by the demand that they reported and the rest evenly; a host admits only
// its part of that until the others have heard of what it admitted. So the sum
// holds although hosts decide at the same time. Demand that a host has not
// reported yet does not enlarge its part, since the others would not make room.
//
// A host that is not heard counts with its last report, or with an even part of
// the cap if that is more: both sides of a partition stay below the cap
// together. The runs that a former incarnation reported count until they have
// left the window. The host itself does not know them, so that in its first
// window it admits no more than an even part of the cap, evenly in time.
//
// Does no I/O. Not thread-safe.
class UsageCaps {
 public:
  struct Options {
    Duration window{5'000};
    // Fraction and number of requests by which the runs of a window may exceed
    // the cap. Part of each is left to reports that are lost or late.
    double over = 0.1;
    double slack = 20;
    // Identifies this host in reports.
    uint64_t host = 0;
    Incarnation incarnation = 0;
  };
  struct Admission {
    bool admitted = true;
    // If it is not: when there will be room.
    Duration retry_after;
  };
  // The figures behind a decision.
  struct Figures {
    // Runs allowed in a window; 0 means no cap.
    double allowed = 0;
    // Runs of the window that are known or assumed, of all hosts.
    double used = 0;
    // What this host may admit until the others have heard of it, and what it
    // has admitted of that.
    double part = 0;
    double unreported = 0;
    // Hosts whose reports are fresh, and all other hosts.
    int heard = 0;
    int others = 0;
  };

  // How often a host sends its report to all others.
  static constexpr Duration kReportInterval{500};
  // A host without a report for this long counts as not heard.
  // Short, because in that time both sides of a partition use the same rest;
  // two lost reports in a row cost the other hosts little.
  static constexpr Duration kFreshFor{1'200};
  // What was admitted within this time may not be known to the others yet.
  static constexpr Duration kReportDelay{600};
  // Rows of one report; the workspaces that are nearest to their caps come
  // first. Of the others, a host uses no more than its even part of the cap.
  static constexpr size_t kMaxRows = 400;

  // `now` is the start time of the host.
  UsageCaps(const Options& options, Instant now);

  void OnConfig(const RouteConfigPtr& config);
  // Sets the number of hosts, including this one.
  void SetHostCount(int n) { host_count_ = n; }

  // Decides on one run, and counts it if it is admitted.
  Admission Admit(const WorkspaceId& workspace, Instant now);
  // As Admit(), but counts nothing.
  Admission Preview(const WorkspaceId& workspace, Instant now) const;
  // Counts a run that was admitted at `admitted_at` as one of `now`: requests
  // that wait would run together with those that are admitted a window later.
  void OnRun(const WorkspaceId& workspace, Instant admitted_at, Instant now);
  // Takes back a run counted at `counted_at` that did not take place.
  void Refund(const WorkspaceId& workspace, Instant counted_at, Instant now);

  // Whether any workspace has a cap.
  bool active() const { return !caps_.empty(); }
  UsageReport MakeReport(Instant now);
  void OnReport(const UsageReport& report, Instant now);
  // Updates the sums over other hosts. Call several times a second.
  void Tick(Instant now);

  Figures FiguresOf(const WorkspaceId& workspace, Instant now) const;

 private:
  struct Cap {
    double rate = 0;
    double burst = 0;
    uint32_t key = 0;
  };
  // Runs at this host.
  struct Usage {
    UsageWindow admitted;
    UsageWindow offered;
    // Requests in the window by the last report, and by the last two, whichever
    // is less.
    int last_offered = 0;
    int reported_offered = 0;
    // Whether the last report had no room for the workspace.
    bool left_out = false;
  };
  using Rows = boost::unordered_flat_map<uint32_t, UsageReport::Row>;
  struct Peer {
    Incarnation incarnation = 0;
    uint64_t sequence = 0;
    Instant at;
    Duration covers;
    Rows rows;
    // The last report of the former incarnation, whose runs count until then.
    Rows former_rows;
    Instant former_until;
  };
  // Sums over other hosts for one workspace.
  struct Others {
    double admitted = 0;
    double offered = 0;
    // Used by hosts that are not heard, by their last reports, where that is
    // more than an even part.
    double excess_admitted = 0;
  };

  Usage& UsageOf(uint32_t key);
  bool IsFresh(const Peer& peer, Instant now) const {
    return now - peer.at <= kFreshFor;
  }
  double AllowedIn(const Cap& cap) const;
  Figures FiguresOf(const Cap& cap, Instant now) const;
  Admission Decide(const Cap& cap, Instant now) const;
  // What this host, which does not know the runs of its former incarnation, may
  // still admit in its first window; no limit later.
  double FirstWindowRest(const Cap& cap, double hosts, Instant now) const;
  // The number of requests that a part stands for in this interval: a part of
  // 0.3 is one request in 3 of 10 intervals.
  double WholePart(uint32_t key, double part, Instant now) const;

  const Options options_;
  const Instant started_at_;
  int host_count_ = 1;
  uint64_t reports_made_ = 0;
  std::map<WorkspaceId, Cap> caps_;
  boost::unordered_flat_map<uint32_t, Usage> usage_;
  boost::unordered_flat_map<uint64_t, Peer> peers_;
  boost::unordered_flat_map<uint32_t, Others> others_;
  int heard_ = 0;
  // Parts of the window that heard hosts have not counted, in hosts.
  double uncounted_ = 0;
};

}  // namespace toucanknot

#endif  // INCLUDE_LIMITS_USAGE_CAPS_H_
