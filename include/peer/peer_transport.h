#ifndef INCLUDE_PEER_PEER_TRANSPORT_H_
#define INCLUDE_PEER_PEER_TRANSPORT_H_

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "include/base/clock.h"
#include "include/base/endpoint.h"
#include "include/base/ids.h"
#include "include/peer/fleet_keys.h"
#include "include/peer/messages.h"

namespace toucanknot {

// Options of a host's connections to other entry hosts.
struct PeerTransportOptions {
  // Sender of the messages of this host.
  PeerSender self;
  // Address on which connections from other entry hosts are accepted.
  Endpoint listen;
  std::shared_ptr<const FleetKeys> keys;
  // Maximum number of bytes queued for one peer; beyond it the oldest messages
  // are dropped.
  size_t max_queue_bytes = 4 << 20;
  // Maximum number of accepted connections; further ones are closed.
  size_t max_accepted = 1024;
  // Delay after a failed connection attempt: doubles from min_backoff up to
  // max_backoff, with jitter.
  Duration min_backoff{100};
  Duration max_backoff{5'000};
  // Timeout for connecting and for each write. A connection with bytes that
  // stay unacknowledged for this long is replaced.
  Duration progress_limit{3'000};
  // An accepted connection that receives nothing for this long is closed.
  Duration idle_limit{60'000};
};

// Counters since the start.
struct PeerTransportStats {
  uint64_t sent_messages = 0;
  uint64_t sent_bytes = 0;
  uint64_t received_messages = 0;
  uint64_t received_bytes = 0;
  // Messages not sent because of an unknown peer, a full queue or no
  // connection.
  uint64_t dropped_messages = 0;
  // Connections closed for a bad frame or a malformed message.
  uint64_t bad_connections = 0;
  // Messages of a kind unknown to this release.
  uint64_t unknown_messages = 0;
  uint64_t connect_failures = 0;
};

// Sends messages between entry hosts over TCP. Uses one outgoing connection per
// peer, opened at the first message; responses arrive on the connection that
// the peer opens. Delivery is not guaranteed. Thread-safe; hooks are called
// from the context's threads, one at a time.
class PeerTransport {
 public:
  using MessageHook =
      std::function<void(const PeerSender& from, const PeerMessage& message)>;

  // `context` must outlive this object.
  PeerTransport(boost::asio::io_context& context, PeerTransportOptions options);
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;
  ~PeerTransport();

  // Starts to listen and to call `on_message`. Throws
  // boost::system::system_error when the address is not available. The bound
  // address is listen_address().
  void Start(MessageHook on_message);
  // Closes the listener and all connections; queued messages are lost. No hook
  // is called once the currently running handlers have returned. `on_stopped`
  // is called from the context's threads when everything is closed; the context
  // must run until then.
  void Stop(std::function<void()> on_stopped = {});

  Endpoint listen_address() const;

  // Replaces the addresses of the other hosts. Connections to hosts that were
  // removed or have a new address are closed.
  void SetPeers(std::map<HostId, Endpoint> peers);

  // Queues the message for each host in `out.to`; the body is encoded once.
  void Send(const OutgoingMessage& out);

  PeerTransportStats stats() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace toucanknot

#endif  // INCLUDE_PEER_PEER_TRANSPORT_H_
