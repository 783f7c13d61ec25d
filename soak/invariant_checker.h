#ifndef SOAK_INVARIANT_CHECKER_H_
#define SOAK_INVARIANT_CHECKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "include/base/clock.h"
#include "include/base/enum_names.h"

namespace toucanknot::soak {

// An invariant that was violated.
enum class InvariantViolation {
  // A non-idempotent request ran more than once.
  kRanTwice,
  // A request ran although the caller got a response saying that it hadn't run.
  kRejectedButRan,
  // A successful response that is not the complete response of a server to this
  // request.
  kWrongResponse,
  // A server ran a request that no caller sent, or one whose content differs
  // from what was sent under its id.
  kUnknownRequest,
  // A planned stop of a host cut off a request that had reached a server.
  kCutOffByStop,
  // A request reached a server that had been draining, or whose zone had been
  // evacuated, for longer than the limit.
  kSentToDrainedServer,
  // Requests reached servers long after their callers had disconnected.
  kSentAfterDisconnect,
  // A host used a configuration that was no longer in force, or rejected a
  // request that the configuration allows.
  kStaleConfig,
  // A service received more retries than its retry budget allows.
  kOverBudget,
  // A host exited unasked, or didn't exit within its grace period.
  kHostExited,
  // The fleet didn't serve normally again after all faults had ended.
  kNotRecovered,
  // A server got more requests than the limit that it had named.
  kOverLimit,
  // A server got requests from a host that it had asked for a pause.
  kSentInPause,
  // A request that crashes servers was sent to servers although that was known.
  kCrashedTooMany,
  // Requests ran on more servers than the attempts of their route.
  kTooManyAttempts,
};

inline constexpr EnumNames<InvariantViolation, 15> kInvariantViolationNames{
    {"ran-twice", "refused-and-ran", "wrong-answer", "unasked", "cut-by-stop",
     "sent-to-leaver", "sent-after-left", "old-config", "over-budget",
     "host-ended", "not-recovered", "over-limit", "sent-in-pause",
     "crashed-too-many", "too-many-attempts"}};

// Records every request of a run, what the caller sent and what response it
// got, how often it reached a server and how often it ran, and finds violations
// of the invariants. Used on one loop only.
class InvariantChecker {
 public:
  // The limit on retries: in any window, `ratio` of a service's requests plus
  // `slack`.
  struct Budget {
    double ratio = 0.2;
    int slack = 30;
    Duration window{10'000};
  };
  // Attempts of the routes of idempotent requests; others have one.
  static constexpr int kAttempts = 2;
  // Requests of a run that may run on more servers than that.
  static constexpr size_t kMaxOverAttempts = 3;

  // An event in the life of a request: "sent", "arrived", "ran", "rejected" (by
  // the host) or the status of the response, and the server or host.
  struct Event {
    std::string what;
    std::string place;
    Instant time;
  };

  explicit InvariantChecker(Budget budget) : budget_(budget) {}

  // A caller sends a request to `host`. `digest` covers everything that a
  // server must receive unchanged.
  void OnSent(const std::string& id,
              const std::string& service,
              bool idempotent,
              const std::string& host,
              uint64_t digest,
              Instant now);
  // The request reached a server, which may still reject it.
  void OnArrived(const std::string& id, const std::string& server, Instant now);
  // A server begins to run the request.
  void OnRun(const std::string& id,
             uint64_t digest,
             const std::string& server,
             Instant now);
  // A server process rejected the request, or breaks its response off, by its
  // own ledger.
  void OnRejectedByServer(const std::string& id,
                          const std::string& server,
                          Instant now);
  void OnBrokenOff(const std::string& id,
                   const std::string& server,
                   Instant now);
  // After a server's early response, the rest of the body arrived.
  void OnLateBody(const std::string& id, uint64_t digest);
  // A server ended or was cut off, so that its runs don't count as attempts.
  void OnServerLost(const std::string& server, Instant now);
  // The caller got a response saying that the request didn't run and never
  // will.
  void OnRejected(const std::string& id, Instant now);
  // The caller got a response with this status; 0 if its connection ended.
  void OnResponse(const std::string& id, int status, Instant now);

  // The caller closed its connection before it got a response.
  void OnDisconnected(const std::string& id, Instant now);
  // The request reached a server `late` after the caller had disconnected,
  // though the host had had time to notice that. Few of these are allowed in a
  // run, because a request may just have been sent.
  void OnSentAfterDisconnect(const std::string& id, Duration late);

  // When the caller disconnected, if it did.
  std::optional<Instant> DisconnectedAt(const std::string& id) const;
  // Whether the request reached any server.
  bool HasArrived(const std::string& id) const;
  // The host that the caller sent it to; empty for an unknown request.
  std::string HostOf(const std::string& id) const;

  // Adds a violation that was found elsewhere, by the request `id` if it
  // concerns one.
  void Report(InvariantViolation violation,
              const std::string& what,
              const std::string& id = {});
  // Runs the checks that need the whole run. Call once, after all requests have
  // ended.
  void Finish();

  struct Counts {
    int sent = 0;
    int runs = 0;
    int rejected = 0;
  };
  const Counts& counts() const { return counts_; }
  const std::vector<std::string>& violations() const { return violations_; }
  const std::map<InvariantViolation, int>& violation_counts() const {
    return violation_counts_;
  }
  // The requests that violated an invariant, and what is recorded of them.
  const std::set<std::string>& violating_requests() const {
    return violating_requests_;
  }
  std::vector<Event> EventsOf(const std::string& id) const;

 private:
  struct Request {
    std::string service;
    bool idempotent = true;
    std::string host;
    uint64_t digest = 0;
    Instant sent_at;
    int arrivals = 0;
    int runs = 0;
    bool rejected = false;
    std::optional<Instant> disconnected_at;
    std::vector<Event> events;
  };
  // Times of one service's requests, and of the arrivals after the first of
  // each.
  struct Service {
    std::vector<Instant> sent;
    std::vector<Instant> retries;
  };

  // Whether the server was lost while the request that it ran at that time may
  // have been in progress.
  bool LostAfter(const std::string& server, Instant run_at) const;
  // Adds an event of the request, if it is known.
  void AddEvent(const std::string& id, Event event);
  void CheckAttempts();
  void CheckBudget(const std::string& name, const Service& service);

  const Budget budget_;
  std::unordered_map<std::string, Request> requests_;
  std::map<std::string, Service> services_;
  Counts counts_;
  std::vector<std::string> sent_after_disconnect_;
  // When each server was lost.
  std::map<std::string, std::vector<Instant>> lost_;
  std::vector<std::string> violations_;
  std::map<InvariantViolation, int> violation_counts_;
  std::set<std::string> violating_requests_;
};

}  // namespace toucanknot::soak

#endif  // SOAK_INVARIANT_CHECKER_H_
