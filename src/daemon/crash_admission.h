#ifndef SRC_DAEMON_CRASH_ADMISSION_H_
#define SRC_DAEMON_CRASH_ADMISSION_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "src/daemon/service_request.h"
#include "src/daemon/service_state.h"
#include "src/http/worker_pool.h"

namespace toucanknot {

// Admission check for requests suspected of crashing backend servers: passes an
// attempt to the dispatcher, delays it while an identical request runs alone on
// a server, or refuses it.
class CrashAdmission {
 public:
  using FindState =
      std::function<std::shared_ptr<ServiceState>(const ServiceId&)>;

  // `own_zone` determines which backend servers are in this host's region.
  CrashAdmission(WorkerPool& workers, ZoneId own_zone, FindState find_state);

  // Decides where an attempt goes: first by the quarantine, then by the
  // dispatcher. Never returns kWait. Must be awaited on a worker.
  boost::asio::awaitable<DispatchDecision> Decide(
      ServiceRequestPtr service_request,
      DispatchRequest item);

 private:
  // The quarantine's decision on one attempt of a request.
  struct CrashAdmissionResult {
    // kNone if admitted, otherwise the reason for the refusal.
    Refusal refusal = Refusal::kNone;
    // Set when the attempt must run alone on this server; if empty, the
    // dispatcher chooses.
    ServerId run_alone_on;
  };

  boost::asio::awaitable<CrashAdmissionResult> Admit(
      ServiceRequestPtr service_request);
  std::vector<ServerId> OwnServers(const ServiceRequest& service_request) const;

  WorkerPool& workers_;
  const ZoneId own_zone_;
  const FindState find_state_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_CRASH_ADMISSION_H_
