#ifndef INCLUDE_HEALTH_CRASH_TRACKER_H_
#define INCLUDE_HEALTH_CRASH_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "include/base/clock.h"
#include "include/health/known_good_set.h"

namespace toucanknot {

// Detects requests that crash the backend servers that run them, from what all
// hosts have seen: a fingerprint is refused once its connection broke at
// kMinCrashedServers servers without a complete response since. One more server
// is required if a crash has an excuse: connections to several servers broke at
// about the same time, so that the network or an outage may be the cause, or
// the request had completed shortly before. Servers are identified by a hash of
// their id and incarnation. Does no I/O. Not thread-safe.
class CrashTracker {
 public:
  static constexpr size_t kMinCrashedServers = 2;
  // How long a recorded crash counts.
  static constexpr Duration kCrashLifetime{60'000};
  // How long a fingerprint is refused. For the same time after that, a single
  // further crash has it refused again.
  static constexpr Duration kRefuseFor{300'000};
  static constexpr Duration kMassBreakWindow{1'000};
  static constexpr size_t kMassBreakServers = 3;
  // Fingerprints remembered, of either kind; the one without a crash for
  // longest is evicted first.
  static constexpr size_t kMaxRecords = 4'096;
  static constexpr size_t kMaxOwnReports = 32;

  // A connection broke at `server` while it carried the request.
  struct Crash {
    uint64_t fingerprint = 0;
    uint32_t server = 0;
    Instant at;
    bool excused = false;
  };
  // The request completed at that time, or has been refused since then.
  struct Verdict {
    uint64_t fingerprint = 0;
    Instant at;
  };

  // A connection that carried the request broke at `server` without a response.
  // Returns the recorded crash.
  Crash OnBroken(uint64_t fingerprint, uint32_t server, Instant now);
  // The request completed with a whole response: its crashes up to now do not
  // count, and it is no longer refused.
  void OnCompleted(uint64_t fingerprint, Instant now);

  // Record what another host reported. Repeats and late reports change nothing.
  void RecordCrash(const Crash& crash, Instant now);
  void RecordCompleted(const Verdict& completed);
  void RecordRefused(const Verdict& refused, Instant now);

  // Whether the request is refused now.
  bool IsCrasher(uint64_t fingerprint, Instant now) const;
  // How long the request is still refused.
  Duration RefusedFor(uint64_t fingerprint, Instant now) const;
  // Number of servers that crashed under the request so far.
  size_t CrashedServers(uint64_t fingerprint) const;

  // What this host has seen itself since `since`, at most the newest
  // kMaxOwnReports of each kind, to be reported to the others. Completed
  // requests are reported only if they were suspected.
  std::vector<Crash> OwnCrashesSince(Instant since) const;
  std::vector<Verdict> OwnCompletedSince(Instant since) const;
  // Up to `n` of the refused fingerprints, others at each call, whichever host
  // found them: a host that has just started knows none.
  std::vector<Verdict> NextRefused(size_t n, Instant now);
  // Whether this host found something since the last call that the others
  // should learn at once.
  bool TakeNews();

  size_t size() const { return suspects_.size() + refused_.size(); }

 private:
  struct ServerCrash {
    Instant at;
    bool excused = false;
  };
  struct Suspect {
    // By server.
    std::map<uint32_t, ServerCrash> crashes;
    Instant last;
    // Crashes up to then do not count.
    Instant completed_at;
  };
  struct BrokenConnection {
    uint32_t server = 0;
    Instant at;
  };

  bool IsMassBreak(uint32_t server, Instant now);
  Suspect& SuspectOf(uint64_t fingerprint);
  void Refuse(uint64_t fingerprint, Instant since);
  // Reports to the other hosts that the request completed, unless they were
  // told of a completion after `crashed_at`.
  void ReportCompleted(const Verdict& completed, Instant crashed_at);

  std::map<uint64_t, Suspect> suspects_;
  // Refused fingerprints, with the time when that began.
  std::map<uint64_t, Instant> refused_;
  KnownGoodSet known_good_;
  std::deque<BrokenConnection> broken_;
  std::deque<Crash> own_crashes_;
  std::deque<Verdict> own_completed_;
  // The last fingerprint that NextRefused() returned.
  uint64_t last_reported_ = 0;
  bool news_ = false;
};

}  // namespace toucanknot

#endif  // INCLUDE_HEALTH_CRASH_TRACKER_H_
