#include "src/forward/pooled_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>

namespace toucanknot {

bool PooledConnection::IsUnusable(uint64_t& surplus) {
  char byte = 0;
  const ssize_t n = ::recv(stream.socket().native_handle(), &byte, 1,
                           MSG_PEEK | MSG_DONTWAIT);
  surplus = n > 0 ? 1 : 0;
  return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void PooledConnection::BreakSilent() {
  is_silent_ = true;
  boost::system::error_code ignored;
  stream.socket().shutdown(boost::asio::socket_base::shutdown_both, ignored);
}

bool PooledConnection::EndedCleanly() {
  if (is_silent_)
    return false;
  const int socket = stream.socket().native_handle();
  int error = 0;
  socklen_t size = sizeof error;
  if (::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
      error != 0) {
    return false;
  }
  // The error of a reset is reported once only, and may have gone to a write.
  // After a reset the socket is in the closed state; after an orderly close by
  // the peer it is not, since this side has not closed.
  tcp_info info{};
  size = sizeof info;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
    return true;
  return info.tcpi_state != TCP_CLOSE;
}

}  // namespace toucanknot
