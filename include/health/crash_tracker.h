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

// Tells requests that crash the backend servers that run them by what all
// hosts have seen: a fingerprint whose connection broke at kCrashes servers
// without a whole answer in between is refused. A host tells the others of
// its charges. Servers are named by a hash. When connections to several servers
// break at once, the network or an outage is to blame, and nothing is charged.
// Does no I/O.
class CrashTracker {
 public:
  static constexpr size_t kCrashes = 2;
  // How long a charge counts.
  static constexpr Duration kMemory{60'000};
  static constexpr Duration kMassWindow{1'000};
  static constexpr size_t kMassBreak = 3;
  // Fingerprints remembered; the oldest go first.
  static constexpr size_t kMostRecords = 4'096;
  static constexpr size_t kMostTold = 32;

  // A charge of this host, for the others.
  struct Charge {
    uint64_t fingerprint = 0;
    uint32_t server = 0;
    Instant at;
  };

  // A connection that carried the request broke at `server` without an answer.
  void OnBroken(uint64_t fingerprint, uint32_t server, Instant now);
  // Another host told of a charge.
  void OnCharge(uint64_t fingerprint, uint32_t server, Instant now);
  // What this host charged since `since`, at most kMostTold of the newest.
  std::vector<Charge> OwnSince(Instant since) const;
  // The request ran whole.
  void OnAnswered(uint64_t fingerprint) { records_.erase(fingerprint); }

  bool IsCrasher(uint64_t fingerprint, Instant now);
  size_t size() const { return records_.size(); }

 private:
  struct Record {
    std::set<uint32_t> servers;
    Instant last;
  };
  struct Break {
    uint32_t server = 0;
    Instant at;
  };

  bool IsMassBreak(uint32_t server, Instant now);

  std::map<uint64_t, Record> records_;
  std::deque<Break> breaks_;
  std::deque<Charge> own_;
};

}  // namespace toucanknot

#endif  // INCLUDE_HEALTH_CRASH_TRACKER_H_
