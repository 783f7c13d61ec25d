#ifndef SRC_FORWARD_STALL_MONITOR_H_
#define SRC_FORWARD_STALL_MONITOR_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>

#include "include/base/clock.h"
#include "src/forward/pooled_connection.h"

namespace toucanknot {

// Requests of at least this size are monitored: smaller ones fit into the
// receive buffer of a peer that does not read.
inline constexpr size_t kMonitoredRequestBytes = 16 << 10;

// Called with +1 before a check opens a connection to the peer and with -1
// after it is closed. Returns whether it may be opened.
using CheckLimit = std::function<bool(int change)>;

// Tells a peer that has stopped reading from one that is gone, while a request
// is sent, until `*ended` is set or the connection is closed.
//
// TCP_USER_TIMEOUT also breaks a connection whose receive window has been
// closed for that long, although the peer acknowledges every window probe. The
// kernel alone probes a closed window at growing intervals. While the window is
// closed, the timeout is therefore off, and a peer that has acknowledged
// nothing for half of `silent_after` is asked for another connection. It is
// alive if it accepts or refuses that one, or acknowledges something on this
// one, before the rest of `silent_after` is over; otherwise the connection is
// broken.
//
// Leaves the timeout off when the exchange ends while the window is closed; see
// SetUserTimeout().
boost::asio::awaitable<void> MonitorStalls(PooledConnectionPtr connection,
                                           std::shared_ptr<const bool> ended,
                                           Duration silent_after,
                                           CheckLimit limit);

// Sets the time without acknowledgements after which the kernel breaks the
// connection; zero disables it.
void SetUserTimeout(PooledConnection& connection, Duration timeout);

}  // namespace toucanknot

#endif  // SRC_FORWARD_STALL_MONITOR_H_
