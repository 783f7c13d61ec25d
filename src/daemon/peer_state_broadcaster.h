#ifndef SRC_DAEMON_PEER_STATE_BROADCASTER_H_
#define SRC_DAEMON_PEER_STATE_BROADCASTER_H_

#include <boost/asio/awaitable.hpp>
#include <mutex>
#include <vector>

#include "src/daemon/fleet_link.h"
#include "src/daemon/peer_failure_detector.h"
#include "src/daemon/peer_state_exchange.h"
#include "src/daemon/service_states.h"
#include "src/http/worker_pool.h"

namespace toucanknot {

// Exchanges load and health with the region's hosts, and tells the services
// which of these may be the home of requests. Its lock may be held while a
// SharedDispatcher's is taken.
class PeerStateBroadcaster {
 public:
  PeerStateBroadcaster(WorkerPool& workers,
                       const HostId& self,
                       FleetLink& fleet,
                       ServiceStates& states);

  // Begins; goes on until the workers stop.
  void Start();
  // A message of another host; kinds that are no news are ignored.
  void OnMessage(const PeerSender& from, const PeerMessage& message);
  // Which hosts serve may have changed.
  void RefreshHomes();
  // Sends what is known of crashing requests at once.
  void SendCrashes();

 private:
  boost::asio::awaitable<void> Loop();
  void SetHomes(const std::vector<HostId>& live, Instant now);
  void ForgiveOwnPause(Instant due, Instant now);

  WorkerPool& workers_;
  FleetLink& fleet_;
  ServiceStates& states_;
  const PeerStateExchange news_;
  std::mutex mutex_;
  PeerFailureDetector silence_;
  std::vector<HostId> homes_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_PEER_STATE_BROADCASTER_H_
