// Reading heads and bodies of requests.
#include "src/http/server_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

#include "src/http/arrival_time.h"
#include "src/http/beast_messages.h"
#include "src/http/head_scanner.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
// Size of the read buffer for bodies.
constexpr size_t kBodyReadBytes = 16 << 10;
// Fraction (1/n) of the memory for responses: a connection with more in
// responses that are not written yet passes on no further request.
constexpr int64_t kResponseShareDivisor = 64;

}  // namespace

asio::awaitable<ServerConnection::ErrorCode> ServerConnection::Receive() {
  const size_t free_bytes =
      std::min(std::max(buffer_.capacity() - buffer_.size(), kFirstReadBytes),
               buffer_.max_size() - buffer_.size());
  if (free_bytes == 0)
    co_return http::error::buffer_overflow;
  // The limit of a write that ran meanwhile must not apply to this read.
  stream_.expires_never();
  auto [ec, n] =
      co_await stream_.async_read_some(buffer_.prepare(free_bytes), kAwait);
  buffer_.commit(n);
  NoteArrival();
  co_return ec;
}

void ServerConnection::NoteArrival() {
  arrived_at_ = ArrivalTime(stream_.socket().native_handle(), SteadyNow());
}

asio::awaitable<ServerConnection::Reading>
ServerConnection::ReadHead(Parser& parser, Exchange& exchange, ErrorCode& ec) {
  HeadScanner scanner;
  size_t parsed = 0;
  for (;;) {
    scanner.Scan(Buffered());
    if (scanner.done())
      break;
    // A first line that is not HTTP is rejected without waiting for the rest.
    if (parsed == 0 && scanner.first_line() > 0) {
      parsed = parser.put(
          asio::buffer(Buffered().substr(0, scanner.first_line())), ec);
      if (ec && ec != http::error::need_more)
        co_return Reading::kFailed;
    }
    if (buffer_.size() >= state_->limits.max_header_bytes) {
      ec = http::error::header_limit;
      co_return Reading::kFailed;
    }
    if (!co_await AwaitBuffer(kFirstReadBytes))
      co_return Reading::kNoRoom;
    ec = co_await Receive();
    if (ec)
      co_return Reading::kFailed;
  }
  exchange.fields = MemoryReservation(state_->memory, MemoryUse::kRequestHead);
  if (!co_await ReserveHead(exchange.fields,
                            FieldMemory(scanner.lines(), scanner.end())))
    co_return Reading::kNoRoom;
  ec = {};
  parsed += parser.put(
      asio::buffer(Buffered().substr(parsed, scanner.end() - parsed)), ec);
  buffer_.consume(parsed);
  if (!ec && !parser.is_header_done())
    ec = http::error::bad_line_ending;
  reading_head_ = false;
  UpdateHeld();
  if (ec)
    co_return Reading::kFailed;
  co_return Reading::kDone;
}

int64_t ServerConnection::BodyRoom(Parser& parser) const {
  const uint64_t limit = state_->body_limit(parser.get().target());
  parser.body_limit(limit);
  if (const auto length = parser.content_length())
    return *length > limit ? -1 : static_cast<int64_t>(*length);
  return 0;
}

bool ServerConnection::GrowBody(Parser& parser, Exchange& exchange) {
  std::string& body = parser.get().body();
  if (body.capacity() - body.size() >= buffer_.size())
    return true;
  const size_t old = body.capacity();
  const size_t size = body.size() + std::max(body.size(), buffer_.size());
  // The old string exists until its bytes are copied.
  if (!exchange.body.Resize(static_cast<int64_t>(old + size)))
    return false;
  body.reserve(size);
  return exchange.body.Resize(static_cast<int64_t>(body.capacity()));
}

asio::awaitable<ServerConnection::Reading>
ServerConnection::ReadBody(Parser& parser, Exchange& exchange, ErrorCode& ec) {
  // Reserves memory for the fields of the trailer before they are parsed; all
  // of them are in the buffer then.
  bool trailer_fits = true;
  auto on_chunk = [&](uint64_t size, std::string_view, ErrorCode& error) {
    if (size > 0)
      return;
    const std::string_view trailer = Buffered();
    const auto lines = std::count(trailer.begin(), trailer.end(), '\n');
    const int64_t bytes =
        exchange.fields.bytes() +
        FieldMemory(static_cast<size_t>(lines), trailer.size());
    trailer_fits =
        MayReserveHead(exchange.fields, bytes) && exchange.fields.Resize(bytes);
    if (!trailer_fits)
      error = http::error::header_limit;
  };
  parser.on_chunk_header(on_chunk);
  bool need_more = false;
  while (!parser.is_done()) {
    if (need_more || buffer_.size() == 0) {
      if (!GrowBuffer(kBodyReadBytes) && !GrowBuffer(kFirstReadBytes))
        co_return Reading::kNoRoom;
      ec = co_await Receive();
      if (ec)
        co_return Reading::kFailed;
    }
    if (parser.chunked() && !GrowBody(parser, exchange))
      co_return Reading::kNoRoom;
    buffer_.consume(parser.put(buffer_.data(), ec));
    need_more = ec == http::error::need_more;
    if (need_more)
      ec = {};
    if (!trailer_fits)
      co_return Reading::kNoRoom;
    if (ec)
      co_return Reading::kFailed;
  }
  co_return Reading::kDone;
}

asio::awaitable<ServerConnection::Reading> ServerConnection::ReceiveBody(
    Parser& parser,
    ExchangePtr exchange,
    ErrorCode& ec) {
  body_parser_ = &parser;
  body_exchange_ = exchange;
  LimitBodyTime();
  Reading reading = Reading::kDone;
  if (!exchange->rejected &&
      beast::iequals(parser.get()[http::field::expect], "100-continue")) {
    sending_continue_ = true;
    if (!co_await SendContinue(exchange->version)) {
      ec = asio::error::broken_pipe;
      reading = Reading::kFailed;
    }
    sending_continue_ = false;
    LimitBodyTime();
  }
  if (reading == Reading::kDone && !exchange->rejected)
    reading = co_await ReadBody(parser, *exchange, ec);
  body_parser_ = nullptr;
  body_exchange_.reset();
  body_timer_.reset();
  co_return reading;
}

void ServerConnection::LimitBodyTime() {
  // Two writes must not overlap.
  if (!state_->stopping || !state_->body_time_limit.complete_by ||
      body_parser_ == nullptr || body_parser_->is_done() ||
      body_exchange_->rejected || sending_continue_) {
    return;
  }
  const Instant by = state_->body_time_limit.complete_by(HeadOfBody());
  if (by == Instant::Never())
    return;
  const Duration left = by - SteadyNow();
  if (left <= Duration(0)) {
    RejectBody();
    return;
  }
  body_timer_.emplace(stream_.get_executor(),
                      std::chrono::milliseconds(left.ms()));
  body_timer_->async_wait([self = shared_from_this(),
                           exchange = body_exchange_](beast::error_code ec) {
    if (!ec && self->body_exchange_ == exchange)
      self->RejectBody();
  });
}

void ServerConnection::RejectBody() {
  if (body_exchange_->rejected || body_parser_->is_done())
    return;
  body_exchange_->rejected = true;
  Reject(state_->body_time_limit.refuse(HeadOfBody()), body_exchange_);
}

HttpRequest ServerConnection::HeadOfBody() const {
  HttpRequest head = HeadFromBeast(body_parser_->get());
  head.remote_ip = remote_ip_;
  head.connected_at = connected_at_;
  head.began_at = began_at_;
  return head;
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
  undelivered_ = 0;
  read_by_ = SteadyNow() + TimeLimitOf(phase);
  ArmReadTimer();
}

void ServerConnection::ArmReadTimer() {
  // The timer serves Linger() once the connection is closing.
  if (timer_at_ <= read_by_ || close_wait_ || !stream_.socket().is_open())
    return;
  timer_at_ = read_by_;
  const Duration left = std::max(read_by_ - SteadyNow(), Duration(1));
  read_timer_.expires_after(std::chrono::milliseconds(left.ms()));
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
  if (!exchanges_.empty() || closing_)
    return;
  if (phase_ == ReadPhase::kIdle) {
    const std::optional<int64_t> undelivered = Undelivered();
    // A client that still reads the last response is not idle.
    if (undelivered != 0 && undelivered != undelivered_) {
      undelivered_ = undelivered;
      read_by_ = SteadyNow() + TimeLimitOf(phase_);
      ArmReadTimer();
      return;
    }
    Close(CloseReason::kIdle);
    return;
  }
  ++state_->timed_out;
  EndAfterDelivery();
}

asio::awaitable<bool> ServerConnection::SendContinue(unsigned version) {
  // It must not be interleaved with an earlier response.
  while (!exchanges_.empty() && stream_.socket().is_open())
    co_await wake_up_.Wait();
  if (closing_)
    co_return false;
  http::response<http::empty_body> continue_response(http::status::continue_,
                                                     version);
  stream_.expires_after(std::chrono::milliseconds(state_->limits.body.ms()));
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
         exchanges_.back()->may_overlap && exchanges_.size() < kMaxPipelined &&
         UnsentBytes() <=
             state_->memory->limits()
                     .by_use[static_cast<size_t>(MemoryUse::kResponse)] /
                 kResponseShareDivisor;
}

void ServerConnection::ReadAhead() {
  // Without memory, nothing more is read from the connection.
  if (buffer_.max_size() == buffer_.size() || !GrowBuffer(kFirstReadBytes))
    return;
  // The wait may outlast AwaitTurn(). The handler then must not read, because
  // the reader has continued; `read_ahead_` has changed in that case.
  stream_.socket().async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this(), n = ++read_ahead_](beast::error_code ec) {
        if (ec || n != self->read_ahead_)
          return;
        const size_t max_bytes =
            self->buffer_.capacity() - self->buffer_.size();
        const auto to = self->buffer_.prepare(max_bytes);
        const ssize_t received = ::recv(self->stream_.socket().native_handle(),
                                        to.data(), to.size(), MSG_DONTWAIT);
        if (received > 0) {
          self->buffer_.commit(static_cast<size_t>(received));
          self->NoteArrival();
        } else if (received == 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) {
          self->OnClientLeft();
        }
        // Wakes AwaitTurn(), which calls ReadAhead() again.
        self->wake_up_.Notify();
      });
}

}  // namespace toucanknot
