#ifndef SRC_PEER_PEER_SESSION_H_
#define SRC_PEER_PEER_SESSION_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

#include "include/peer/frame_codec.h"
#include "include/peer/peer_transport.h"
#include "src/peer/transport_counters.h"
#include "src/peer/watchdog.h"

namespace toucanknot {

// An accepted connection: sends the nonce and from then on only reads. All
// functions must be called on the strand of `socket`.
class PeerSession : public std::enable_shared_from_this<PeerSession> {
 public:
  PeerSession(boost::asio::ip::tcp::socket socket,
              const PeerTransportOptions& options,
              std::shared_ptr<TransportCounters> counters,
              PeerTransport::MessageHook on_message);

  // Calls `on_end` when the connection is closed.
  void Start(std::function<void()> on_end);
  void Close();

 private:
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<void> ReadFrames();
  void Deliver(const std::string& body);

  boost::asio::ip::tcp::socket socket_;
  Watchdog watchdog_;
  const PeerTransportOptions options_;
  const std::shared_ptr<TransportCounters> counters_;
  PeerTransport::MessageHook on_message_;
  std::string nonce_;
  FrameVerifier verifier_;
};

}  // namespace toucanknot

#endif  // SRC_PEER_PEER_SESSION_H_
