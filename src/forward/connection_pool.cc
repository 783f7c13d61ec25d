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
constexpr uint32_t kMaxAnswerHeaderBytes = 64 << 10;
// A connection attempt that takes longer has failed.
constexpr Duration kConnectLimit{1'000};
// Idle connections kept to one endpoint by one worker.
constexpr size_t kMaxIdlePerEndpoint = 8;

AttemptEnd EndOf(const beast::error_code& ec) {
  if (ec == beast::error::timeout)
    return AttemptEnd::kTimedOut;
  if (ec == asio::error::operation_aborted)
    return AttemptEnd::kCancelled;
  return AttemptEnd::kBroken;
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
  ConnectionPoolCounts Counts() const {
    return {counts_.opened, counts_.reused, counts_.discarded,
            counts_.connect_failed, counts_.surplus_bytes};
  }

 private:
  // Written by the worker, read by any thread.
  struct AtomicCounts {
    std::atomic<uint64_t> opened{0};
    std::atomic<uint64_t> reused{0};
    std::atomic<uint64_t> discarded{0};
    std::atomic<uint64_t> connect_failed{0};
    std::atomic<uint64_t> surplus_bytes{0};
  };

  asio::awaitable<ExchangeResult> Exchange(Endpoint endpoint,
                                           HttpRequest request,
                                           ExchangeOptions options);
  // An open connection. Tells the limit when it goes.
  struct Connection {
    Connection(Impl& owner, Endpoint to)
        : pool(owner), endpoint(std::move(to)), stream(owner.loop_) {}
    ~Connection() {
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
    bool used = false;
  };
  using ConnectionPtr = std::unique_ptr<Connection>;

  // An idle connection that may serve, or nothing.
  ConnectionPtr TakeIdle(const Endpoint& endpoint, Duration fresh_for);
  // Whether the other side has closed it or sent what nobody asked for.
  bool IsSpoilt(Connection& connection);
  asio::awaitable<ConnectionPtr> Open(const Endpoint& endpoint,
                                      const ExchangeOptions& options,
                                      ExchangeResult& result);
  asio::awaitable<void> SendAndReceive(Connection& connection,
                                       http::request<http::string_body> request,
                                       const ExchangeOptions& options,
                                       ExchangeResult& result,
                                       bool& reusable);
  static void Arm(Connection& connection, const ExchangeOptions& options);

  asio::io_context& loop_;
  AtomicCounts counts_;
  std::map<Endpoint, std::deque<ConnectionPtr>> idle_;
};

ConnectionPool::Impl::ConnectionPtr ConnectionPool::Impl::TakeIdle(
    const Endpoint& endpoint,
    Duration fresh_for) {
  auto& list = idle_[endpoint];
  const Instant now = SteadyNow();
  while (!list.empty()) {
    // The one used last is the likeliest to be alive.
    ConnectionPtr it = std::move(list.back());
    list.pop_back();
    if (IsSpoilt(*it)) {
      ++counts_.discarded;
      continue;
    }
    if (now - it->last_used > fresh_for) {
      // Not for this request; the others are older still.
      list.push_back(std::move(it));
      return nullptr;
    }
    return it;
  }
  return nullptr;
}

bool ConnectionPool::Impl::IsSpoilt(Connection& connection) {
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
      std::chrono::milliseconds(std::min(left, kConnectLimit).ms()));
  const tcp::endpoint address(asio::ip::make_address(endpoint.ip),
                              endpoint.port);
  auto [ec] = co_await connection->stream.async_connect(address, kAwait);
  if (ec) {
    ++counts_.connect_failed;
    result.error = "cannot connect: " + ec.message();
    if (ec == asio::error::operation_aborted)
      result.end = AttemptEnd::kCancelled;
    co_return nullptr;
  }
  ++counts_.opened;
  beast::error_code ignored;
  connection->stream.socket().set_option(tcp::no_delay(true), ignored);
  const int silent_ms = static_cast<int>(options.silent_after.ms());
  ::setsockopt(connection->stream.socket().native_handle(), IPPROTO_TCP,
               TCP_USER_TIMEOUT, &silent_ms, sizeof silent_ms);
  co_return connection;
}

void ConnectionPool::Impl::Arm(Connection& connection,
                               const ExchangeOptions& options) {
  if (options.deadline == Instant::Never()) {
    connection.stream.expires_never();
    return;
  }
  const Duration left = std::max(options.deadline - SteadyNow(), Duration(0));
  connection.stream.expires_after(std::chrono::milliseconds(left.ms()));
}

asio::awaitable<void> ConnectionPool::Impl::SendAndReceive(
    Connection& connection,
    http::request<http::string_body> request,
    const ExchangeOptions& options,
    ExchangeResult& result,
    bool& reusable) {
  const bool head = request.method() == http::verb::head;
  Arm(connection, options);
  auto [write_ec, written] =
      co_await http::async_write(connection.stream, request, kAwait);
  if (write_ec) {
    result.end = EndOf(write_ec);
    result.error = "cannot send: " + write_ec.message();
    co_return;
  }
  http::response_parser<http::string_body> parser;
  parser.header_limit(kMaxAnswerHeaderBytes);
  parser.body_limit(options.max_answer_bytes);
  parser.skip(head);
  // Interim answers (1xx) come before the one that counts.
  for (;;) {
    auto [ec, n] = co_await http::async_read_header(
        connection.stream, connection.buffer, parser, kAwait);
    // A header that broke off is left in the buffer, and not counted in `n`.
    result.answer_started =
        result.answer_started || n > 0 || connection.buffer.size() > 0;
    if (ec) {
      result.end = EndOf(ec);
      result.error = "no answer: " + ec.message();
      co_return;
    }
    if (parser.get().result_int() / 100 != 1)
      break;
    std::destroy_at(&parser);
    std::construct_at(&parser);
    parser.header_limit(kMaxAnswerHeaderBytes);
    parser.body_limit(options.max_answer_bytes);
    parser.skip(head);
  }
  auto [ec, n] = co_await http::async_read(connection.stream, connection.buffer,
                                           parser, kAwait);
  if (ec) {
    result.end = EndOf(ec);
    result.error = "the answer broke off: " + ec.message();
    co_return;
  }
  if (parser.need_eof()) {
    // Its end cannot be told from a break.
    result.end = AttemptEnd::kBroken;
    result.error = "the answer states no length";
    co_return;
  }
  counts_.surplus_bytes += connection.buffer.size();
  reusable = parser.get().keep_alive() && connection.buffer.size() == 0;
  result.end = AttemptEnd::kAnswered;
  result.response = FromBeast(parser.release());
}

asio::awaitable<ExchangeResult> ConnectionPool::Impl::Exchange(
    Endpoint endpoint,
    HttpRequest request,
    ExchangeOptions options) {
  ExchangeResult result;
  ConnectionPtr connection;
  if (!options.new_connection)
    connection = TakeIdle(endpoint, options.fresh_for);
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

asio::awaitable<ExchangeResult> ConnectionPool::Exchange(
    Endpoint endpoint,
    HttpRequest request,
    ExchangeOptions options) {
  // The exchange keeps the pool's state alive until its frame is gone.
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
