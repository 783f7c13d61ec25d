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

// Everything that one host keeps of one service while it runs: where requests
// go, which backend servers are well, what may be retried. Configurations
// change it; they do not replace it.
//
// Lock order: the desk's, then any one of the health desk's, the crash guard's,
// the pass desk's and the retry budget's.
class ServiceState {
 public:
  // `passes` is the host's.
  ServiceState(ServiceId service,
               const HostId& host,
               uint64_t seed,
               std::shared_ptr<SharedForwardingLimits> passes);

  const ServiceId& service() const { return service_; }
  const std::shared_ptr<SharedDispatcher>& desk() const { return desk_; }
  SharedQuarantine& guard() { return *guard_; }

  void OnConfig(const FleetConfigPtr& config,
                const ServiceEntry& entry,
                int64_t unix_ms,
                Instant now);
  void OnProbe(const ServerProbe& probe,
               const std::optional<LoadReport>& load,
               Instant now);
  // An attempt at a backend server begins, and has ended.
  void OnSent(uint64_t fingerprint, const ServerId& server, Instant now);
  void OnAttempt(const AttemptResult& result, Instant now);
  // The platform's host list names a machine; ignored when it is no backend
  // server of this service.
  void OnHostListed(const ServerId& server, bool leaving, Instant now);
  // What other hosts of the region say, and which of them serve.
  void OnPeerLoad(const PeerLoad& load, Instant now);
  void OnPeerView(const ServerView& view, Instant now);
  void OnHosts(const std::vector<HostId>& live, Instant now);
  // The servers that this host holds to be out.
  std::vector<ServerView> OwnView(Instant now) const;
  // The first of `servers` that could take a request that must run by itself;
  // empty when none can.
  ServerId ServerAlone(const std::vector<ServerId>& servers, Instant now) const;
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
  const ServiceId service_;
  const std::shared_ptr<SharedHealthTable> health_;
  const std::shared_ptr<SharedQuarantine> guard_;
  const std::shared_ptr<SharedForwardingLimits> passes_;
  // Guards the budgets and the latencies.
  mutable std::mutex retries_mutex_;
  RetryBudget retries_;
  RetryBudget hedges_;
  RecentLatency latency_;
  const std::shared_ptr<SharedDispatcher> desk_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_SERVICE_STATE_H_
