#include "src/http/send_window.h"

#include <linux/sockios.h>
// Has the peer's window in tcp_info, in contrast to netinet/tcp.h.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace toucanknot {

std::optional<Duration> SilenceAtClosedWindow(int socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  int unsent_bytes = 0;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
      ::ioctl(socket, SIOCOUTQNSD, &unsent_bytes) != 0) {
    return std::nullopt;
  }
  // Nothing is in flight while data is unsent: the window has no room for it.
  const bool waiting = unsent_bytes > 0 && info.tcpi_unacked == 0;
  // The peer has closed its window over data in flight, whose retransmissions
  // then serve as window probes.
  const bool shrunk = info.tcpi_unacked > 0 && info.tcpi_snd_wnd == 0;
  if (!waiting && !shrunk)
    return std::nullopt;
  return Duration(info.tcpi_last_ack_recv);
}

std::optional<int64_t> UnacknowledgedBytes(int socket) {
  int bytes = 0;
  if (::ioctl(socket, SIOCOUTQ, &bytes) != 0)
    return std::nullopt;
  return bytes;
}

bool HasUnacknowledged(int socket) {
  return UnacknowledgedBytes(socket) != 0;
}

}  // namespace toucanknot
