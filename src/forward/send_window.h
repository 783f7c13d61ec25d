#ifndef SRC_FORWARD_SEND_WINDOW_H_
#define SRC_FORWARD_SEND_WINDOW_H_

#include <optional>

#include "include/base/clock.h"

namespace toucanknot {

// State of the sending half of a TCP socket, as the kernel reports it.

// If data is waiting because the peer's receive window is closed, the time
// since the peer's last acknowledgement.
std::optional<Duration> SilenceAtClosedWindow(int socket);
// Whether the peer has not acknowledged everything that was written.
bool HasUnacknowledged(int socket);

}  // namespace toucanknot

#endif  // SRC_FORWARD_SEND_WINDOW_H_
