#ifndef SRC_DAEMON_SERVICE_STATE_H_
#define SRC_DAEMON_SERVICE_STATE_H_

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "include/base/clock.h"
#include "include/base/ids.h"
#include "include/health/server_health.h"
#include "include/limits/retry_budget.h"
#include "include/steering/dispatcher.h"
#include "src/daemon/recent_latency.h"
#include "src/daemon/routing_tables.h"
#include "src/daemon/shared_dispatcher.h"
#include "src/daemon/shared_forwarding_limits.h"
#include "src/daemon/shared_health_table.h"
#include "src/daemon/shared_quarantine.h"

namespace toucanknot {

// The runtime state of one service on one host: its dispatcher, the health of
// its backend servers, its quarantine and its retry budgets. A new
// configuration updates the state and does not replace it.
//
// Lock order: the lock of the SharedDispatcher, then any one of those of the
// SharedHealthTable, SharedQuarantine, SharedForwardingLimits and the retry
// budgets.
class ServiceState {
 public:
  // `forwarding_limits` is shared by all services of the host.
  ServiceState(ServiceId service,
               const HostId& host,
               uint64_t seed,
               std::shared_ptr<SharedForwardingLimits> forwarding_limits);

  const ServiceId& service() const { return service_; }
  const std::shared_ptr<SharedDispatcher>& dispatcher() const {
    return dispatcher_;
  }
  SharedQuarantine& quarantine() { return *quarantine_; }

  void OnConfig(const FleetConfigPtr& config,
                const ServiceEntry& entry,
                int64_t unix_ms,
                Instant now);
  void OnProbe(const ServerProbe& probe,
               const std::optional<LoadReport>& load,
               Instant now);
  // An attempt at a backend server begins.
  void OnSent(uint64_t fingerprint, const ServerId& server, Instant now);
  // An attempt has ended.
  void OnAttempt(const AttemptResult& result, Instant now);
  // The platform's host list contains `server`; ignored when it is not a
  // backend server of this service.
  void OnHostListed(const ServerId& server, bool leaving, Instant now);
  // Load and health views received from other hosts of the region.
  void OnPeerLoad(const PeerLoad& load, Instant now);
  void OnPeerView(const ServerView& view, Instant now);
  // The hosts of the region that serve.
  void OnHosts(const std::vector<HostId>& live, Instant now);
  // The servers that this host considers out of service.
  std::vector<ServerView> OwnView(Instant now) const;
  // The first of `servers` on which a request that must run alone could be
  // tried; empty if there is none.
  ServerId FindServerToRunAlone(const std::vector<ServerId>& servers,
                                Instant now) const;
  // Takes one retry from the budget; false when the budget is exhausted.
  bool TryAcquireRetry(Instant now);
  // The same for hedges.
  bool TryAcquireHedge(Instant now);
  // The delay after which a request is slower than most; empty until enough
  // responses were received.
  std::optional<Duration> HedgeAfter() const;
  // Advances the state that depends on time only.
  void Advance(Instant now);

  // The state on which decisions are based, as JSON.
  std::string Explain(Instant now) const;

 private:
  const ServiceId service_;
  const std::shared_ptr<SharedHealthTable> health_;
  const std::shared_ptr<SharedQuarantine> quarantine_;
  const std::shared_ptr<SharedForwardingLimits> forwarding_limits_;
  // Guards the budgets and the latencies.
  mutable std::mutex retry_mutex_;
  RetryBudget retry_budget_;
  RetryBudget hedge_budget_;
  RecentLatency latency_;
  const std::shared_ptr<SharedDispatcher> dispatcher_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_SERVICE_STATE_H_
