#include "src/forward/stall_monitor.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <optional>
#include <utility>

#include "src/http/one_shot.h"
#include "src/http/send_window.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Fractions (1/n) of the time after which a silent peer counts as gone: the
// interval at which the window is looked at, and the silence after which the
// peer is asked.
constexpr int64_t kIntervalDivisor = 8;
constexpr int64_t kAskDivisor = 2;

// Whether the peer accepts or refuses a connection within `limit`.
asio::awaitable<bool> Responds(Endpoint endpoint, Duration limit) {
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
  connection.user_timeout = timeout;
  const int ms = static_cast<int>(timeout.ms());
  ::setsockopt(connection.stream.socket().native_handle(), IPPROTO_TCP,
               TCP_USER_TIMEOUT, &ms, sizeof ms);
}

asio::awaitable<void> MonitorStalls(PooledConnectionPtr connection,
                                    std::shared_ptr<const bool> ended,
                                    Duration silent_after,
                                    CheckLimit limit) {
  const auto is_over = [&] {
    return *ended || !connection->stream.socket().is_open();
  };
  const Duration interval(
      std::max<int64_t>(silent_after.ms() / kIntervalDivisor, 1));
  bool timeout_off = false;
  // When the peer last responded to a check.
  Instant responded_at;
  for (;;) {
    co_await SleepFor(interval);
    if (is_over())
      co_return;
    const std::optional<Duration> acked_ago =
        SilenceAtClosedWindow(connection->stream.socket().native_handle());
    if (acked_ago.has_value() != timeout_off) {
      timeout_off = acked_ago.has_value();
      SetUserTimeout(*connection, timeout_off ? Duration(0) : silent_after);
    }
    if (!acked_ago)
      continue;
    const Duration silence = std::min(*acked_ago, SteadyNow() - responded_at);
    if (silence < silent_after / kAskDivisor || !limit(+1))
      continue;
    // The whole second half is left for the answer when this process was held
    // up.
    const bool responds = co_await Responds(
        connection->endpoint, std::max(silent_after - silence,
                                       silent_after / kAskDivisor - interval));
    limit(-1);
    if (is_over())
      co_return;
    const std::optional<Duration> now =
        SilenceAtClosedWindow(connection->stream.socket().native_handle());
    if (responds) {
      responded_at = SteadyNow();
    } else if (now && *now >= silent_after - interval) {
      connection->BreakSilent();
      co_return;
    }
  }
}

}  // namespace toucanknot
