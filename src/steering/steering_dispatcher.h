#ifndef SRC_STEERING_STEERING_DISPATCHER_H_
#define SRC_STEERING_STEERING_DISPATCHER_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "include/steering/dispatcher.h"
#include "include/steering/dispatcher_builder.h"
#include "src/steering/fleet_view.h"
#include "src/steering/host_table.h"
#include "src/steering/picker.h"
#include "src/steering/region_shifter.h"
#include "src/steering/server_table.h"
#include "src/steering/smoothed_load.h"
#include "src/steering/standing_queue.h"
#include "src/steering/wait_queue.h"

namespace toucanknot {

// The dispatcher that the daemon runs: a picker for the own region, a bounded
// queue, early refusal of requests that would miss their deadline, and
// forwarding to other regions.
class SteeringDispatcher : public Dispatcher {
 public:
  struct Parts {
    ServiceId service;
    HostId own;
    uint64_t seed = 1;
    Policy policy = Policy::kPool;
    QueueOrder order = QueueOrder::kFifo;
    // Every hook is set.
    SteeringHooks hooks;
  };

  explicit SteeringDispatcher(Parts parts);

  DispatchDecision Offer(const DispatchRequest& request, Instant now) override;
  void Withdraw(uint64_t request_id, Instant now) override;
  void Finish(const AttemptResult& result, Instant now) override;
  std::vector<DispatchDecision> Advance(Instant now) override;
  Instant NextWake() const override { return wake_; }
  void OnLoadReport(const LoadReport& report, Instant now) override;
  void OnPeerLoad(const PeerLoad& load, Instant now) override;
  void OnHosts(const std::vector<HostId>& live, Instant now) override;
  void OnConfig(const FleetConfigPtr& config,
                int64_t unix_ms,
                Instant now) override;
  PeerLoad OwnLoad() const override;
  std::string Explain(Instant now) const override;

 private:
  // A request that was sent or forwarded.
  struct InFlight {
    // Index of the server; unused for a forwarded request.
    size_t server = 0;
    HostId host;
  };

  // Decides on a request; nothing when it has to wait.
  std::optional<DispatchDecision> Decide(const DispatchRequest& request,
                                         Instant now);
  std::optional<DispatchDecision> DecideHere(const DispatchRequest& request,
                                             const Pick& pick,
                                             Instant now);
  std::optional<DispatchDecision> DecideCrossed(const DispatchRequest& request,
                                                const Pick& pick,
                                                Instant now);
  void RefuseLate(WaitQueue* queue,
                  Instant now,
                  std::vector<DispatchDecision>* decisions);
  void StartWaiting(Instant now, std::vector<DispatchDecision>* decisions);
  void StartCrossed(Instant now, std::vector<DispatchDecision>* decisions);
  DispatchDecision Send(const DispatchRequest& request, size_t server);
  DispatchDecision Forward(const DispatchRequest& request,
                           const HostId& host,
                           Hop hop);
  DispatchDecision Refuse(const DispatchRequest& request, Refusal refusal);
  // Call before the number of requests in flight or waiting changes.
  void UpdateLoad(Instant now);
  // Whether this region's limit lets a request of another region start now, or
  // join the queue.
  bool CrossedMayStart(Instant now) const;
  bool CrossedMayWait(const DispatchRequest& request, Instant now) const;
  // The expected wait of a request that is appended to the queue.
  double ExpectedWaitMs(Instant now) const;
  int OwnSlots(Instant now) const;
  int OwnInFlight() const;
  void RefreshHomes(Instant now);
  void SetWake(Instant now);

  const Parts parts_;
  std::unique_ptr<FleetView> view_;
  ServerTable servers_;
  HostTable hosts_;
  // Waiting requests of this region (`queue_`) and of other regions
  // (`crossed_`). The latter start only when none of this region waits and the
  // region's limit permits it.
  WaitQueue queue_;
  WaitQueue crossed_;
  RegionShifter shifter_;
  SmoothedLoad load_;
  StandingQueue standing_queue_;
  std::unique_ptr<Picker> picker_;
  boost::unordered_flat_map<uint64_t, InFlight> in_flight_;
  Instant last_now_;
  Instant suspension_ends_at_ = Instant::Never();
  Instant wake_ = Instant::Never();
};

}  // namespace toucanknot

#endif  // SRC_STEERING_STEERING_DISPATCHER_H_
