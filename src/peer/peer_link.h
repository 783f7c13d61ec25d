#ifndef SRC_PEER_PEER_LINK_H_
#define SRC_PEER_PEER_LINK_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <deque>
#include <memory>
#include <random>
#include <string>

#include "include/peer/peer_transport.h"
#include "src/peer/transport_counters.h"
#include "src/peer/watchdog.h"

namespace toucanknot {

using PeerStrand = boost::asio::strand<boost::asio::io_context::executor_type>;

// The outgoing connection to one peer, opened when there is a message to send.
// All functions must be called on the strand.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  PeerLink(const PeerStrand& strand,
           const PeerTransportOptions& options,
           Endpoint peer,
           std::shared_ptr<TransportCounters> counters);

  const Endpoint& peer() const { return peer_; }

  void Start();
  void Send(std::shared_ptr<const std::string> body);
  void Close();

 private:
  boost::asio::awaitable<void> Run();
  // Waits until `wake_` is cancelled.
  boost::asio::awaitable<void> WaitForWakeUp();
  // Connects and sends until the connection fails, which throws.
  boost::asio::awaitable<void> ConnectAndSend();
  boost::asio::awaitable<void> Connect();
  void CloseWhenReadable();
  boost::asio::awaitable<void> BackOff();
  void DropQueue();

  const PeerTransportOptions options_;
  const Endpoint peer_;
  const std::shared_ptr<TransportCounters> counters_;
  boost::asio::ip::tcp::socket socket_;
  Watchdog watchdog_;
  // Cancelled when a message is queued or the connection is closed.
  boost::asio::steady_timer wake_;
  std::mt19937_64 random_;
  std::deque<std::shared_ptr<const std::string>> queue_;
  size_t queued_bytes_ = 0;
  Duration backoff_;
  std::string nonce_;
  bool closed_ = false;
};

}  // namespace toucanknot

#endif  // SRC_PEER_PEER_LINK_H_
