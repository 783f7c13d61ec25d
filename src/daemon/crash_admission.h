#ifndef SRC_DAEMON_CRASH_ADMISSION_H_
#define SRC_DAEMON_CRASH_ADMISSION_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "src/daemon/call.h"
#include "src/daemon/service_state.h"
#include "src/http/worker_pool.h"

namespace toucanknot {

// Lets an attempt through to the dispatcher, holds it back while a request
// like it is tried by itself, or refuses it.
class CrashAdmission {
 public:
  using FindState =
      std::function<std::shared_ptr<ServiceState>(const ServiceId&)>;

  // `own_zone` says which backend servers are this region's.
  CrashAdmission(WorkerPool& workers, ZoneId own_zone, FindState find);

  // Where an attempt goes: the quarantine's word first, then the dispatcher's.
  // Never kWait. To be awaited on a worker.
  boost::asio::awaitable<DispatchDecision> Decide(ServiceRequestPtr call,
                                                  DispatchRequest item);

 private:
  // What the quarantine says to one attempt of a request.
  struct CrashAdmissionResult {
    // kNone, or why the request is refused.
    Refusal refusal = Refusal::kNone;
    // Set when it must run by itself there; otherwise the dispatcher chooses.
    ServerId alone_at;
  };

  boost::asio::awaitable<CrashAdmissionResult> Pass(ServiceRequestPtr call);
  std::vector<ServerId> OwnServers(const Call& call) const;

  WorkerPool& workers_;
  const ZoneId own_zone_;
  const FindState find_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_CRASH_ADMISSION_H_
