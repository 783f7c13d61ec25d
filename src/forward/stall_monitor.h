#ifndef SRC_FORWARD_STALL_MONITOR_H_
#define SRC_FORWARD_STALL_MONITOR_H_

#include <boost/asio/awaitable.hpp>
#include <memory>

#include "include/base/clock.h"
#include "src/forward/pooled_connection.h"

namespace toucanknot {

// Requests of at least this size are monitored: smaller ones fit into the
// receive buffer of a peer that does not read.
inline constexpr size_t kMonitoredRequestBytes = 16 << 10;

// Tells a peer that has stopped reading from one that is gone, while a request
// is sent, until `*ended` is set or the connection is closed.
//
// TCP_USER_TIMEOUT also breaks a connection whose receive window has been
// closed for that long, although the peer acknowledges every window probe.
// While the window is closed, the timeout is therefore off, and the peer counts
// as alive if it acknowledged something within `silent_after` or accepts or
// refuses another connection within that time; the kernel alone probes a closed
// window at growing intervals. A silent peer breaks the connection.
boost::asio::awaitable<void> MonitorStalls(PooledConnectionPtr connection,
                                           std::shared_ptr<const bool> ended,
                                           Duration silent_after);

// Sets the time without acknowledgements after which the kernel breaks the
// connection; zero disables it.
void SetUserTimeout(PooledConnection& connection, Duration timeout);

}  // namespace toucanknot

#endif  // SRC_FORWARD_STALL_MONITOR_H_
