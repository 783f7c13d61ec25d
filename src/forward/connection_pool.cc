#include "src/forward/connection_pool.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdlib>
#include <deque>
#include <map>
#include <utility>

#include "src/http/beast_messages.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr size_t kMaxBufferBytes = 128 << 10;
constexpr uint32_t kMaxResponseHeaderBytes = 64 << 10;
// Keep-alive time when the peer states no limit: well under the shortest
// default of common servers, 5 s.
constexpr Duration kDefaultIdle{4'000};
constexpr int64_t kDefaultBufferedBytes = 1LL << 30;
// Requests whose ids a connection remembers.
constexpr size_t kMaxCarried = 32;
// Maximum number of idle connections to one endpoint per worker.
constexpr size_t kMaxIdlePerEndpoint = 8;

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

}  // namespace

class ConnectionPool::Impl {
 public:
  explicit Impl(asio::io_context& loop) : loop_(loop) {}

  static asio::awaitable<ExchangeResult> Run(std::shared_ptr<Impl> self,
                                             Endpoint endpoint,
                                             HttpRequest request,
                                             ExchangeOptions options) {
    co_return co_await self->Exchange(std::move(endpoint), std::move(request),
                                      std::move(options));
  }
  void CloseIdle(Duration idle);

  ConnectionLimit limit;
  int64_t max_buffered_bytes = kDefaultBufferedBytes;
  ConnectionPoolCounts Counts() const {
    return {counts_.opened,         counts_.reused,        counts_.discarded,
            counts_.connect_failed, counts_.surplus_bytes, counts_.endless,
            counts_.buffered_bytes};
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
    std::atomic<int64_t> buffered_bytes{0};
  };

  asio::awaitable<ExchangeResult> Exchange(Endpoint endpoint,
                                           HttpRequest request,
                                           ExchangeOptions options);
  // An open connection. Notifies the connection limit when it is destroyed.
  struct Connection {
    Connection(Impl& owner, Endpoint to)
        : pool(owner), endpoint(std::move(to)), stream(owner.loop_) {}
    ~Connection() {
      // Close explicitly: asio's destructor would do an orderly close and
      // ignore the linger option.
      stream.close();
      if (pool.limit)
        pool.limit(endpoint, -1);
    }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    Impl& pool;
    const Endpoint endpoint;
    beast::tcp_stream stream;
    beast::flat_buffer buffer{kMaxBufferBytes};
    Instant last_used;
    // The peer may close the connection when it has been idle until then.
    Instant idle_until = Instant::Never();
    bool used = false;
    // The `id_hash` of the last requests.
    std::deque<uint64_t> carried;
  };
  using ConnectionPtr = std::unique_ptr<Connection>;

  // Returns a usable idle connection, or null.
  ConnectionPtr AcquireIdle(const Endpoint& endpoint,
                            const ExchangeOptions& options);
  static bool HasCarried(const Connection& connection, uint64_t id_hash);
  // Whether the peer has closed the connection or sent unexpected bytes.
  bool IsUnusable(Connection& connection);
  asio::awaitable<ConnectionPtr> Open(const Endpoint& endpoint,
                                      const ExchangeOptions& options,
                                      ExchangeResult& result);
  // A request being sent; outlives the exchange if the response arrives first.
  struct Sending {
    explicit Sending(http::request<http::string_body> r)
        : request(std::move(r)) {}

    http::request<http::string_body> request;
    bool done = false;
    beast::error_code ec;
    size_t bytes = 0;
  };
  static std::shared_ptr<Sending> StartSending(
      Connection& connection,
      http::request<http::string_body> request);
  // Accounts for the memory of a response body while it is read.
  struct BodyMemory {
    explicit BodyMemory(AtomicCounts& counts) : total(counts.buffered_bytes) {}
    ~BodyMemory() { total -= bytes; }
    BodyMemory(const BodyMemory&) = delete;
    BodyMemory& operator=(const BodyMemory&) = delete;

    void Set(int64_t n) {
      total += n - bytes;
      bytes = n;
    }

    std::atomic<int64_t>& total;
    int64_t bytes = 0;
  };
  // Reads the body of a response whose header has been read.
  asio::awaitable<beast::error_code> ReadBody(
      Connection& connection,
      http::response_parser<http::string_body>& parser);
  // Reads responses up to the one to this request, into `result.response`.
  asio::awaitable<beast::error_code> ReadResponse(
      Connection& connection,
      bool head,
      const ExchangeOptions& options,
      ExchangeResult& result,
      bool& reusable);
  asio::awaitable<void> SendAndReceive(Connection& connection,
                                       http::request<http::string_body> request,
                                       const ExchangeOptions& options,
                                       ExchangeResult& result,
                                       bool& reusable);
  static void SetDeadline(Connection& connection,
                          const ExchangeOptions& options);

  asio::io_context& loop_;
  AtomicCounts counts_;
  std::map<Endpoint, std::deque<ConnectionPtr>> idle_;
};

ConnectionPool::Impl::ConnectionPtr ConnectionPool::Impl::AcquireIdle(
    const Endpoint& endpoint,
    const ExchangeOptions& options) {
  auto& list = idle_[endpoint];
  const Instant now = SteadyNow();
  // The most recently used connection is the most likely to be alive.
  for (size_t i = list.size(); i-- > 0;) {
    const auto at = list.begin() + static_cast<ptrdiff_t>(i);
    Connection& connection = **at;
    if (now >= connection.idle_until || IsUnusable(connection)) {
      ++counts_.discarded;
      list.erase(at);
      continue;
    }
    // The remaining ones are older still.
    if (now - connection.last_used > options.fresh_for)
      return nullptr;
    if (options.id_hash != 0 && HasCarried(connection, options.id_hash))
      continue;
    ConnectionPtr it = std::move(*at);
    list.erase(at);
    return it;
  }
  return nullptr;
}

bool ConnectionPool::Impl::HasCarried(const Connection& connection,
                                      uint64_t id_hash) {
  return std::find(connection.carried.begin(), connection.carried.end(),
                   id_hash) != connection.carried.end();
}

bool ConnectionPool::Impl::IsUnusable(Connection& connection) {
  char byte = 0;
  const ssize_t n = ::recv(connection.stream.socket().native_handle(), &byte, 1,
                           MSG_PEEK | MSG_DONTWAIT);
  if (n > 0)
    ++counts_.surplus_bytes;
  return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

asio::awaitable<ConnectionPool::Impl::ConnectionPtr> ConnectionPool::Impl::Open(
    const Endpoint& endpoint,
    const ExchangeOptions& options,
    ExchangeResult& result) {
  if (limit && !limit(endpoint, +1)) {
    result.error = "the connection limit is reached";
    co_return nullptr;
  }
  auto connection = std::make_unique<Connection>(*this, endpoint);
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
  const int silent_ms = static_cast<int>(options.silent_after.ms());
  ::setsockopt(connection->stream.socket().native_handle(), IPPROTO_TCP,
               TCP_USER_TIMEOUT, &silent_ms, sizeof silent_ms);
  co_return connection;
}

void ConnectionPool::Impl::SetDeadline(Connection& connection,
                                       const ExchangeOptions& options) {
  if (options.deadline == Instant::Never()) {
    connection.stream.expires_never();
    return;
  }
  const Duration left = std::max(options.deadline - SteadyNow(), Duration(0));
  connection.stream.expires_after(std::chrono::milliseconds(left.ms()));
}

std::shared_ptr<ConnectionPool::Impl::Sending>
ConnectionPool::Impl::StartSending(Connection& connection,
                                   http::request<http::string_body> request) {
  auto sending = std::make_shared<Sending>(std::move(request));
  http::async_write(connection.stream, sending->request,
                    [sending](beast::error_code ec, size_t n) {
                      sending->done = true;
                      sending->ec = ec;
                      sending->bytes = n;
                    });
  return sending;
}

asio::awaitable<beast::error_code> ConnectionPool::Impl::ReadBody(
    Connection& connection,
    http::response_parser<http::string_body>& parser) {
  BodyMemory body_memory(counts_);
  while (!parser.is_done()) {
    auto [ec, n] = co_await http::async_read_some(
        connection.stream, connection.buffer, parser, kAwait);
    // A response without a length ends when its connection closes.
    if (ec == http::error::end_of_stream && parser.is_done())
      break;
    if (ec)
      co_return ec;
    body_memory.Set(static_cast<int64_t>(parser.get().body().size()));
    if (counts_.buffered_bytes > max_buffered_bytes)
      co_return http::error::body_limit;
  }
  co_return beast::error_code{};
}

asio::awaitable<beast::error_code> ConnectionPool::Impl::ReadResponse(
    Connection& connection,
    bool head,
    const ExchangeOptions& options,
    ExchangeResult& result,
    bool& reusable) {
  for (int other_responses = 0; other_responses <= options.max_other_responses;
       ++other_responses) {
    http::response_parser<http::string_body> parser;
    parser.header_limit(kMaxResponseHeaderBytes);
    parser.body_limit(options.max_answer_bytes);
    parser.skip(head);
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
    if (const beast::error_code ec = co_await ReadBody(connection, parser)) {
      co_return ec;
    }
    // A response without a length ends when its connection closes; if the
    // connection was reset, reading failed above.
    reusable = reusable && parser.get().keep_alive() && !parser.need_eof();
    const bool last = parser.need_eof();
    result.response = FromBeast(parser.release());
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
    Connection& connection,
    http::request<http::string_body> request,
    const ExchangeOptions& options,
    ExchangeResult& result,
    bool& reusable) {
  const bool head = request.method() == http::verb::head;
  SetDeadline(connection, options);
  // Read the response while the body is being sent: it may arrive before the
  // body ends.
  const auto sending = StartSending(connection, std::move(request));
  reusable = true;
  const beast::error_code ec =
      co_await ReadResponse(connection, head, options, result, reusable);
  if (ec) {
    reusable = false;
    if (IsEndless(ec))
      ++counts_.endless;
    const bool unsent = sending->done && sending->ec && sending->bytes == 0;
    result.end = unsent ? AttemptEnd::kNotSent : ToAttemptEnd(ec);
    result.error = (result.response_started ? "the response was incomplete: "
                                            : "no response: ") +
                   ec.message();
    co_return;
  }
  counts_.surplus_bytes += connection.buffer.size();
  reusable = reusable && connection.buffer.size() == 0 && sending->done &&
             !sending->ec;
  result.end = AttemptEnd::kAnswered;
}

asio::awaitable<ExchangeResult> ConnectionPool::Impl::Exchange(
    Endpoint endpoint,
    HttpRequest request,
    ExchangeOptions options) {
  ExchangeResult result;
  ConnectionPtr connection;
  if (!options.new_connection)
    connection = AcquireIdle(endpoint, options);
  if (connection)
    ++counts_.reused;
  else
    connection = co_await Open(endpoint, options, result);
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
  bool reusable = false;
  co_await SendAndReceive(*connection, ToBeast(std::move(request)), options,
                          result, reusable);
  const Instant now = SteadyNow();
  result.took = now - start;
  auto& list = idle_[endpoint];
  if (reusable && list.size() < kMaxIdlePerEndpoint) {
    connection->used = true;
    connection->last_used = now;
    connection->idle_until = now + ReuseTime(result.response);
    connection->stream.expires_never();
    list.push_back(std::move(connection));
  }
  co_return result;
}

void ConnectionPool::Impl::CloseIdle(Duration idle) {
  const Instant now = SteadyNow();
  for (auto& [endpoint, list] : idle_) {
    while (!list.empty() && now - list.front()->last_used > idle) {
      list.pop_front();
      ++counts_.discarded;
    }
  }
}

ConnectionPool::ConnectionPool(asio::io_context& loop)
    : impl_(std::make_shared<Impl>(loop)) {}

ConnectionPool::~ConnectionPool() = default;

void ConnectionPool::set_connection_limit(ConnectionLimit limit) {
  impl_->limit = std::move(limit);
}

void ConnectionPool::set_max_buffered_bytes(int64_t bytes) {
  impl_->max_buffered_bytes = bytes;
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
  impl_->CloseIdle(idle);
}

ConnectionPoolCounts ConnectionPool::counts() const {
  return impl_->Counts();
}

}  // namespace toucanknot
