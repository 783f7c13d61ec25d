#include "src/http/arrival_time.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace toucanknot {

Instant ArrivalTime(int socket, Instant now) {
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
    return now;
  return now - Duration(info.tcpi_last_data_recv);
}

}  // namespace toucanknot
