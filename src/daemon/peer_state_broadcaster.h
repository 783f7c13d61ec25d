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

// Periodically sends this host's load and health views to the hosts of its
// region, and sets which of those hosts are eligible as home of requests. A
// SharedDispatcher's lock may be taken while its lock is held.
class PeerStateBroadcaster {
 public:
  PeerStateBroadcaster(WorkerPool& workers,
                       const HostId& self,
                       FleetLink& fleet,
                       ServiceStates& states);

  // Starts the loop, which runs until the workers stop.
  void Start();
  // Handles a message of another host; unrelated kinds are ignored.
  void OnMessage(const PeerSender& from, const PeerMessage& message);
  // Updates the eligible hosts after a change of the serving hosts.
  void RefreshHomes();
  // Sends pending notices about crashing requests immediately.
  void SendCrashNotices();

 private:
  boost::asio::awaitable<void> Loop();
  void SetHomes(const std::vector<HostId>& live, Instant now);
  void ExcludeOwnPause(Instant due, Instant now);

  WorkerPool& workers_;
  FleetLink& fleet_;
  ServiceStates& states_;
  const PeerStateExchange exchange_;
  std::mutex mutex_;
  PeerFailureDetector failure_detector_;
  std::vector<HostId> homes_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_PEER_STATE_BROADCASTER_H_
