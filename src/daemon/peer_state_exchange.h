#ifndef SRC_DAEMON_PEER_STATE_EXCHANGE_H_
#define SRC_DAEMON_PEER_STATE_EXCHANGE_H_

#include <functional>
#include <memory>
#include <vector>

#include "include/peer/messages.h"
#include "src/daemon/service_state.h"

namespace toucanknot {

// What the entry hosts of a region tell each other of their services besides
// membership: load, backend servers that are out, requests that crash.
class PeerStateExchange {
 public:
  using States = std::function<std::vector<std::shared_ptr<ServiceState>>()>;
  using FindState =
      std::function<std::shared_ptr<ServiceState>(const ServiceId&)>;

  PeerStateExchange(States states, FindState find);

  // This host's load, for all services.
  LoadNotice Load() const;
  // The servers it holds to be out; no message for a service without any.
  std::vector<ServerViews> Views(Instant now) const;
  // Notices of crashing requests to be sent now.
  std::vector<CrashNotices> Crashes() const;

  // Takes a message of another host; other kinds are ignored.
  void OnMessage(const PeerSender& from,
                 const PeerMessage& message,
                 Instant now) const;

 private:
  void OnLoad(const HostId& from, const LoadNotice& notice, Instant now) const;

  const States states_;
  const FindState find_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_PEER_STATE_EXCHANGE_H_
