#ifndef INCLUDE_PLACING_PEER_LOADS_H_
#define INCLUDE_PLACING_PEER_LOADS_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <optional>
#include <vector>

#include "include/base/clock.h"
#include "include/base/ids.h"

namespace toucanknot {

// Number of requests that one host has in flight at each backend server.
struct LoadSheet {
  static constexpr uint64_t kNoticeSequence = 0;

  struct Row {
    // ServerKey() of its id.
    uint32_t server = 0;
    int requests = 0;

    bool operator==(const Row&) const = default;
  };
  // A connection to a server broke while it carried a request.
  struct Crash {
    uint64_t fingerprint = 0;
    // Its ServerRunKey().
    uint32_t server = 0;
    // How long ago, when the sheet was sent.
    Duration age;
    // As in CrashTracker.
    bool excused = false;

    bool operator==(const Crash&) const = default;
  };
  // A request that completed, or that has been refused since then.
  struct RequestReport {
    uint64_t fingerprint = 0;
    // How long ago, when the sheet was sent.
    Duration age;

    bool operator==(const RequestReport&) const = default;
  };
  // A server (its ServerRunKey()) named a limit, or none any more.
  struct Limit {
    uint32_t server = 0;
    std::optional<double> limit;
    // How long ago, when the sheet was sent.
    Duration age;

    bool operator==(const Limit&) const = default;
  };
  // Requests of a workspace (its WorkspaceKey()) within the window of its cap.
  struct Usage {
    uint32_t workspace = 0;
    int admitted = 0;
    int offered = 0;

    bool operator==(const Usage&) const = default;
  };
  // Slots of a service (its ServiceKey()) that the host's own callers need on
  // average.
  struct Demand {
    uint32_t service = 0;
    double slots = 0;

    bool operator==(const Demand&) const = default;
  };

  // Hash of the host's id, its incarnation, and the sequence number of the
  // sheet. A sheet with kNoticeSequence has no loads, only what is urgent.
  uint64_t host = 0;
  Incarnation incarnation = 0;
  uint64_t sequence = 0;
  std::vector<Row> rows;
  // Crashes of the last seconds: repeated, so that a lost datagram loses none.
  std::vector<Crash> crashes;
  std::vector<Demand> demands;
  // Suspected requests that completed, and refused ones.
  std::vector<RequestReport> completed;
  std::vector<RequestReport> refused;
  std::vector<Limit> limits;
  // A report of all usages, if `usage_sequence` is not 0; see UsageReport.
  uint64_t usage_sequence = 0;
  Duration usage_covers;
  std::vector<Usage> usages;

  bool operator==(const LoadSheet&) const = default;
};

// Compact key of a server in load sheets. Two servers may collide; the counts
// of both then apply to each.
uint32_t ServerKey(const ServerId& id);
// As ServerKey(), but different for each incarnation.
uint32_t ServerRunKey(const ServerId& id, Incarnation incarnation);
uint64_t HostKey(const HostId& id);
// Compact key of a service in load sheets.
uint32_t ServiceKey(const ServiceId& id);

// Sums the latest load sheets of the other hosts. Does no I/O. Not thread-safe.
class PeerLoads {
 public:
  // Sheets arrive several times a second; an older one is no longer used.
  static constexpr Duration kFreshFor{1'200};

  // Ignores sheets older than the host's latest one, and for kFreshFor after
  // its latest sheet also those of a lower incarnation.
  void OnLoadSheet(const LoadSheet& sheet, Instant now);
  // Drops sheets that are no longer fresh. Call several times a second.
  void Expire(Instant now);

  // Requests of the other hosts at a server, according to fresh sheets.
  int InFlight(uint32_t server) const;
  // Hosts with a fresh sheet.
  int fresh_hosts() const { return fresh_hosts_; }

 private:
  struct Host {
    Incarnation incarnation = 0;
    uint64_t sequence = 0;
    Instant at;
    bool fresh = false;
    std::vector<LoadSheet::Row> rows;
  };

  void AddToTotals(const std::vector<LoadSheet::Row>& rows, int sign);
  void DropRows(Host& host);

  boost::unordered_flat_map<uint64_t, Host> hosts_;
  boost::unordered_flat_map<uint32_t, int> totals_;
  int fresh_hosts_ = 0;
};

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_PEER_LOADS_H_
