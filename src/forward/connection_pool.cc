#include "src/forward/connection_pool.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <cstdlib>
#include <map>
#include <utility>

#include "src/forward/idle_connections.h"
#include "src/forward/request_sending.h"
#include "src/forward/response_reader.h"
#include "src/forward/stall_monitor.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
// Keep-alive time when the peer states no limit: well under the shortest
// default of common servers, 5 s.
constexpr Duration kDefaultIdle{4'000};
constexpr int64_t kDefaultBufferedBytes = 1LL << 30;
// Ids that a connection remembers: those of its last requests, and as many of
// refused ones. It is closed after one more refusal.
constexpr size_t kMaxCarried = 32;
// Fraction (1/n) of the connections that is left to peers with fewer than
// kFewConnections.
constexpr size_t kReserveDivisor = 8;
constexpr size_t kFewConnections = 4;

AttemptEnd ToAttemptEnd(const beast::error_code& ec, Instant deadline) {
  // At the deadline the timer of the write may close the connection first, and
  // the read then ends as aborted.
  if (ec == beast::error::timeout ||
      (ec == asio::error::operation_aborted && SteadyNow() >= deadline))
    return AttemptEnd::kTimedOut;
  if (ec == asio::error::operation_aborted)
    return AttemptEnd::kCancelled;
  return AttemptEnd::kBroken;
}

// How long a connection may be idle before reuse: 4/5 of the `timeout` in the
// Keep-Alive field of the response, so that a request and the close by the peer
// do not cross.
Duration ReuseTime(const HttpResponse& response) {
  const std::string_view field = response.fields.Get("Keep-Alive");
  const size_t at = field.find("timeout=");
  if (at == std::string_view::npos)
    return kDefaultIdle;
  const int64_t seconds = std::atoll(std::string(field.substr(at + 8)).c_str());
  return seconds > 0 ? Duration(seconds * 800) : kDefaultIdle;
}

// Enables TCP keep-alive probes, so that a connection whose peer is silent
// breaks after about three seconds.
void EnableKeepAlive(int socket) {
  const int on = 1;
  const int idle_s = 1;
  const int interval_s = 1;
  const int probes = 2;
  ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
  ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
               sizeof interval_s);
  ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
}

// Remembers the id of a request that `response` refuses. Returns whether the
// connection may carry another request.
bool NoteRefusal(PooledConnection& connection,
                 const ExchangeOptions& options,
                 const HttpResponse& response) {
  if (!options.is_refusal || !options.is_refusal(response))
    return true;
  if (options.id_hash == 0 || connection.refused.size() == kMaxCarried)
    return false;
  connection.refused.push_back(options.id_hash);
  return true;
}

// Closes a connection unless it is released.
class ConnectionCloser {
 public:
  explicit ConnectionCloser(PooledConnectionPtr connection)
      : connection_(std::move(connection)) {}
  ~ConnectionCloser() {
    if (connection_)
      connection_->stream.close();
  }
  ConnectionCloser(const ConnectionCloser&) = delete;
  ConnectionCloser& operator=(const ConnectionCloser&) = delete;

  void Release() { connection_.reset(); }

 private:
  PooledConnectionPtr connection_;
};

}  // namespace

class ConnectionPool::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(asio::io_context& loop) : loop_(loop) {}

  static asio::awaitable<ExchangeResult> Run(std::shared_ptr<Impl> self,
                                             Endpoint endpoint,
                                             HttpRequest request,
                                             ExchangeOptions options) {
    co_return co_await self->Exchange(std::move(endpoint), std::move(request),
                                      std::move(options));
  }

  IdleConnections& idle() { return idle_; }
  ConnectionPoolCounts Counts() const {
    return {counts_.opened,
            counts_.reused,
            counts_.discarded,
            counts_.connect_failed,
            counts_.surplus_bytes + counts_.surplus_idle,
            counts_.endless,
            counts_.mixed_heads,
            counts_.other_responses,
            counts_.evicted,
            memory->account()->reserved(MemoryUse::kResponse),
            counts_.idle};
  }
  // Copies the counts of the idle connections, which other threads may read.
  void UpdateIdleCounts();

  ConnectionLimit limit;
  size_t max_connections = SIZE_MAX;
  std::shared_ptr<ResponseMemory> memory =
      std::make_shared<ResponseMemory>(AccountFor(kDefaultBufferedBytes));

  static std::shared_ptr<MemoryAccount> AccountFor(int64_t bytes) {
    return std::make_shared<MemoryAccount>(
        MemoryAccount::Limits{bytes, {bytes, bytes, bytes}});
  }

 private:
  // Written by the worker thread, read by any thread.
  struct AtomicCounts {
    std::atomic<uint64_t> opened{0};
    std::atomic<uint64_t> reused{0};
    std::atomic<uint64_t> discarded{0};
    std::atomic<uint64_t> connect_failed{0};
    std::atomic<uint64_t> surplus_bytes{0};
    std::atomic<uint64_t> surplus_idle{0};
    std::atomic<uint64_t> endless{0};
    std::atomic<uint64_t> mixed_heads{0};
    std::atomic<uint64_t> other_responses{0};
    std::atomic<uint64_t> evicted{0};
    std::atomic<uint64_t> idle{0};
  };
  asio::awaitable<ExchangeResult> Exchange(Endpoint endpoint,
                                           HttpRequest request,
                                           ExchangeOptions options);
  asio::awaitable<PooledConnectionPtr> Open(const Endpoint& endpoint,
                                            const ExchangeOptions& options,
                                            ExchangeResult& result);
  asio::awaitable<void> SendAndReceive(PooledConnectionPtr connection,
                                       HttpRequest request,
                                       const ExchangeOptions& options,
                                       ExchangeResult& result,
                                       bool& reusable);
  static void SetDeadline(PooledConnection& connection,
                          const ExchangeOptions& options);
  // Counts the connections of stall checks. Returns whether one more may be
  // opened.
  bool CountCheck(int change);

  asio::io_context& loop_;
  AtomicCounts counts_;
  IdleConnections idle_;
  size_t OpenTo(const Endpoint& endpoint) const {
    const auto it = open_to_.find(endpoint);
    return it == open_to_.end() ? 0 : it->second;
  }
  void CountClosed(const Endpoint& endpoint);

  // Connections that exist, idle ones and those of stall checks included.
  size_t open_ = 0;
  // The same by peer, without those of stall checks.
  std::map<Endpoint, size_t> open_to_;
};

void ConnectionPool::Impl::CountClosed(const Endpoint& endpoint) {
  --open_;
  const auto it = open_to_.find(endpoint);
  if (--it->second == 0)
    open_to_.erase(it);
}

void ConnectionPool::Impl::UpdateIdleCounts() {
  counts_.idle = idle_.size();
  counts_.discarded = idle_.discarded();
  counts_.surplus_idle = idle_.surplus_bytes();
}

bool ConnectionPool::Impl::CountCheck(int change) {
  if (change > 0 && open_ >= max_connections && !idle_.CloseOldest())
    return false;
  open_ += static_cast<size_t>(change);
  return true;
}

asio::awaitable<PooledConnectionPtr> ConnectionPool::Impl::Open(
    const Endpoint& endpoint,
    const ExchangeOptions& options,
    ExchangeResult& result) {
  // The last ones are left to peers that have few, so that peers which keep all
  // of theirs do not cost the others.
  const size_t reserve = OpenTo(endpoint) < kFewConnections
                             ? 0
                             : max_connections / kReserveDivisor;
  if (open_ >= max_connections - reserve && !idle_.CloseOldest()) {
    result.error = "no descriptor is left for servers";
    co_return nullptr;
  }
  if (limit && !limit(endpoint, +1)) {
    result.error = "the connection limit is reached";
    co_return nullptr;
  }
  auto connection = std::make_shared<PooledConnection>(
      loop_, endpoint, [weak = weak_from_this(), endpoint] {
        const auto self = weak.lock();
        if (!self)
          return;
        self->CountClosed(endpoint);
        if (self->limit)
          self->limit(endpoint, -1);
      });
  ++open_;
  ++open_to_[endpoint];
  const Duration left = options.deadline - SteadyNow();
  connection->stream.expires_after(
      std::chrono::milliseconds(std::min(left, options.connect_limit).ms()));
  const tcp::endpoint address(asio::ip::make_address(endpoint.ip),
                              endpoint.port);
  const Instant start = SteadyNow();
  auto [ec] = co_await connection->stream.async_connect(address, kAwait);
  if (ec) {
    ++counts_.connect_failed;
    result.error = "cannot connect: " + ec.message();
    if (ec == asio::error::operation_aborted)
      result.end = AttemptEnd::kCancelled;
    co_return nullptr;
  }
  ++counts_.opened;
  result.connect_took = SteadyNow() - start;
  beast::error_code ignored;
  connection->stream.socket().set_option(tcp::no_delay(true), ignored);
  // Bytes of an abandoned request must not arrive after a network partition
  // heals. A reset on close discards unsent bytes; an orderly close would still
  // deliver them.
  connection->stream.socket().set_option(asio::socket_base::linger(true, 0),
                                         ignored);
  EnableKeepAlive(connection->stream.socket().native_handle());
  co_return connection;
}

void ConnectionPool::Impl::SetDeadline(PooledConnection& connection,
                                       const ExchangeOptions& options) {
  if (options.deadline == Instant::Never()) {
    connection.stream.expires_never();
    return;
  }
  const Duration left = std::max(options.deadline - SteadyNow(), Duration(0));
  connection.stream.expires_after(std::chrono::milliseconds(left.ms()));
}

asio::awaitable<void> ConnectionPool::Impl::SendAndReceive(
    PooledConnectionPtr connection,
    HttpRequest request,
    const ExchangeOptions& options,
    ExchangeResult& result,
    bool& reusable) {
  SetDeadline(*connection, options);
  if (connection->user_timeout != options.silent_after)
    SetUserTimeout(*connection, options.silent_after);
  // Read the response while the body is being sent: it may arrive before the
  // body ends.
  const RequestSendingPtr sending =
      RequestSending::Start(connection, request, options.body);
  const auto ended = std::make_shared<bool>(false);
  if (sending->body_bytes() >= kMonitoredRequestBytes) {
    asio::co_spawn(loop_,
                   MonitorStalls(connection, ended, options.silent_after,
                                 [weak = weak_from_this()](int change) {
                                   const auto self = weak.lock();
                                   return self && self->CountCheck(change);
                                 }),
                   asio::detached);
  }
  ResponseReader reader(connection, sending, options, memory);
  const beast::error_code ec = co_await reader.Read(result);
  *ended = true;
  if (reader.mixed_head())
    ++counts_.mixed_heads;
  counts_.other_responses += static_cast<uint64_t>(result.other_responses);
  if (ec) {
    if (reader.evicted())
      ++counts_.evicted;
    else if (ResponseReader::IsEndless(ec))
      ++counts_.endless;
    result.end = reader.evicted() ? AttemptEnd::kBroken
                                  : ToAttemptEnd(ec, options.deadline);
    if (sending->nothing_sent())
      result.end = AttemptEnd::kNotSent;
    result.response = {};
    result.error = (result.response_started ? "the response was incomplete: "
                                            : "no response: ") +
                   (result.error.empty() ? ec.message() : result.error);
    co_return;
  }
  counts_.surplus_bytes += connection->buffer.size();
  reusable = reader.reusable() && connection->buffer.size() == 0 &&
             sending->done() && !sending->failed() &&
             NoteRefusal(*connection, options, result.response);
  result.end = AttemptEnd::kAnswered;
}

asio::awaitable<ExchangeResult> ConnectionPool::Impl::Exchange(
    Endpoint endpoint,
    HttpRequest request,
    ExchangeOptions options) {
  ExchangeResult result;
  PooledConnectionPtr connection;
  if (!options.new_connection) {
    connection = idle_.Acquire(endpoint, {options.fresh_for, options.id_hash},
                               SteadyNow());
  }
  if (connection)
    ++counts_.reused;
  else
    connection = co_await Open(endpoint, options, result);
  UpdateIdleCounts();
  if (!connection)
    co_return result;
  if (options.before_first_byte && !options.before_first_byte()) {
    result.end = AttemptEnd::kCancelled;
    co_return result;
  }
  if (options.id_hash != 0) {
    connection->carried.push_back(options.id_hash);
    if (connection->carried.size() > kMaxCarried)
      connection->carried.pop_front();
  }
  result.earlier_requests = connection->requests++;
  const Instant start = SteadyNow();
  // Closes the connection also when the exchange is cancelled: a pending write
  // would keep it open.
  ConnectionCloser closer(connection);
  bool reusable = false;
  co_await SendAndReceive(connection, std::move(request), options, result,
                          reusable);
  const Instant now = SteadyNow();
  result.took = now - start;
  if (reusable) {
    closer.Release();
    connection->last_used = now;
    connection->idle_until = now + ReuseTime(result.response);
    connection->stream.expires_never();
    connection->buffer.shrink_to_fit();
    idle_.Keep(std::move(connection));
  }
  UpdateIdleCounts();
  co_return result;
}

ConnectionPool::ConnectionPool(asio::io_context& loop)
    : impl_(std::make_shared<Impl>(loop)) {}

ConnectionPool::~ConnectionPool() {
  // Exchanges may outlive the pool, but not what its owner refers to.
  impl_->limit = nullptr;
}

void ConnectionPool::set_connection_limit(ConnectionLimit limit) {
  impl_->limit = std::move(limit);
}

void ConnectionPool::set_max_buffered_bytes(int64_t bytes) {
  set_memory(Impl::AccountFor(bytes));
}

void ConnectionPool::set_memory(std::shared_ptr<MemoryAccount> account) {
  impl_->memory = std::make_shared<ResponseMemory>(std::move(account));
}

void ConnectionPool::set_max_connections(size_t n) {
  impl_->max_connections = n;
}

asio::awaitable<ExchangeResult> ConnectionPool::Exchange(
    Endpoint endpoint,
    HttpRequest request,
    ExchangeOptions options) {
  // The coroutine keeps the pool state alive until it ends.
  return Impl::Run(impl_, std::move(endpoint), std::move(request),
                   std::move(options));
}

void ConnectionPool::CloseIdle(Duration idle) {
  impl_->idle().CloseExpired(idle, SteadyNow());
  impl_->UpdateIdleCounts();
}

void ConnectionPool::CloseIdleTo(const Endpoint& endpoint) {
  impl_->idle().Close(endpoint);
  impl_->UpdateIdleCounts();
}

ConnectionPoolCounts ConnectionPool::counts() const {
  return impl_->Counts();
}

}  // namespace toucanknot
