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

// Settings of a host's inner connections.
struct PeerTransportOptions {
  // Who this host is.
  PeerSender self;
  // Where it accepts connections of other entry hosts.
  Endpoint listen;
  std::shared_ptr<const FleetKeys> keys;
  // Bytes that may wait for one peer; above it the oldest messages go.
  size_t max_queue_bytes = 4 << 20;
  // Connections accepted at once; further ones are closed.
  size_t max_accepted = 1024;
  // Pause after a failed connection attempt: doubles from the first to the
  // second, with jitter.
  Duration min_backoff{100};
  Duration max_backoff{5'000};
  // Limit for connecting and for each write; a connection whose bytes are not
  // acknowledged for so long is replaced.
  Duration progress_limit{3'000};
  // An accepted connection that sends nothing for so long is closed.
  Duration idle_limit{60'000};
};

// What has happened since the start.
struct PeerTransportStats {
  uint64_t sent_messages = 0;
  uint64_t sent_bytes = 0;
  uint64_t received_messages = 0;
  uint64_t received_bytes = 0;
  // Messages that were not sent: no such peer, a full queue, or no connection.
  uint64_t dropped_messages = 0;
  // Connections closed for a bad frame or a malformed message.
  uint64_t bad_connections = 0;
  // Messages of a kind that this release does not know.
  uint64_t unknown_messages = 0;
  uint64_t connect_failures = 0;
};

// Carries messages between entry hosts over TCP. One connection to each peer
// that is written to, opened at the first message; answers come over the
// peer's own connection. Delivery is not promised. May be called from any
// thread; hooks are called from the context's threads, one at a time.
class PeerTransport {
 public:
  using MessageHook =
      std::function<void(const PeerSender& from, const PeerMessage& message)>;

  // `context` must outlive this object.
  PeerTransport(boost::asio::io_context& context, PeerTransportOptions options);
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;
  ~PeerTransport();

  // Listens and begins to call `on_message`. Throws boost::system::system_error
  // when the address cannot be had. The address in use is listen_address().
  void Start(MessageHook on_message);
  // Closes every connection; queued messages are lost. No hook is called after
  // the handlers that run now.
  void Stop();

  Endpoint listen_address() const;

  // Replaces the addresses of the other hosts. Connections to hosts that are
  // gone or moved are closed.
  void SetPeers(std::map<HostId, Endpoint> peers);

  // Queues the message for each host in `out.to`; the body is encoded once.
  void Send(const Outgoing& out);

  PeerTransportStats stats() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace toucanknot

#endif  // INCLUDE_PEER_PEER_TRANSPORT_H_
