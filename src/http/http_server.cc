#include "src/http/http_server.h"

#include <sys/socket.h>

#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <mutex>
#include <optional>
#include <unordered_set>
#include <utility>

#include "include/base/verdict.h"
#include "src/http/beast_messages.h"
#include "src/http/headers.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
// Room for pipelined requests behind the one that is read.
constexpr size_t kReadAheadBytes = 16 << 10;

std::chrono::milliseconds Chrono(Duration d) {
  return std::chrono::milliseconds(d.ms());
}

HttpResponse Refusal(int status, const std::string& why) {
  HttpResponse response = TextResponse(status, why);
  response.fields.Add(kVerdictHeader,
                      std::string(VerdictName(Verdict::kNotRun)));
  return response;
}

// What is wrong with a header that the parser let pass; 0 when nothing is.
int HeaderFault(const http::request<http::string_body>& in) {
  const auto te = in.equal_range(http::field::transfer_encoding);
  if (te.first != te.second) {
    if (in.version() < 11)
      return 400;
    if (std::next(te.first) != te.second ||
        !beast::iequals(te.first->value(), "chunked"))
      return 501;
  }
  if (in.version() >= 11 && in.count(http::field::host) != 1)
    return 400;
  return 0;
}

}  // namespace

// The listening socket and the set of its connections.
class HttpServer::Listener
    : public std::enable_shared_from_this<HttpServer::Listener> {
 public:
  Listener(WorkerPool& workers,
           HttpServerLimits limits,
           BodyLimit body_limit,
           Handler handler)
      : workers_(workers),
        limits_(limits),
        body_limit_(std::move(body_limit)),
        handler_(std::move(handler)),
        idle_ms_(limits.idle.ms()),
        header_ms_(limits.header.ms()),
        acceptor_(std::in_place, workers.loop(0)) {}

  Endpoint Listen(const Endpoint& endpoint);
  void BeginStop() { stopping_ = true; }
  void StopAccepting();
  void Abort();
  void SetTimeouts(Duration idle, Duration header) {
    idle_ms_ = idle.ms();
    header_ms_ = header.ms();
  }
  // Closes all sockets in this thread; the workers must have been stopped.
  void Release();
  WorkerPool& workers() { return workers_; }
  HttpServerCounts Counts() const;

 private:
  // One client's connection. Used by its worker only, but for Interrupt().
  class Connection;

  asio::awaitable<void> AcceptLoop();
  void Adopt(tcp::socket socket);
  void Forget(Connection* connection);
  // Reserves memory for a body; false when there is no room.
  bool Reserve(int64_t bytes);

  WorkerPool& workers_;
  const HttpServerLimits limits_;
  const BodyLimit body_limit_;
  const Handler handler_;
  // Set by any thread, read by the workers.
  std::atomic<int64_t> idle_ms_;
  std::atomic<int64_t> header_ms_;
  // Nothing once the listener is released.
  std::optional<tcp::acceptor> acceptor_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> accepting_{false};

  std::atomic<uint64_t> accepted_{0};
  std::atomic<uint64_t> refused_connections_{0};
  std::atomic<uint64_t> requests_{0};
  std::atomic<uint64_t> malformed_{0};
  std::atomic<uint64_t> too_large_{0};
  std::atomic<uint64_t> timed_out_{0};
  std::atomic<int64_t> buffered_bytes_{0};

  mutable std::mutex mutex_;
  std::unordered_set<std::shared_ptr<Connection>> connections_;
};

class HttpServer::Listener::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<Listener> owner, tcp::socket socket)
      : owner_(std::move(owner)),
        stream_(std::move(socket)),
        buffer_(owner_->limits_.max_header_bytes + kReadAheadBytes) {}

  void Start() {
    asio::co_spawn(
        stream_.get_executor(),
        [self = shared_from_this()] { return self->Run(); }, asio::detached);
  }

  // Closes the connection: if it is idle, or in any case when `force` is set.
  // May be called from any thread.
  void Interrupt(bool force) {
    asio::post(stream_.get_executor(), [self = shared_from_this(), force] {
      if (force || self->idle_)
        self->Close();
    });
  }

  // On its worker, or when the workers have been stopped.
  void Close() { stream_.close(); }

 private:
  using Parser = http::request_parser<http::string_body>;

  asio::awaitable<void> Run() {
    while (co_await ServeOne()) {
    }
    beast::error_code ec;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ec);
    owner_->Forget(this);
  }

  // Returns whether the connection stays open.
  asio::awaitable<bool> ServeOne() {
    if (!co_await AwaitFirstByte())
      co_return false;
    Parser parser;
    parser.header_limit(owner_->limits_.max_header_bytes);
    parser.body_limit(boost::none);
    stream_.expires_after(std::chrono::milliseconds(owner_->header_ms_.load()));
    auto [ec, n] =
        co_await http::async_read_header(stream_, buffer_, parser, kAwait);
    if (ec)
      co_return co_await FailRead(ec, 11);
    const unsigned version = parser.get().version();
    if (const int fault = HeaderFault(parser.get())) {
      ++owner_->malformed_;
      co_return co_await Refuse(fault, "the request's header is malformed",
                                version);
    }
    const int64_t room = BodyRoom(parser);
    if (room < 0) {
      ++owner_->too_large_;
      co_return co_await Refuse(413, "the request's body is too large",
                                version);
    }
    if (!owner_->Reserve(room)) {
      co_return co_await Refuse(503, "no memory for the request's body",
                                version);
    }
    reserved_ = room;
    const bool open = co_await ReadAndAnswer(parser, version);
    owner_->buffered_bytes_ -= std::exchange(reserved_, 0);
    co_return open;
  }

  asio::awaitable<bool> AwaitFirstByte() {
    began_at_ = SteadyNow();
    if (buffer_.size() > 0)
      co_return true;
    // An idle connection keeps no more than a small buffer.
    buffer_.shrink_to_fit();
    idle_ = true;
    stream_.expires_after(std::chrono::milliseconds(owner_->idle_ms_.load()));
    auto [ec, n] = co_await stream_.async_read_some(
        buffer_.prepare(kFirstReadBytes), kAwait);
    idle_ = false;
    began_at_ = SteadyNow();
    buffer_.commit(n);
    co_return !ec;
  }

  // The bytes to reserve for the body; negative when it is over the limit.
  int64_t BodyRoom(Parser& parser) {
    const uint64_t limit = owner_->body_limit_(parser.get().target());
    parser.body_limit(limit);
    if (const auto length = parser.content_length()) {
      return *length > limit ? -1 : static_cast<int64_t>(*length);
    }
    return 0;
  }

  // Reads the rest of the message. A body without a stated length reserves
  // memory as it grows; kNoRoom when there is none left.
  enum class BodyRead { kDone, kNoRoom, kFailed };
  asio::awaitable<BodyRead> ReadBody(Parser& parser, beast::error_code& ec) {
    while (!parser.is_done()) {
      auto [err, n] =
          co_await http::async_read_some(stream_, buffer_, parser, kAwait);
      ec = err;
      if (ec)
        co_return BodyRead::kFailed;
      const int64_t missing =
          static_cast<int64_t>(parser.get().body().size()) - reserved_;
      if (missing <= 0)
        continue;
      if (!owner_->Reserve(missing))
        co_return BodyRead::kNoRoom;
      reserved_ += missing;
    }
    co_return BodyRead::kDone;
  }

  asio::awaitable<bool> ReadAndAnswer(Parser& parser, unsigned version) {
    stream_.expires_after(Chrono(owner_->limits_.body));
    if (beast::iequals(parser.get()[http::field::expect], "100-continue") &&
        !co_await SendContinue(version)) {
      co_return false;
    }
    beast::error_code ec;
    const BodyRead read = co_await ReadBody(parser, ec);
    if (read == BodyRead::kFailed)
      co_return co_await FailRead(ec, version);
    if (read == BodyRead::kNoRoom) {
      co_return co_await Refuse(503, "no memory for the request's body",
                                version);
    }
    ++owner_->requests_;
    const bool keep_alive = parser.get().keep_alive();
    const bool head = parser.get().method() == http::verb::head;
    stream_.expires_never();
    HttpResponse response = co_await Handle(parser.release());
    co_return co_await Write(std::move(response), version, keep_alive, head);
  }

  asio::awaitable<HttpResponse> Handle(
      http::request<http::string_body> request) {
    beast::error_code ec;
    const auto remote = stream_.socket().remote_endpoint(ec);
    std::string failure;
    try {
      HttpRequest whole = FromBeast(std::move(request));
      whole.remote_ip = ec ? "" : remote.address().to_string();
      whole.connected_at = connected_at_;
      whole.began_at = began_at_;
      whole.caller = std::make_shared<CallerWatch>();
      WatchCaller(whole.caller);
      HttpResponse response = co_await owner_->handler_(std::move(whole));
      StopWatching();
      co_return response;
    } catch (const std::exception& e) {
      failure = e.what();
    }
    StopWatching();
    HttpResponse response =
        TextResponse(500, "the host failed on this request: " + failure);
    response.fields.Add(kVerdictHeader,
                        std::string(VerdictName(Verdict::kUnknown)));
    co_return response;
  }

  // Notes when the other side closes while its request is worked on. Stops at
  // bytes of a next request: what follows them cannot be seen without reading
  // them.
  void WatchCaller(std::shared_ptr<CallerWatch> watch) {
    if (buffer_.size() > 0)
      return;
    watch_ = std::move(watch);
    stream_.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(), seen = watch_](beast::error_code ec) {
          if (ec || self->watch_ != seen)
            return;
          char byte = 0;
          const ssize_t n = ::recv(self->stream_.socket().native_handle(),
                                   &byte, 1, MSG_PEEK | MSG_DONTWAIT);
          if (n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK))
            seen->Leave();
        });
  }

  void StopWatching() {
    if (!watch_)
      return;
    watch_.reset();
    beast::error_code ec;
    stream_.socket().cancel(ec);
  }

  asio::awaitable<bool> SendContinue(unsigned version) {
    http::response<http::empty_body> go_on(http::status::continue_, version);
    auto [ec, n] = co_await http::async_write(stream_, go_on, kAwait);
    co_return !ec;
  }

  asio::awaitable<bool> FailRead(beast::error_code ec, unsigned version) {
    if (ec == http::error::header_limit) {
      ++owner_->too_large_;
      co_return co_await Refuse(431, "the request's header is too large",
                                version);
    }
    if (ec == http::error::body_limit) {
      ++owner_->too_large_;
      co_return co_await Refuse(413, "the request's body is too large",
                                version);
    }
    if (ec == beast::error::timeout) {
      ++owner_->timed_out_;
      co_return false;
    }
    if (ec.category() ==
            http::make_error_code(http::error::bad_method).category() &&
        ec != http::error::end_of_stream &&
        ec != http::error::partial_message) {
      ++owner_->malformed_;
      co_return co_await Refuse(
          400, "the request is malformed: " + ec.message(), version);
    }
    co_return false;
  }

  // Answers and closes.
  asio::awaitable<bool> Refuse(int status, std::string why, unsigned version) {
    co_await Write(Refusal(status, why), version, false, false);
    co_await Discard();
    co_return false;
  }

  // Reads on for a moment, so that the refusal is not lost to a reset.
  asio::awaitable<void> Discard() {
    beast::error_code ec;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ec);
    stream_.expires_after(kDiscardTime);
    std::string sink(kReadAheadBytes, '\0');
    for (size_t total = 0; total < kDiscardBytes;) {
      auto [err, n] =
          co_await stream_.async_read_some(asio::buffer(sink), kAwait);
      if (err)
        co_return;
      total += n;
    }
  }

  asio::awaitable<bool> Write(HttpResponse response,
                              unsigned version,
                              bool keep_alive,
                              bool head) {
    auto out = ToBeast(std::move(response), version);
    keep_alive = keep_alive && !owner_->stopping_;
    out.keep_alive(keep_alive);
    if (out.result_int() != 204 && out.result_int() != 304) {
      if (!head || out.find(http::field::content_length) == out.end())
        out.content_length(out.body().size());
    }
    if (head)
      out.body().clear();
    http::response_serializer<http::string_body> serializer(out);
    while (!serializer.is_done()) {
      stream_.expires_after(Chrono(owner_->limits_.write));
      auto [ec, n] =
          co_await http::async_write_some(stream_, serializer, kAwait);
      if (ec)
        co_return false;
    }
    co_return keep_alive;
  }

  static constexpr std::chrono::milliseconds kDiscardTime{500};
  static constexpr size_t kDiscardBytes = 1 << 20;
  static constexpr size_t kFirstReadBytes = 512;

  const std::shared_ptr<Listener> owner_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  const Instant connected_at_ = SteadyNow();
  // When the first byte of the request at hand was read.
  Instant began_at_;
  // Memory that its body has reserved.
  int64_t reserved_ = 0;
  // Set while the request at hand is worked on.
  std::shared_ptr<CallerWatch> watch_;
  bool idle_ = false;
};

Endpoint HttpServer::Listener::Listen(const Endpoint& endpoint) {
  const tcp::endpoint address(asio::ip::make_address(endpoint.ip),
                              endpoint.port);
  acceptor_->open(address.protocol());
  acceptor_->set_option(asio::socket_base::reuse_address(true));
  acceptor_->bind(address);
  acceptor_->listen();
  accepting_ = true;
  asio::co_spawn(
      acceptor_->get_executor(),
      [self = shared_from_this()] { return self->AcceptLoop(); },
      asio::detached);
  return {endpoint.ip, acceptor_->local_endpoint().port()};
}

asio::awaitable<void> HttpServer::Listener::AcceptLoop() {
  while (accepting_) {
    auto [ec, socket] =
        co_await acceptor_->async_accept(workers_.Next(), kAwait);
    if (ec == asio::error::operation_aborted)
      co_return;
    if (ec) {
      // Out of descriptors, most likely: give connections time to end.
      asio::steady_timer pause(acceptor_->get_executor(),
                               std::chrono::milliseconds(50));
      co_await pause.async_wait(kAwait);
      continue;
    }
    Adopt(std::move(socket));
  }
}

void HttpServer::Listener::Adopt(tcp::socket socket) {
  beast::error_code ec;
  socket.set_option(tcp::no_delay(true), ec);
  std::shared_ptr<Connection> connection;
  {
    const std::lock_guard lock(mutex_);
    if (static_cast<int>(connections_.size()) >= limits_.max_connections) {
      ++refused_connections_;
      return;
    }
    connection =
        std::make_shared<Connection>(shared_from_this(), std::move(socket));
    connections_.insert(connection);
  }
  ++accepted_;
  connection->Start();
}

void HttpServer::Listener::Forget(Connection* connection) {
  const std::shared_ptr<Connection> keep = connection->shared_from_this();
  const std::lock_guard lock(mutex_);
  connections_.erase(keep);
}

bool HttpServer::Listener::Reserve(int64_t bytes) {
  if (buffered_bytes_.fetch_add(bytes) + bytes <= limits_.max_buffered_bytes)
    return true;
  buffered_bytes_ -= bytes;
  return false;
}

void HttpServer::Listener::StopAccepting() {
  BeginStop();
  if (!accepting_.exchange(false))
    return;
  asio::post(acceptor_->get_executor(), [self = shared_from_this()] {
    beast::error_code ec;
    self->acceptor_->cancel(ec);
    self->acceptor_->non_blocking(true, ec);
    for (;;) {
      tcp::socket socket(self->workers_.Next());
      self->acceptor_->accept(socket, ec);
      if (ec)
        break;
      self->Adopt(std::move(socket));
    }
    self->acceptor_->close(ec);
    const std::lock_guard lock(self->mutex_);
    for (const auto& it : self->connections_)
      it->Interrupt(false);
  });
}

void HttpServer::Listener::Abort() {
  BeginStop();
  accepting_ = false;
  asio::post(acceptor_->get_executor(), [self = shared_from_this()] {
    beast::error_code ec;
    self->acceptor_->close(ec);
  });
  const std::lock_guard lock(mutex_);
  for (const auto& it : connections_)
    it->Interrupt(true);
}

void HttpServer::Listener::Release() {
  acceptor_.reset();
  const std::lock_guard lock(mutex_);
  for (const auto& it : connections_)
    it->Close();
  connections_.clear();
}

HttpServerCounts HttpServer::Listener::Counts() const {
  HttpServerCounts counts;
  counts.accepted = accepted_;
  counts.refused_connections = refused_connections_;
  counts.requests = requests_;
  counts.malformed = malformed_;
  counts.too_large = too_large_;
  counts.timed_out = timed_out_;
  counts.buffered_bytes = buffered_bytes_;
  const std::lock_guard lock(mutex_);
  counts.open_connections = static_cast<int64_t>(connections_.size());
  return counts;
}

HttpServer::HttpServer(WorkerPool& workers,
                       HttpServerLimits limits,
                       BodyLimit body_limit,
                       Handler handler)
    : listener_(std::make_shared<Listener>(workers,
                                           limits,
                                           std::move(body_limit),
                                           std::move(handler))) {}

HttpServer::~HttpServer() {
  if (listener_->workers().stopped())
    listener_->Release();
  else
    listener_->Abort();
}

Endpoint HttpServer::Listen(const Endpoint& endpoint) {
  return listener_->Listen(endpoint);
}

void HttpServer::BeginStop() {
  listener_->BeginStop();
}

void HttpServer::StopAccepting() {
  listener_->StopAccepting();
}

void HttpServer::Abort() {
  listener_->Abort();
}

void HttpServer::SetTimeouts(Duration idle, Duration header) {
  listener_->SetTimeouts(idle, header);
}

int64_t HttpServer::OpenConnections() const {
  return listener_->Counts().open_connections;
}

HttpServerCounts HttpServer::Counts() const {
  return listener_->Counts();
}

}  // namespace toucanknot
