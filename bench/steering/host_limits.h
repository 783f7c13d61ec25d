#ifndef BENCH_STEERING_HOST_LIMITS_H_
#define BENCH_STEERING_HOST_LIMITS_H_

#include <memory>
#include <vector>

#include "bench/steering/deployment.h"
#include "include/health/health_table.h"
#include "include/steering/dispatcher_builder.h"
#include "include/steering/forwarding_gate.h"

namespace toucanknot::bench {

// The health tables and forwarding limits of one entry host, connected to its
// dispatchers as in a daemon without peers and store: with static shares of
// every link.
class HostLimits {
 public:
  HostLimits(const Deployment& deployment, const HostId& host, Instant now);

  // Hooks for the dispatcher of the service with this index.
  SteeringHooks HooksFor(size_t service);

  void OnSent(size_t service, const ServerId& server, Instant now);
  void OnAttempt(size_t service,
                 const AttemptResult& result,
                 Instant sent_at,
                 Instant now);
  // A request that was forwarded to another region ended.
  void OnForwardingEnded(uint64_t request_id,
                         int64_t response_bytes,
                         Instant now);
  void OnProbe(size_t service, const ServerProbe& probe, Instant now);
  void OnLeaving(size_t service, const ServerId& server, Instant now);
  void Advance(Instant now);

 private:
  std::vector<std::unique_ptr<HealthTable>> health_;
  ForwardingGate gate_;
};

}  // namespace toucanknot::bench

#endif  // BENCH_STEERING_HOST_LIMITS_H_
