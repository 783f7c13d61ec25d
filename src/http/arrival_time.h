#ifndef SRC_HTTP_ARRIVAL_TIME_H_
#define SRC_HTTP_ARRIVAL_TIME_H_

#include "include/base/clock.h"

namespace toucanknot {

// When the kernel received the last bytes on a connected TCP socket, to be
// called when they are read. Earlier than `now` if the process was held up, or
// if the bytes waited until the connection was accepted. Returns `now` if the
// kernel does not tell.
Instant ArrivalTime(int socket, Instant now);

}  // namespace toucanknot

#endif  // SRC_HTTP_ARRIVAL_TIME_H_
