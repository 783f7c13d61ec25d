#include "src/forward/stall_monitor.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

#include "src/http/one_shot.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Shorter than the time after which the kernel breaks a connection with a
// closed window.
constexpr Duration kInterval{200};

enum class WindowState { kOpen, kClosed, kClosedAndHeard };

WindowState ReadWindowState(PooledConnection& connection,
                            Duration silent_after) {
  const int socket = connection.stream.socket().native_handle();
  tcp_info info{};
  socklen_t size = sizeof info;
  int unsent_bytes = 0;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
      ::ioctl(socket, SIOCOUTQNSD, &unsent_bytes) != 0) {
    return WindowState::kOpen;
  }
  // Data that is not sent while none is in flight waits for the window.
  if (info.tcpi_unacked > 0 || unsent_bytes == 0)
    return WindowState::kOpen;
  return Duration(info.tcpi_last_ack_recv) < silent_after
             ? WindowState::kClosedAndHeard
             : WindowState::kClosed;
}

// Whether the peer accepts or refuses a connection within `limit`.
asio::awaitable<bool> Responds(const Endpoint& endpoint, Duration limit) {
  boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(std::chrono::milliseconds(limit.ms()));
  const tcp::endpoint address(asio::ip::make_address(endpoint.ip),
                              endpoint.port);
  auto [ec] = co_await stream.async_connect(
      address, asio::as_tuple(asio::use_awaitable));
  co_return !ec || ec == asio::error::connection_refused ||
      ec == asio::error::connection_reset;
}

}  // namespace

void SetUserTimeout(PooledConnection& connection, Duration timeout) {
  const int ms = static_cast<int>(timeout.ms());
  ::setsockopt(connection.stream.socket().native_handle(), IPPROTO_TCP,
               TCP_USER_TIMEOUT, &ms, sizeof ms);
}

asio::awaitable<void> MonitorStalls(PooledConnectionPtr connection,
                                    std::shared_ptr<const bool> ended,
                                    Duration silent_after) {
  const auto is_over = [&] {
    return *ended || !connection->stream.socket().is_open();
  };
  bool timeout_off = false;
  for (;;) {
    co_await SleepFor(std::min(kInterval, silent_after / 4));
    if (is_over())
      break;
    const WindowState state = ReadWindowState(*connection, silent_after);
    const bool closed = state != WindowState::kOpen;
    if (closed != timeout_off) {
      SetUserTimeout(*connection, closed ? Duration(0) : silent_after);
      timeout_off = closed;
    }
    if (state != WindowState::kClosed)
      continue;
    const bool responds = co_await Responds(connection->endpoint, silent_after);
    if (is_over())
      break;
    if (!responds) {
      connection->BreakSilent();
      co_return;
    }
  }
  if (timeout_off && connection->stream.socket().is_open())
    SetUserTimeout(*connection, silent_after);
}

}  // namespace toucanknot
