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
  // It cannot complete before its deadline.
  kDeadline,
  // The service's queue at this host is full.
  kQueueFull,
  // No backend server of the service is usable.
  kNoServer,
  // The region is at its limit.
  kRegionLimit,
  // The link to the region that could serve it is at its bandwidth limit.
  kLinkLimit,
  // The limit on traffic shifted to another region is reached for this
  // interval.
  kShiftLimit,
  // Its work class is shed while capacity is short.
  kClass,
  // Its fingerprint is quarantined: such requests crash backend servers.
  kQuarantined,
  // This host is shutting down.
  kHostLeaving,
};

inline constexpr EnumNames<Refusal, 10> kRefusalNames{
    {"none", "deadline", "queue-full", "no-server", "region-limit",
     "link-limit", "shift-limit", "class", "quarantined", "host-leaving"}};

// How a request reached this entry host. A request is forwarded between regions
// at most once, and at most once inside each region.
enum class Hop {
  // Received from a caller.
  kCaller,
  // Forwarded by a host of this region that received it from a caller.
  kInRegion,
  // Forwarded by a host of another region.
  kCrossed,
  // Forwarded by a host of this region after it came from another region.
  kCrossedInRegion,
};

inline constexpr EnumNames<Hop, 4> kHopNames{
    {"caller", "in-region", "crossed", "crossed-in-region"}};

// The properties of a request that the dispatcher decides from.
struct DispatchRequest {
  // Chosen by the dispatcher's owner; unique at this host.
  uint64_t id = 0;
  ServiceId service;
  Instant deadline = Instant::Never();
  int64_t request_bytes = 0;
  bool run_once = false;
  // Hash of service, method, target and body.
  uint64_t fingerprint = 0;
  // As stated by the host that forwarded it: DispatchDecision::hop there.
  Hop hop = Hop::kCaller;
  // For retries and hedges: servers that the request was already sent to.
  std::vector<ServerId> avoid;
  // Entry hosts that refused it or could not be reached.
  std::vector<HostId> avoid_hosts;
};

// The next step for a request.
enum class Step {
  // Send it to `server`.
  kSend,
  // Forward it to the entry host `host`, which runs its own admission.
  kForward,
  // Keep it waiting; a later Advance() returns the decision.
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
  // For Step::kForward: the DispatchRequest::hop to use at `host`.
  Hop hop = Hop::kCaller;
  Refusal refusal = Refusal::kNone;
};

// How an attempt ended, as observed by this host.
enum class AttemptEnd {
  // A complete response that the service does not count as a failure.
  kAnswered,
  // A complete response in which the backend server reports overload.
  kShed,
  // A complete response that is a server error.
  kFailed,
  // No connection was established; nothing was sent.
  kNotSent,
  // The connection broke after bytes were sent.
  kBroken,
  // The deadline passed.
  kTimedOut,
  // Cancelled by this host: it lost a hedge, or the caller disconnected.
  kCancelled,
};

inline constexpr EnumNames<AttemptEnd, 7> kAttemptEndNames{
    {"answered", "shed", "failed", "not-sent", "broken", "timed-out",
     "cancelled"}};

struct AttemptResult {
  uint64_t request_id = 0;
  // The server that the request was sent to or, for Step::kForward, the host.
  ServerId server;
  HostId host;
  AttemptEnd end = AttemptEnd::kAnswered;
  // From the first byte sent to the last byte received.
  Duration took;
  int64_t response_bytes = 0;
  // DispatchRequest::fingerprint, used to find requests that crash servers.
  uint64_t fingerprint = 0;
};

// The load that a backend server reports about itself.
struct LoadReport {
  ServerId server;
  bool healthy = true;
  bool leaving = false;
  // Requests running and waiting at the server.
  int running = 0;
  int waiting = 0;
  // How old the report was when it reached this host.
  Duration age;
};

// The load that one entry host puts on backend servers, as sent to its peers.
struct PeerLoad {
  struct InFlight {
    ServerId server;
    int requests = 0;
  };
  HostId host;
  std::vector<InFlight> in_flight;
  // Requests waiting at the host; free slots of the servers that it is home of;
  // all slots of these servers.
  int waiting = 0;
  int free_slots = 0;
  int slots = 0;
  Duration age;
};

// Decides for one service at one entry host where each request goes. Does no
// I/O and is deterministic. Not thread-safe: the owner holds a lock. Every
// request passed to Offer() ends in kSend or kForward followed by Finish(), in
// kRefuse, or in Withdraw().
class Dispatcher {
 public:
  virtual ~Dispatcher() = default;

  // Decides on a new request.
  virtual DispatchDecision Offer(const DispatchRequest& request,
                                 Instant now) = 0;
  // Removes a waiting request, because its caller disconnected.
  virtual void Withdraw(uint64_t request_id, Instant now) = 0;
  // Reports the end of an attempt that a kSend or kForward decision started.
  virtual void Finish(const AttemptResult& result, Instant now) = 0;
  // Returns the decisions on waiting requests. Call after every Finish() and at
  // NextWake().
  virtual std::vector<DispatchDecision> Advance(Instant now) = 0;
  // The latest time of the next call of Advance().
  virtual Instant NextWake() const = 0;

  // Updates of the state that decisions are based on.
  virtual void OnLoadReport(const LoadReport& report, Instant now) = 0;
  virtual void OnPeerLoad(const PeerLoad& load, Instant now) = 0;
  virtual void OnHosts(const std::vector<HostId>& live, Instant now) = 0;
  virtual void OnConfig(const FleetConfigPtr& config,
                        int64_t unix_ms,
                        Instant now) = 0;

  // This host's load, to be sent to its peers.
  virtual PeerLoad OwnLoad() const = 0;
  // The state that decisions are based on, with its age, as JSON.
  virtual std::string Explain(Instant now) const = 0;
};

}  // namespace toucanknot

#endif  // INCLUDE_STEERING_DISPATCHER_H_
