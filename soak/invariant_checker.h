#ifndef SOAK_INVARIANT_CHECKER_H_
#define SOAK_INVARIANT_CHECKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "include/base/clock.h"
#include "include/base/enum_names.h"

namespace toucanknot::soak {

// A promise that was broken.
enum class InvariantViolation {
  // A non-idempotent request ran more than once.
  kRanTwice,
  // A request that the caller was told had not run ran.
  kRefusedAndRan,
  // A success that is not the whole answer of a server to this request.
  kWrongAnswer,
  // A server ran what no caller sent, or something else under its id.
  kUnasked,
  // A request that had reached a server was cut by a planned stop.
  kCutByStop,
  // A request reached a server that had left, or was in an evacuated zone.
  kSentToLeaver,
  // Requests reached servers long after their callers had left.
  kSentAfterLeft,
  // A host acted by a configuration that was no longer in force, or turned
  // away what it allows.
  kOldConfig,
  // A service got more retries than its budget.
  kOverBudget,
  // A host ended by itself, or did not end in time.
  kHostEnded,
  // The fleet did not serve again after all faults had ended.
  kNotRecovered,
};

inline constexpr EnumNames<InvariantViolation, 11> kInvariantViolationNames{
    {"ran-twice", "refused-and-ran", "wrong-answer", "unasked", "cut-by-stop",
     "sent-to-leaver", "sent-after-left", "old-config", "over-budget",
     "host-ended", "not-recovered"}};

// What is known of every request: what the caller sent and was told, and which
// servers it reached and ran at. Finds broken promises. Used on one loop only.
class InvariantChecker {
 public:
  // The bound on retries: a part of a service's requests in any window, and a
  // number beside.
  struct Budget {
    double ratio = 0.2;
    int slack = 30;
    Duration window{10'000};
  };

  explicit InvariantChecker(Budget budget) : budget_(budget) {}

  // A caller sends a request to `host`. `digest` is of all that a server must
  // see of it.
  void OnSent(const std::string& id,
              const std::string& service,
              bool idempotent,
              const std::string& host,
              uint64_t digest,
              Instant now);
  // It reached a server, which may still refuse it.
  void OnArrived(const std::string& id, Instant now);
  // A server begins to run it.
  void OnRun(const std::string& id, uint64_t digest);
  // The caller was told that it did not run and never will.
  void OnRefused(const std::string& id);

  // The caller closed its connection without an answer.
  void OnLeft(const std::string& id, Instant now);
  // It reached a server from a host that had time to notice that: `late` after
  // the caller had left. A few in a run may cross.
  void OnSentAfterLeft(const std::string& id, Duration late);

  // When the caller left, if it did.
  std::optional<Instant> LeftAt(const std::string& id) const;
  // Whether it reached any server, and which host took it.
  bool HasArrived(const std::string& id) const;
  std::string HostOf(const std::string& id) const;

  // Notes a breach found elsewhere.
  void Report(InvariantViolation breach, const std::string& what);
  // Call once, when all requests have ended: finds what only the whole shows.
  void Finish();

  struct Counts {
    int sent = 0;
    int runs = 0;
    int refused = 0;
  };
  const Counts& counts() const { return counts_; }
  const std::vector<std::string>& breaches() const { return breaches_; }

 private:
  struct Request {
    std::string service;
    bool idempotent = true;
    std::string host;
    uint64_t digest = 0;
    Instant sent_at;
    int arrivals = 0;
    int runs = 0;
    bool refused = false;
    std::optional<Instant> left_at;
  };
  // Times of one service's requests, and of arrivals beyond their first.
  struct Service {
    std::vector<Instant> sent;
    std::vector<Instant> repeats;
  };

  void CheckBudget(const std::string& name, const Service& service);

  const Budget budget_;
  std::unordered_map<std::string, Request> requests_;
  std::map<std::string, Service> services_;
  Counts counts_;
  std::vector<std::string> after_left_;
  std::vector<std::string> breaches_;
};

}  // namespace toucanknot::soak

#endif  // SOAK_INVARIANT_CHECKER_H_
