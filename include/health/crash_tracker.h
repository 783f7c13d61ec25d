#ifndef INCLUDE_HEALTH_CRASH_TRACKER_H_
#define INCLUDE_HEALTH_CRASH_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

#include "include/base/clock.h"

namespace toucanknot {

// Detects requests that crash the backend servers that run them, from the
// crashes that all hosts have reported: a fingerprint is rejected once its
// connection broke at kMinCrashedServers servers without a complete response in
// between. A host reports its crashes to the others. Servers are identified by
// a hash. When connections to several servers break at about the same time, the
// network or an outage is the likely cause, and nothing is recorded. Does no
// I/O.
class CrashTracker {
 public:
  static constexpr size_t kMinCrashedServers = 2;
  // How long a recorded crash counts.
  static constexpr Duration kCrashLifetime{60'000};
  static constexpr Duration kMassBreakWindow{1'000};
  static constexpr size_t kMassBreakServers = 3;
  // Fingerprints remembered; the one without a crash for longest is evicted
  // first.
  static constexpr size_t kMaxRecords = 4'096;
  static constexpr size_t kMaxOwnReports = 32;

  // A crash seen by this host, to be reported to the others.
  struct CrashReport {
    uint64_t fingerprint = 0;
    uint32_t server = 0;
    Instant at;
  };

  // A connection that carried the request broke at `server` without a response.
  // Returns whether a crash was recorded.
  bool OnBroken(uint64_t fingerprint, uint32_t server, Instant now);
  // Records a crash that another host reported.
  void RecordCrash(uint64_t fingerprint, uint32_t server, Instant now);
  // The crashes that this host has seen since `since`, at most the newest
  // kMaxOwnReports of them.
  std::vector<CrashReport> OwnCrashesSince(Instant since) const;
  // The request completed with a whole response: forgets its crashes.
  void OnCompleted(uint64_t fingerprint) { records_.erase(fingerprint); }

  bool IsCrasher(uint64_t fingerprint, Instant now);
  // Number of servers that crashed under the request so far.
  size_t CrashedServers(uint64_t fingerprint) const;
  size_t size() const { return records_.size(); }

 private:
  struct Record {
    std::set<uint32_t> servers;
    Instant last;
  };
  struct BrokenConnection {
    uint32_t server = 0;
    Instant at;
  };

  bool IsMassBreak(uint32_t server, Instant now);

  std::map<uint64_t, Record> records_;
  std::deque<BrokenConnection> broken_;
  std::deque<CrashReport> own_crashes_;
};

}  // namespace toucanknot

#endif  // INCLUDE_HEALTH_CRASH_TRACKER_H_
