#ifndef BENCH_STEERING_FAKE_FLEET_H_
#define BENCH_STEERING_FAKE_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "bench/steering/arrivals.h"
#include "bench/steering/deployment.h"
#include "bench/steering/event_queue.h"
#include "bench/steering/fake_server.h"
#include "bench/steering/host_limits.h"
#include "bench/steering/measures.h"
#include "bench/steering/scenario.h"
#include "include/limits/slow_start.h"
#include "include/steering/dispatcher_builder.h"

namespace toucanknot::bench {

// Runs the real dispatchers of entry hosts against simulated callers, links and
// backend servers, in simulated time.
class FakeFleet {
 public:
  FakeFleet(const Deployment& deployment,
            const Scenario& scenario,
            Policy policy,
            QueueOrder order,
            uint64_t seed);

  // Runs the scenario once.
  Measures Run();

 private:
  enum class Outcome { kAnswered, kRefused, kFailed, kBroken };
  using Reply = std::function<void(Outcome, Refusal)>;

  // One request at one entry host; a forwarded request has a leg at each host.
  struct Leg {
    size_t host = 0;
    size_t service = 0;
    int64_t work_us = 0;
    int64_t deadline_us = 0;
    DispatchRequest request;
    Reply reply;
    int tries = 0;
    // Counts attempts, so that late events of earlier ones are ignored.
    int attempt = 0;
    int64_t sent_us = 0;
    DispatchDecision last;
    std::function<void()> cancel;
  };
  struct Host {
    EntryHost config;
    size_t region = 0;
    bool alive = true;
    // Counts the starts of the host.
    int incarnation = 0;
    std::unique_ptr<HostLimits> limits;
    std::vector<std::unique_ptr<Dispatcher>> dispatchers;
    std::vector<int64_t> wake_ms;
    std::map<uint64_t, Leg> legs;
  };
  struct Location {
    ZoneId zone;
    size_t region = 0;
  };
  struct LinkState {
    double bits_per_us = 0;
    int64_t one_way_us = 0;
    int64_t busy_until_us = 0;
    std::vector<int64_t> bytes_in_second;
  };
  // A caller's request over all of its tries.
  struct CallerRequest {
    Arrival arrival;
    int64_t first_us = 0;
    int tries = 0;
    int retries = 0;
    // Entry hosts that did not respond.
    std::vector<size_t> unreachable_hosts;
  };

  // Setup.
  void MakeServers();
  void StartHost(size_t host);
  // The hooks of the host's limits, wrapped to count requests and permitted
  // shifts.
  SteeringHooks CountedHooks(Host& host, size_t service);
  void ScheduleFaults();
  void ScheduleTicks();

  // Callers.
  void StartCallerRequest(const Arrival& arrival);
  void TryCallerRequest(const std::shared_ptr<CallerRequest>& caller_request);
  void EndCallerRequest(const std::shared_ptr<CallerRequest>& caller_request,
                        Outcome outcome);
  bool PickHost(const CallerRequest& caller_request, size_t* host);

  // Entry hosts.
  void StartLeg(size_t host, Leg leg, uint64_t* id);
  void Apply(size_t host, size_t service, const DispatchDecision& decision);
  void SendTo(Host& host, Leg& leg, const DispatchDecision& decision);
  void ForwardTo(Host& host, Leg& leg, const DispatchDecision& decision);
  void OnAttemptEnded(size_t host,
                      uint64_t id,
                      int attempt,
                      AttemptEnd end,
                      const DispatchDecision& decision);
  void OnForwardEnded(size_t host,
                      uint64_t id,
                      int attempt,
                      Outcome outcome,
                      Refusal refusal,
                      const DispatchDecision& decision);
  void Offer(Host& host, Leg& leg);
  void EndLeg(size_t host, uint64_t id, Outcome outcome, Refusal refusal);
  void ExpireLeg(size_t host, uint64_t id);
  void Advance(size_t host, size_t service);
  void ScheduleWake(size_t host, size_t service);

  // Network. A message between locations that cannot reach each other is lost.
  bool Reachable(const Location& a, const Location& b) const;
  void Transfer(const Location& from,
                const Location& to,
                int64_t bytes,
                std::function<void()> arrive);

  // Faults, and the exchange of host lists and loads.
  void SetFault(bool active);
  bool IsAffected(const Location& location) const;
  void KillHost(size_t host);
  void AnnounceLiveHosts();
  void Probe();
  void ExchangeLoads(bool between_regions);
  void StartServerLeaving();

  void Sample();
  void Collect();
  // Milliseconds from the first signal that a server leaves to its last new
  // request; -1 if no server leaves.
  int64_t DrainMs(size_t service) const;
  double AliveSlots(size_t service) const;
  Location LocationOf(const ZoneId& zone) const;
  Location LocationOf(const Host& host) const;

  const Deployment& deployment_;
  const Scenario scenario_;
  const Policy policy_;
  const QueueOrder order_;
  const uint64_t seed_;
  EventQueue events_;
  Rng rng_;
  std::vector<Arrival> arrivals_;
  size_t next_arrival_ = 0;
  std::vector<std::vector<std::unique_ptr<FakeServer>>> servers_;
  std::vector<Host> hosts_;
  std::vector<std::vector<LinkState>> links_;
  // Hosts that callers and peers consider live.
  std::vector<bool> believed_live_;
  // The share of a region's callers that lookups direct to their own region.
  std::vector<SlowStart> slow_starts_;
  bool fault_active_ = false;
  uint64_t next_request_id_ = 1;
  std::vector<int64_t> leaving_since_us_;
  std::vector<double> capacity_;
  Measures measures_;
};

}  // namespace toucanknot::bench

#endif  // BENCH_STEERING_FAKE_FLEET_H_
