#ifndef SRC_DAEMON_SERVICE_STATE_H_
#define SRC_DAEMON_SERVICE_STATE_H_

#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "include/base/clock.h"
#include "include/base/ids.h"
#include "include/health/server_health.h"
#include "include/limits/retry_budget.h"
#include "include/steering/dispatcher.h"
#include "src/daemon/health_desk.h"
#include "src/daemon/recent_latency.h"
#include "src/daemon/routing_tables.h"
#include "src/daemon/service_desk.h"

namespace toucanknot {

// Everything that one host keeps of one service while it runs: where requests
// go, which backend servers are well, what may be retried. Configurations
// change it; they do not replace it.
//
// Lock order: the desk's, then the health desk's, then the retry budget's.
class ServiceState {
 public:
  ServiceState(const ServiceId& service, const HostId& host, uint64_t seed);

  const std::shared_ptr<ServiceDesk>& desk() const { return desk_; }

  void OnConfig(const FleetConfigPtr& config,
                const ServiceEntry& entry,
                int64_t unix_ms,
                Instant now);
  void OnProbe(const ServerProbe& probe,
               const std::optional<LoadReport>& load,
               Instant now);
  void OnAttempt(const AttemptResult& result, Instant now);
  // The platform's host list names a machine; ignored when it is no backend
  // server of this service.
  void OnHostListed(const ServerId& server, bool leaving, Instant now);
  // Takes one retry from the budget; false when it is spent.
  bool TakeRetry(Instant now);
  // The same for hedges.
  bool TakeHedge(Instant now);
  // After how long a request is slower than most; nothing before enough
  // answers came.
  std::optional<Duration> HedgeAfter() const;
  // Moves what only time moves.
  void Advance(Instant now);

  // The figures that decisions are made from, as JSON.
  std::string Explain(Instant now) const;

 private:
  const std::shared_ptr<HealthDesk> health_;
  // Guards the budgets and the latencies.
  mutable std::mutex retries_mutex_;
  RetryBudget retries_;
  RetryBudget hedges_;
  RecentLatency latency_;
  const std::shared_ptr<ServiceDesk> desk_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_SERVICE_STATE_H_
