#ifndef SRC_HTTP_SEND_WINDOW_H_
#define SRC_HTTP_SEND_WINDOW_H_

#include <cstdint>
#include <optional>

#include "include/base/clock.h"

namespace toucanknot {

// State of the sending half of a TCP socket, as the kernel reports it.

// If data is waiting because the peer's receive window is closed, the time
// since the peer's last acknowledgement.
std::optional<Duration> SilenceAtClosedWindow(int socket);
// The number of bytes that were written and that the peer has not acknowledged;
// empty if the kernel does not tell.
std::optional<int64_t> UnacknowledgedBytes(int socket);
// Whether the peer has not acknowledged everything that was written, or it is
// not known.
bool HasUnacknowledged(int socket);

}  // namespace toucanknot

#endif  // SRC_HTTP_SEND_WINDOW_H_
