#ifndef INCLUDE_HEALTH_CRASH_LEDGER_H_
#define INCLUDE_HEALTH_CRASH_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>

#include "include/base/clock.h"
#include "include/base/ids.h"

namespace toucanknot {

// Tells requests that crash the backend servers that run them by what all
// hosts have seen: a fingerprint whose connection broke at kCrashes servers
// without a whole answer in between is refused. A host tells the others of
// each charge. When connections to several servers break at once, the network
// or an outage is to blame, and nothing is charged. Does no I/O.
class CrashLedger {
 public:
  static constexpr size_t kCrashes = 2;
  // How long a charge counts.
  static constexpr Duration kMemory{60'000};
  static constexpr Duration kMassWindow{1'000};
  static constexpr size_t kMassBreak = 3;
  // Fingerprints remembered; the oldest go first.
  static constexpr size_t kMostRecords = 4'096;

  // A connection that carried the request broke at `server` without an answer.
  // Returns whether the other hosts should be told.
  bool OnBroken(uint64_t fingerprint, const ServerId& server, Instant now);
  // Another host (or this one) told of a charge.
  void OnCharge(uint64_t fingerprint, const ServerId& server, Instant now);
  // The request ran whole.
  void OnAnswered(uint64_t fingerprint) { records_.erase(fingerprint); }

  bool IsCrasher(uint64_t fingerprint, Instant now);
  size_t size() const { return records_.size(); }

 private:
  struct Record {
    std::set<ServerId> servers;
    Instant last;
  };
  struct Break {
    ServerId server;
    Instant at;
  };

  bool IsMassBreak(const ServerId& server, Instant now);

  std::map<uint64_t, Record> records_;
  std::deque<Break> breaks_;
};

}  // namespace toucanknot

#endif  // INCLUDE_HEALTH_CRASH_LEDGER_H_
