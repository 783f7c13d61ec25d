#ifndef INCLUDE_STEERING_DISPATCHER_H_
#define INCLUDE_STEERING_DISPATCHER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "include/base/clock.h"
#include "include/base/enum_names.h"
#include "include/base/ids.h"
#include "include/config/fleet_config.h"

namespace toucanknot {

// Why a request was refused. All of these mean "not run".
enum class Refusal {
  kNone,
  // It cannot be answered within its deadline.
  kDeadline,
  // The service's queue at this host is full.
  kQueueFull,
  // No backend server of the service may take it.
  kNoServer,
  // The region is at its limit.
  kRegionLimit,
  // The link to the region that could serve it is at its limit.
  kLinkLimit,
  // The shift to another region is at its limit for this interval.
  kShiftLimit,
  // Its class of work is refused while capacity is short.
  kClass,
  // Requests with its fingerprint crash backend servers.
  kQuarantined,
  // This host is leaving.
  kHostLeaving,
};

inline constexpr EnumNames<Refusal, 10> kRefusalNames{
    {"none", "deadline", "queue-full", "no-server", "region-limit",
     "link-limit", "shift-limit", "class", "quarantined", "host-leaving"}};

// How far a request has come between entry hosts. A request passes between
// regions once at most, and inside a region once on each side.
enum class Hop {
  // From a caller.
  kCaller,
  // Passed by a host of this region, which had it from a caller.
  kInRegion,
  // Passed by a host of another region.
  kCrossed,
  // Passed by a host of this region after it crossed between regions.
  kCrossedInRegion,
};

inline constexpr EnumNames<Hop, 4> kHopNames{
    {"caller", "in-region", "crossed", "crossed-in-region"}};

// A request as the dispatcher sees it.
struct DispatchRequest {
  // Chosen by the caller of the dispatcher; unique at this host.
  uint64_t id = 0;
  ServiceId service;
  Instant deadline = Instant::Never();
  int64_t request_bytes = 0;
  bool run_once = false;
  // Hash of service, method, target and body.
  uint64_t fingerprint = 0;
  // As stated by the host that passed it: DispatchDecision::hop there.
  Hop hop = Hop::kCaller;
  // Retries and hedges: servers that this request has been sent to before.
  std::vector<ServerId> avoid;
  // Entry hosts that refused it or could not be reached.
  std::vector<HostId> avoid_hosts;
};

// What to do with a request now.
enum class Step {
  // Send it to `server`.
  kSend,
  // Pass it to the entry host `host`, which runs its own admission.
  kForward,
  // It waits; Advance() will name it later.
  kWait,
  // Refuse it with `refusal`.
  kRefuse,
};

inline constexpr EnumNames<Step, 4> kStepNames{
    {"send", "pass", "wait", "refuse"}};

struct DispatchDecision {
  uint64_t request_id = 0;
  Step step = Step::kWait;
  ServerId server;
  HostId host;
  // Step::kForward: what DispatchRequest::hop must be at `host`.
  Hop hop = Hop::kCaller;
  Refusal refusal = Refusal::kNone;
};

// How an attempt ended, as the host saw it.
enum class AttemptEnd {
  // A whole answer that the service does not count as a failure.
  kAnswered,
  // A whole answer by which the backend server says that it is overloaded.
  kShed,
  // A whole answer that is an error of the backend server.
  kFailed,
  // No connection could be had; nothing was sent.
  kNotSent,
  // The connection broke after bytes were sent.
  kBroken,
  // The time was up.
  kTimedOut,
  // Cancelled by this host: the loser of a hedge, or a caller that left.
  kCancelled,
};

inline constexpr EnumNames<AttemptEnd, 7> kAttemptEndNames{
    {"answered", "shed", "failed", "not-sent", "broken", "timed-out",
     "cancelled"}};

struct AttemptResult {
  uint64_t request_id = 0;
  // The server or, for Step::kForward, the host it went to.
  ServerId server;
  HostId host;
  AttemptEnd end = AttemptEnd::kAnswered;
  // From the first byte sent to the last byte received.
  Duration took;
  int64_t response_bytes = 0;
  // The fingerprint of the request, for what looks for requests that crash.
  uint64_t fingerprint = 0;
};

// A backend server's own report.
struct LoadReport {
  ServerId server;
  bool healthy = true;
  bool leaving = false;
  // Requests it says are running and waiting.
  int running = 0;
  int waiting = 0;
  // How old the report was when it reached this host.
  Duration age;
};

// What one entry host tells the others of its own load on backend servers.
struct PeerLoad {
  struct InFlight {
    ServerId server;
    int requests = 0;
  };
  HostId host;
  std::vector<InFlight> in_flight;
  // Requests that wait there, slots that it could fill at once, and all slots
  // that it fills itself.
  int waiting = 0;
  int free_slots = 0;
  int slots = 0;
  Duration age;
};

// Decides where each request of one service goes at one entry host. Does no
// I/O; the same calls give the same decisions. Not thread-safe: the owner
// holds a lock. Every request that was offered ends by kSend or kPass followed
// by Finish(), by kRefuse, or by Withdraw().
class Dispatcher {
 public:
  virtual ~Dispatcher() = default;

  // Decides on a new request.
  virtual DispatchDecision Offer(const DispatchRequest& request,
                                 Instant now) = 0;
  // Takes a waiting request back, for a caller that left.
  virtual void Withdraw(uint64_t request_id, Instant now) = 0;
  // An attempt that DispatchDecision started has ended.
  virtual void Finish(const AttemptResult& result, Instant now) = 0;
  // Decisions on items that waited. Call after every Finish() and at
  // NextWake().
  virtual std::vector<DispatchDecision> Advance(Instant now) = 0;
  // When Advance() must be called at the latest.
  virtual Instant NextWake() const = 0;

  // New figures and facts.
  virtual void OnLoadReport(const LoadReport& report, Instant now) = 0;
  virtual void OnPeerLoad(const PeerLoad& load, Instant now) = 0;
  virtual void OnHosts(const std::vector<HostId>& live, Instant now) = 0;
  virtual void OnConfig(const FleetConfigPtr& config,
                        int64_t unix_ms,
                        Instant now) = 0;

  // What this host has in flight, for its peers.
  virtual PeerLoad OwnLoad() const = 0;
  // The figures that decisions are made from, each with its age, as JSON.
  virtual std::string Explain(Instant now) const = 0;
};

}  // namespace toucanknot

#endif  // INCLUDE_STEERING_DISPATCHER_H_
