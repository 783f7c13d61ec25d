#include "src/forward/connection_pool.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/http/span_body.hpp>
#include <cstdlib>
#include <utility>

#include "src/forward/idle_connections.h"
#include "src/forward/response_head.h"
#include "src/forward/stall_monitor.h"
#include "src/http/beast_messages.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
// A request whose body is owned elsewhere.
using OutRequest = http::request<http::span_body<const char>>;
using ResponseParser = http::response_parser<http::string_body>;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr uint32_t kMaxResponseHeaderBytes = 64 << 10;
// Keep-alive time when the peer states no limit: well under the shortest
// default of common servers, 5 s.
constexpr Duration kDefaultIdle{4'000};
constexpr int64_t kDefaultBufferedBytes = 1LL << 30;
// Requests whose ids a connection remembers.
constexpr size_t kMaxCarried = 32;
// Space for a body beyond what one read can add.
constexpr size_t kMinBodyGrowth = 2 * PooledConnection::kMaxBufferBytes;

AttemptEnd ToAttemptEnd(const beast::error_code& ec) {
  if (ec == beast::error::timeout)
    return AttemptEnd::kTimedOut;
  if (ec == asio::error::operation_aborted)
    return AttemptEnd::kCancelled;
  return AttemptEnd::kBroken;
}

// Whether a response was aborted because of its size or number: the limits of
// headers and bodies, of chunk headers, and of responses to other requests.
bool IsEndless(const beast::error_code& ec) {
  return ec == http::error::header_limit || ec == http::error::body_limit ||
         ec == http::error::buffer_overflow || ec == http::error::bad_status;
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

OutRequest ToOutRequest(const HttpRequest& request, const std::string& body) {
  OutRequest out;
  out.version(11);
  out.method_string(request.method);
  out.target(request.target);
  for (const HttpField& it : request.fields.all())
    out.insert(it.name, it.value);
  out.body() = {body.data(), body.size()};
  if (NeedsLength(request, body.size()))
    out.content_length(body.size());
  return out;
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

// What the fields of the message take; see FieldMemory().
int64_t FieldMemoryOf(const http::fields& fields) {
  size_t count = 0;
  size_t bytes = 0;
  for (const auto& it : fields) {
    ++count;
    bytes += it.name_string().size() + it.value().size();
  }
  return FieldMemory(count, bytes);
}

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
    return {counts_.opened,        counts_.reused,
            counts_.discarded,     counts_.connect_failed,
            counts_.surplus_bytes, counts_.endless,
            counts_.mixed_heads,   memory->reserved(MemoryUse::kResponse),
            counts_.idle};
  }
  // Copies the counts of the idle connections, which other threads may read.
  void UpdateIdleCounts();

  ConnectionLimit limit;
  size_t max_connections = SIZE_MAX;
  std::shared_ptr<MemoryAccount> memory = AccountFor(kDefaultBufferedBytes);

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
    std::atomic<uint64_t> surplus_responses{0};
    std::atomic<uint64_t> endless{0};
    std::atomic<uint64_t> mixed_heads{0};
    std::atomic<uint64_t> idle{0};
  };
  // A request being sent; outlives the exchange if the response arrives first.
  struct Sending {
    Sending(const HttpRequest& r, std::shared_ptr<const std::string> b)
        : body(std::move(b)), request(ToOutRequest(r, *body)) {}

    const std::shared_ptr<const std::string> body;
    OutRequest request;
    bool done = false;
    beast::error_code ec;
    size_t bytes = 0;
  };
  using SendingPtr = std::shared_ptr<Sending>;

  asio::awaitable<ExchangeResult> Exchange(Endpoint endpoint,
                                           HttpRequest request,
                                           ExchangeOptions options);
  asio::awaitable<PooledConnectionPtr> Open(const Endpoint& endpoint,
                                            const ExchangeOptions& options,
                                            ExchangeResult& result);
  static SendingPtr StartSending(PooledConnectionPtr connection,
                                 const HttpRequest& request,
                                 const ExchangeOptions& options);
  // Reads the body of a response whose header has been read. Grows the body
  // itself, since a string that grows by itself holds two copies uncounted.
  static asio::awaitable<beast::error_code> ReadBody(
      PooledConnection& connection,
      ResponseParser& parser,
      MemoryReservation& memory);
  static bool GrowBody(ResponseParser& parser, MemoryReservation& memory);
  // Reads responses up to the one to this request, into `result.response`.
  asio::awaitable<beast::error_code> ReadResponse(
      PooledConnection& connection,
      const SendingPtr& sending,
      const ExchangeOptions& options,
      ExchangeResult& result,
      bool& reusable);
  // Whether both halves of a connection whose end ends a response are without
  // error.
  static asio::awaitable<bool> EndedCleanly(PooledConnection& connection,
                                            SendingPtr sending);
  asio::awaitable<void> SendAndReceive(PooledConnectionPtr connection,
                                       HttpRequest request,
                                       const ExchangeOptions& options,
                                       ExchangeResult& result,
                                       bool& reusable);
  static void SetDeadline(PooledConnection& connection,
                          const ExchangeOptions& options);

  asio::io_context& loop_;
  AtomicCounts counts_;
  IdleConnections idle_;
  // Connections that exist, idle ones included.
  size_t open_ = 0;
};

void ConnectionPool::Impl::UpdateIdleCounts() {
  counts_.idle = idle_.size();
  counts_.discarded = idle_.discarded();
}

asio::awaitable<PooledConnectionPtr> ConnectionPool::Impl::Open(
    const Endpoint& endpoint,
    const ExchangeOptions& options,
    ExchangeResult& result) {
  if (open_ >= max_connections && !idle_.CloseOldest()) {
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
        --self->open_;
        if (self->limit)
          self->limit(endpoint, -1);
      });
  ++open_;
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
  SetUserTimeout(*connection, options.silent_after);
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

ConnectionPool::Impl::SendingPtr ConnectionPool::Impl::StartSending(
    PooledConnectionPtr connection,
    const HttpRequest& request,
    const ExchangeOptions& options) {
  auto sending = std::make_shared<Sending>(
      request, options.body
                   ? options.body
                   : std::make_shared<const std::string>(request.body));
  PooledConnection& it = *connection;
  // The write may go on after the exchange has ended; it keeps both alive.
  http::async_write(it.stream, sending->request,
                    [sending, connection = std::move(connection)](
                        beast::error_code ec, size_t n) {
                      sending->done = true;
                      sending->ec = ec;
                      sending->bytes = n;
                    });
  return sending;
}

bool ConnectionPool::Impl::GrowBody(ResponseParser& parser,
                                    MemoryReservation& memory) {
  std::string& body = parser.get().body();
  if (body.capacity() - body.size() >= PooledConnection::kMaxBufferBytes)
    return true;
  const int64_t others = memory.bytes() - static_cast<int64_t>(body.capacity());
  const size_t capacity = body.size() + std::max(body.size(), kMinBodyGrowth);
  if (!memory.Resize(memory.bytes() + static_cast<int64_t>(capacity)))
    return false;
  body.reserve(capacity);
  return memory.Resize(others + static_cast<int64_t>(body.capacity()));
}

asio::awaitable<beast::error_code> ConnectionPool::Impl::ReadBody(
    PooledConnection& connection,
    ResponseParser& parser,
    MemoryReservation& memory) {
  const auto length = parser.content_length();
  if (length && !memory.Resize(memory.bytes() + static_cast<int64_t>(*length)))
    co_return http::error::body_limit;
  while (!parser.is_done()) {
    if (!length && !GrowBody(parser, memory))
      co_return http::error::body_limit;
    auto [ec, n] = co_await http::async_read_some(
        connection.stream, connection.buffer, parser, kAwait);
    // A response without a length ends when its connection closes.
    if (ec == http::error::end_of_stream && parser.is_done())
      break;
    if (ec)
      co_return ec;
  }
  co_return beast::error_code{};
}

asio::awaitable<bool> ConnectionPool::Impl::EndedCleanly(
    PooledConnection& connection,
    SendingPtr sending) {
  // Lets a write that ended with the same event report its error.
  co_await asio::post(co_await asio::this_coro::executor, asio::use_awaitable);
  co_return !(sending->done && sending->ec) && connection.EndedCleanly();
}

asio::awaitable<beast::error_code> ConnectionPool::Impl::ReadResponse(
    PooledConnection& connection,
    const SendingPtr& sending,
    const ExchangeOptions& options,
    ExchangeResult& result,
    bool& reusable) {
  for (int other_responses = 0; other_responses <= options.max_other_responses;
       ++other_responses) {
    ResponseParser parser;
    parser.header_limit(kMaxResponseHeaderBytes);
    parser.body_limit(options.max_answer_bytes);
    parser.skip(sending->request.method() == http::verb::head);
    auto [header_ec, n] = co_await http::async_read_header(
        connection.stream, connection.buffer, parser, kAwait);
    // A partial header stays in the buffer and is not counted in `n`.
    result.response_started =
        result.response_started || n > 0 || connection.buffer.size() > 0;
    if (header_ec)
      co_return header_ec;
    // Skip interim responses (1xx).
    if (parser.get().result_int() / 100 == 1)
      continue;
    result.error = FindHeadProblem(parser.get().reason(), parser.get(),
                                   options.single_fields);
    if (!result.error.empty()) {
      ++counts_.mixed_heads;
      co_return http::error::bad_value;
    }
    const auto reserved =
        std::make_shared<MemoryReservation>(memory, MemoryUse::kResponse);
    if (!reserved->Resize(FieldMemoryOf(parser.get())))
      co_return http::error::header_limit;
    if (const beast::error_code ec =
            co_await ReadBody(connection, parser, *reserved)) {
      co_return ec;
    }
    reusable = reusable && parser.get().keep_alive() && !parser.need_eof();
    const bool last = parser.need_eof();
    if (last && !co_await EndedCleanly(connection, sending))
      co_return asio::error::connection_reset;
    result.response = FromBeast(parser.release());
    result.response.memory = reserved;
    if (!options.is_own_response || options.is_own_response(result.response))
      co_return beast::error_code{};
    ++counts_.surplus_responses;
    reusable = false;
    if (last)
      co_return http::error::end_of_stream;
  }
  co_return http::error::bad_status;
}

asio::awaitable<void> ConnectionPool::Impl::SendAndReceive(
    PooledConnectionPtr connection,
    HttpRequest request,
    const ExchangeOptions& options,
    ExchangeResult& result,
    bool& reusable) {
  SetDeadline(*connection, options);
  // Read the response while the body is being sent: it may arrive before the
  // body ends.
  const SendingPtr sending = StartSending(connection, request, options);
  const auto ended = std::make_shared<bool>(false);
  if (sending->body->size() >= kMonitoredRequestBytes) {
    asio::co_spawn(loop_,
                   MonitorStalls(connection, ended, options.silent_after),
                   asio::detached);
  }
  reusable = true;
  const beast::error_code ec =
      co_await ReadResponse(*connection, sending, options, result, reusable);
  *ended = true;
  if (ec) {
    reusable = false;
    if (IsEndless(ec))
      ++counts_.endless;
    const bool unsent = sending->done && sending->ec && sending->bytes == 0;
    result.end = unsent ? AttemptEnd::kNotSent : ToAttemptEnd(ec);
    result.response = {};
    result.error = (result.response_started ? "the response was incomplete: "
                                            : "no response: ") +
                   (result.error.empty() ? ec.message() : result.error);
    co_return;
  }
  counts_.surplus_bytes += connection->buffer.size();
  reusable = reusable && connection->buffer.size() == 0 && sending->done &&
             !sending->ec;
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
  result.reused = connection->used;
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
    connection->used = true;
    connection->last_used = now;
    connection->idle_until = now + ReuseTime(result.response);
    connection->stream.expires_never();
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
  impl_->memory = Impl::AccountFor(bytes);
}

void ConnectionPool::set_memory(std::shared_ptr<MemoryAccount> account) {
  impl_->memory = std::move(account);
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
