#include "src/http/server_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
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
// Buffer space for pipelined requests after the one being read.
constexpr size_t kReadAheadBytes = 16 << 10;
constexpr size_t kFirstReadBytes = 512;
// How long a closing connection waits for the client to close, and how many
// received bytes it discards meanwhile.
constexpr std::chrono::milliseconds kDiscardTime{500};
constexpr size_t kDiscardBytes = 1 << 20;

std::chrono::milliseconds ToChrono(Duration d) {
  return std::chrono::milliseconds(d.ms());
}

HttpResponse RejectionResponse(int status, const std::string& why) {
  HttpResponse response = TextResponse(status, why);
  response.fields.Add(kVerdictHeader,
                      std::string(VerdictName(Verdict::kNotRun)));
  return response;
}

// Checks rules that the parser does not enforce. Returns the error status for
// an invalid header, 0 for a valid one.
int HeaderErrorStatus(const http::request<http::string_body>& in) {
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

bool HasUnread(tcp::socket& socket) {
  char byte = 0;
  return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

}  // namespace

ServerConnection::ServerConnection(std::shared_ptr<ListenerState> state,
                                   tcp::socket socket,
                                   ClosedHook on_closed)
    : state_(std::move(state)),
      on_closed_(std::move(on_closed)),
      stream_(std::move(socket)),
      buffer_(state_->limits.max_header_bytes + kReadAheadBytes),
      read_timer_(stream_.get_executor()),
      wake_up_(stream_.get_executor()) {
  beast::error_code ec;
  const auto remote = stream_.socket().remote_endpoint(ec);
  if (!ec)
    remote_ip_ = remote.address().to_string();
}

void ServerConnection::Start() {
  asio::co_spawn(
      stream_.get_executor(),
      [self = shared_from_this()] { return self->Read(); }, asio::detached);
}

void ServerConnection::Interrupt(bool force) {
  asio::post(stream_.get_executor(), [self = shared_from_this(), force] {
    // Requests that have arrived but were not read yet are still served.
    if (force || (self->awaiting_ && self->exchanges_.empty() &&
                  !HasUnread(self->stream_.socket()))) {
      self->Close();
    }
  });
}

void ServerConnection::Close() {
  stream_.close();
  read_timer_.cancel();
  wake_up_.Notify();
}

asio::awaitable<void> ServerConnection::Read() {
  while (co_await ReadOne()) {
  }
  if (!client_left_ && stream_.socket().is_open())
    co_await Discard();
  // The last responses may not be written yet.
  while (!exchanges_.empty() && stream_.socket().is_open())
    co_await wake_up_.Wait();
  DropExchanges();
  beast::error_code ec;
  stream_.socket().shutdown(tcp::socket::shutdown_send, ec);
  Close();
  on_closed_(this);
}

asio::awaitable<bool> ServerConnection::ReadOne() {
  if (!co_await AwaitFirstByte())
    co_return false;
  const auto exchange = std::make_shared<Exchange>();
  Parser parser;
  parser.header_limit(state_->limits.max_header_bytes);
  parser.body_limit(boost::none);
  StartReadLimit(ReadPhase::kHeader);
  auto [ec, n] =
      co_await http::async_read_header(stream_, buffer_, parser, kAwait);
  if (ec) {
    FailRead(ec, exchange);
    co_return false;
  }
  exchange->version = parser.get().version();
  if (const int status = HeaderErrorStatus(parser.get())) {
    ++state_->malformed;
    Reject(status, "the request's header is malformed", exchange);
    co_return false;
  }
  const int64_t room = BodyRoom(parser);
  if (room < 0) {
    ++state_->too_large;
    Reject(413, "the request's body is too large", exchange);
    co_return false;
  }
  if (!state_->Reserve(room)) {
    Reject(503, "no memory for the request's body", exchange);
    co_return false;
  }
  exchange->reserved = room;
  StartReadLimit(ReadPhase::kBody);
  if (beast::iequals(parser.get()[http::field::expect], "100-continue") &&
      !co_await SendContinue(exchange->version)) {
    state_->Release(exchange->reserved);
    co_return false;
  }
  beast::error_code body_ec;
  const BodyRead read = co_await ReadBody(parser, *exchange, body_ec);
  if (read != BodyRead::kDone) {
    state_->Release(std::exchange(exchange->reserved, 0));
    if (read == BodyRead::kNoRoom)
      Reject(503, "no memory for the request's body", exchange);
    else
      FailRead(body_ec, exchange);
    co_return false;
  }
  exchange->keep_alive = parser.get().keep_alive();
  exchange->head = parser.get().method() == http::verb::head;
  HttpRequest request = FromBeast(parser.release());
  request.remote_ip = remote_ip_;
  request.connected_at = connected_at_;
  request.began_at = began_at_;
  request.caller = exchange->caller = std::make_shared<CallerWatch>();
  exchange->may_overlap = state_->may_overlap && state_->may_overlap(request);
  if (!co_await AwaitTurn(*exchange)) {
    state_->Release(exchange->reserved);
    co_return false;
  }
  ++state_->requests;
  state_->overlapping += exchanges_.empty() ? 0 : 1;
  exchanges_.push_back(exchange);
  asio::co_spawn(
      stream_.get_executor(),
      [self = shared_from_this(), exchange, it = std::move(request)]() mutable {
        return self->ServeRequest(exchange, std::move(it));
      },
      asio::detached);
  co_return exchange->keep_alive;
}

asio::awaitable<bool> ServerConnection::AwaitFirstByte() {
  began_at_ = SteadyNow();
  if (buffer_.size() > 0)
    co_return true;
  // Idle connections keep only a small buffer.
  buffer_.shrink_to_fit();
  awaiting_ = true;
  StartReadLimit(ReadPhase::kIdle);
  auto [ec, n] = co_await stream_.async_read_some(
      buffer_.prepare(kFirstReadBytes), kAwait);
  awaiting_ = false;
  began_at_ = SteadyNow();
  buffer_.commit(n);
  if (ec)
    OnClientLeft();
  co_return !ec;
}

Duration ServerConnection::TimeLimitOf(ReadPhase phase) const {
  switch (phase) {
    case ReadPhase::kIdle:
      return Duration(state_->idle_ms.load());
    case ReadPhase::kHeader:
      return Duration(state_->header_ms.load());
    case ReadPhase::kBody:
      return state_->limits.body;
  }
  return Duration::Max();
}

void ServerConnection::StartReadLimit(ReadPhase phase) {
  // The stream's own timer is not used, because it would close the socket even
  // while responses are pending.
  stream_.expires_never();
  phase_ = phase;
  read_by_ = SteadyNow() + TimeLimitOf(phase);
  ArmReadTimer();
}

void ServerConnection::ArmReadTimer() {
  if (timer_at_ <= read_by_ || !stream_.socket().is_open())
    return;
  timer_at_ = read_by_;
  read_timer_.expires_after(
      ToChrono(std::max(read_by_ - SteadyNow(), Duration(1))));
  read_timer_.async_wait([self = shared_from_this()](beast::error_code ec) {
    if (ec)
      return;
    self->timer_at_ = Instant::Never();
    self->OnReadTimer();
  });
}

void ServerConnection::OnReadTimer() {
  if (SteadyNow() < read_by_) {
    ArmReadTimer();
    return;
  }
  // The time limit restarts when the last response has been written.
  if (!exchanges_.empty())
    return;
  state_->timed_out += phase_ == ReadPhase::kIdle ? 0 : 1;
  Close();
}

int64_t ServerConnection::BodyRoom(Parser& parser) const {
  const uint64_t limit = state_->body_limit(parser.get().target());
  parser.body_limit(limit);
  if (const auto length = parser.content_length())
    return *length > limit ? -1 : static_cast<int64_t>(*length);
  return 0;
}

asio::awaitable<ServerConnection::BodyRead>
ServerConnection::ReadBody(Parser& parser, Exchange& exchange, ErrorCode& ec) {
  while (!parser.is_done()) {
    stream_.expires_never();
    auto [err, n] =
        co_await http::async_read_some(stream_, buffer_, parser, kAwait);
    ec = err;
    if (ec)
      co_return BodyRead::kFailed;
    const int64_t missing =
        static_cast<int64_t>(parser.get().body().size()) - exchange.reserved;
    if (missing <= 0)
      continue;
    if (!state_->Reserve(missing))
      co_return BodyRead::kNoRoom;
    exchange.reserved += missing;
  }
  co_return BodyRead::kDone;
}

asio::awaitable<bool> ServerConnection::SendContinue(unsigned version) {
  // It must not be interleaved with an earlier response.
  while (!exchanges_.empty() && stream_.socket().is_open())
    co_await wake_up_.Wait();
  http::response<http::empty_body> continue_response(http::status::continue_,
                                                     version);
  stream_.expires_after(ToChrono(state_->limits.body));
  auto [ec, n] = co_await http::async_write(stream_, continue_response, kAwait);
  co_return !ec;
}

asio::awaitable<bool> ServerConnection::AwaitTurn(const Exchange& exchange) {
  while (!IsItsTurn(exchange)) {
    // A pending response closes the connection, or the client is gone.
    if (closing_ || client_left_)
      co_return false;
    ReadAhead();
    co_await wake_up_.Wait();
  }
  ++read_ahead_;
  co_return !closing_ && stream_.socket().is_open();
}

bool ServerConnection::IsItsTurn(const Exchange& exchange) const {
  if (exchanges_.empty() || !stream_.socket().is_open())
    return true;
  return !state_->stopping && exchange.may_overlap &&
         exchanges_.back()->may_overlap && exchanges_.size() < kMaxPipelined;
}

void ServerConnection::ReadAhead() {
  const size_t room = buffer_.max_size() - buffer_.size();
  if (room == 0)
    return;
  // The wait may outlast AwaitTurn(). The handler then must not read, because
  // the reader has continued; `read_ahead_` has changed in that case.
  stream_.socket().async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this(), n = ++read_ahead_](beast::error_code ec) {
        if (ec || n != self->read_ahead_)
          return;
        const size_t max_bytes = std::min(
            kReadAheadBytes, self->buffer_.max_size() - self->buffer_.size());
        const auto to = self->buffer_.prepare(max_bytes);
        const ssize_t received = ::recv(self->stream_.socket().native_handle(),
                                        to.data(), to.size(), MSG_DONTWAIT);
        if (received > 0)
          self->buffer_.commit(static_cast<size_t>(received));
        else if (received == 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
          self->OnClientLeft();
        // Wakes AwaitTurn(), which calls ReadAhead() again.
        self->wake_up_.Notify();
      });
}

asio::awaitable<void> ServerConnection::Discard() {
  std::string sink(kFirstReadBytes, '\0');
  for (size_t total = 0; total < kDiscardBytes;) {
    stream_.expires_never();
    auto [ec, n] = co_await stream_.async_read_some(asio::buffer(sink), kAwait);
    if (ec) {
      OnClientLeft();
      co_return;
    }
    sink.resize(kReadAheadBytes);
    total += n;
    discarding_ = true;
  }
}

void ServerConnection::FailRead(ErrorCode ec, const ExchangePtr& exchange) {
  if (ec == http::error::header_limit) {
    ++state_->too_large;
    Reject(431, "the request's header is too large", exchange);
    return;
  }
  if (ec == http::error::body_limit) {
    ++state_->too_large;
    Reject(413, "the request's body is too large", exchange);
    return;
  }
  if (ec.category() ==
          http::make_error_code(http::error::bad_method).category() &&
      ec != http::error::end_of_stream && ec != http::error::partial_message) {
    ++state_->malformed;
    Reject(400, "the request is malformed: " + ec.message(), exchange);
    return;
  }
  OnClientLeft();
}

void ServerConnection::Reject(int status,
                              const std::string& why,
                              const ExchangePtr& exchange) {
  exchange->response = RejectionResponse(status, why);
  exchange->keep_alive = false;
  // The client may still send the rest of the request.
  discarding_ = true;
  exchanges_.push_back(exchange);
  asio::co_spawn(
      stream_.get_executor(),
      [self = shared_from_this()] { return self->Flush(); }, asio::detached);
}

asio::awaitable<void> ServerConnection::ServeRequest(ExchangePtr exchange,
                                                     HttpRequest request) {
  exchange->response = co_await Handle(std::move(request));
  co_await Flush();
}

asio::awaitable<HttpResponse> ServerConnection::Handle(HttpRequest request) {
  std::string failure;
  try {
    co_return co_await state_->handler(std::move(request));
  } catch (const std::exception& e) {
    failure = e.what();
  }
  HttpResponse response =
      TextResponse(500, "the host failed to handle the request: " + failure);
  response.fields.Add(kVerdictHeader,
                      std::string(VerdictName(Verdict::kUnknown)));
  co_return response;
}

asio::awaitable<void> ServerConnection::Flush() {
  if (writing_ || closing_)
    co_return;
  writing_ = true;
  while (!closing_ && !exchanges_.empty() && exchanges_.front()->response) {
    const ExchangePtr exchange = exchanges_.front();
    const bool last = exchanges_.size() == 1;
    const bool keep_alive = exchange->keep_alive && !(state_->stopping && last);
    closing_ = !keep_alive;
    const bool written = co_await Write(*exchange, keep_alive);
    closing_ = closing_ || !written;
    if (!exchanges_.empty() && exchanges_.front() == exchange)
      exchanges_.pop_front();
    state_->Release(std::exchange(exchange->reserved, 0));
    wake_up_.Notify();
    if (exchanges_.empty()) {
      read_by_ = SteadyNow() + TimeLimitOf(phase_);
      ArmReadTimer();
    }
  }
  writing_ = false;
  if (closing_)
    Finish();
}

asio::awaitable<bool> ServerConnection::Write(Exchange& exchange,
                                              bool keep_alive) {
  // The response stays reserved until it has been written.
  const auto memory = exchange.response->memory;
  auto out = ToBeast(std::move(*exchange.response), exchange.version);
  out.keep_alive(keep_alive);
  if (out.result_int() != 204 && out.result_int() != 304) {
    if (!exchange.head || out.find(http::field::content_length) == out.end())
      out.content_length(out.body().size());
  }
  if (exchange.head)
    out.body().clear();
  http::response_serializer<http::string_body> serializer(out);
  while (!serializer.is_done()) {
    stream_.expires_after(ToChrono(state_->limits.write));
    auto [ec, n] = co_await http::async_write_some(stream_, serializer, kAwait);
    if (ec)
      co_return false;
  }
  co_return true;
}

void ServerConnection::Finish() {
  beast::error_code ec;
  stream_.socket().shutdown(tcp::socket::shutdown_send, ec);
  if (client_left_ || (!discarding_ && buffer_.size() == 0)) {
    Close();
    return;
  }
  // Closing a socket with unread bytes sends a reset, which may make the client
  // lose responses that it has not read yet.
  read_timer_.expires_after(kDiscardTime);
  read_timer_.async_wait([self = shared_from_this()](beast::error_code err) {
    if (!err)
      self->Close();
  });
}

void ServerConnection::OnClientLeft() {
  client_left_ = true;
  for (const ExchangePtr& it : exchanges_) {
    if (it->caller && !it->response)
      it->caller->Leave();
  }
}

void ServerConnection::DropExchanges() {
  OnClientLeft();
  for (const ExchangePtr& it : exchanges_)
    state_->Release(std::exchange(it->reserved, 0));
  exchanges_.clear();
}

}  // namespace toucanknot
