#ifndef SRC_DAEMON_PEER_STATE_EXCHANGE_H_
#define SRC_DAEMON_PEER_STATE_EXCHANGE_H_

#include <functional>
#include <memory>
#include <vector>

#include "include/peer/messages.h"
#include "src/daemon/service_state.h"

namespace toucanknot {

// Builds and handles the messages about services between the entry hosts of a
// region: load, ejected backend servers and requests that crash servers.
class PeerStateExchange {
 public:
  using States = std::function<std::vector<std::shared_ptr<ServiceState>>()>;
  using FindState =
      std::function<std::shared_ptr<ServiceState>(const ServiceId&)>;

  PeerStateExchange(States states, FindState find_state);

  // This host's load for all services.
  LoadNotice MakeLoadNotice() const;
  // The servers that this host considers out of service; no message for a
  // service without any.
  std::vector<ServerViews> MakeServerViews(Instant now) const;
  // Removes and returns the pending notices about crashing requests.
  std::vector<CrashNotices> TakeCrashNotices() const;

  // Handles a message of another host; other kinds are ignored.
  void OnMessage(const PeerSender& from,
                 const PeerMessage& message,
                 Instant now) const;

 private:
  void OnLoad(const HostId& from, const LoadNotice& notice, Instant now) const;

  const States states_;
  const FindState find_state_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_PEER_STATE_EXCHANGE_H_
