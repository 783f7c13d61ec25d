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
#include "src/http/head_scanner.h"
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
// Size of the read buffer for bodies.
constexpr size_t kBodyReadBytes = 16 << 10;
// What a connection takes apart from its buffer: objects, timers and the frames
// of its coroutines; see docs/FORWARDING.md.
constexpr int64_t kConnectionBytes = 5 << 10;
// Heads whose fields take more than this may not use the last quarter of the
// memory for heads, so that ordinary requests are served while hostile ones
// arrive. A head of 8 kB in 100 fields takes 42 kB.
constexpr int64_t kOrdinaryHeadBytes = 64 << 10;
// A request waits this many times this long for memory that is being freed.
constexpr int kRoomAttempts = 25;
constexpr std::chrono::milliseconds kRoomWait{20};
// Fraction (1/n) of the memory for responses: a connection with more in
// responses that are not written yet passes on no further request.
constexpr int64_t kResponseShareDivisor = 64;
// Smaller responses are part of kConnectionBytes.
constexpr size_t kSmallResponseBytes = 2 << 10;
// When responses take up most of their memory, connections are closed that made
// no progress for the first or need longer than the second for one response.
constexpr Duration kNoProgress{1'000};
constexpr Duration kSlowWrite{10'000};
// How long a closing connection waits for the client to close, and how many
// received bytes it discards meanwhile.
constexpr std::chrono::milliseconds kDiscardTime{500};
constexpr size_t kDiscardBytes = 1 << 20;
constexpr size_t kDiscardReadBytes = 2 << 10;

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

ServerConnection::Held ServerConnection::HeldFor(MemoryUse use) const {
  const int64_t now_ms = SteadyNow().ms();
  const int64_t age_ms = now_ms - held_since_ms_;
  if (use == MemoryUse::kRequestHead) {
    const int64_t bytes = held_head_bytes_;
    return {bytes, bytes * (age_ms + 1), held_idle_};
  }
  const int64_t stalled_ms = now_ms - progress_at_ms_;
  if (use != MemoryUse::kResponse ||
      (stalled_ms < kNoProgress.ms() && age_ms < kSlowWrite.ms())) {
    return {};
  }
  const int64_t bytes = unsent_bytes_;
  return {bytes, bytes * (stalled_ms + 1), false};
}

void ServerConnection::Evict(MemoryUse use) {
  asio::post(stream_.get_executor(), [self = shared_from_this(), use] {
    const bool evict =
        use == MemoryUse::kResponse
            ? self->writing_ && self->UnsentBytes() > 0
            : self->reading_head_ && self->exchanges_.empty() &&
                  !(self->awaiting_ && HasUnread(self->stream_.socket()));
    if (!evict || !self->stream_.socket().is_open())
      return;
    ++self->state_->evicted;
    self->Close();
  });
}

void ServerConnection::UpdateHeld() {
  const bool reading = reading_head_ && exchanges_.empty();
  held_head_bytes_ = reading ? memory_.bytes() : 0;
  held_idle_ = awaiting_;
  // A response that waits for an earlier one is not held by the client.
  unsent_bytes_ = writing_ ? UnsentBytes() : 0;
  held_since_ms_ = reading ? began_at_.ms() : write_began_at_.ms();
}

int64_t ServerConnection::UnsentBytes() const {
  int64_t bytes = 0;
  for (const ExchangePtr& it : exchanges_) {
    if (it->response && it->response->memory)
      bytes += it->response->memory->bytes();
  }
  return bytes;
}

bool ServerConnection::MayReserveHead(const MemoryReservation& reservation,
                                      int64_t bytes) const {
  if (bytes <= kOrdinaryHeadBytes)
    return true;
  const MemoryAccount& memory = *state_->memory;
  const int64_t limit =
      memory.limits().by_use[static_cast<size_t>(MemoryUse::kRequestHead)];
  return memory.reserved(MemoryUse::kRequestHead) + bytes -
             reservation.bytes() <=
         limit / 4 * 3;
}

asio::awaitable<bool> ServerConnection::ReserveHead(
    MemoryReservation& reservation,
    int64_t bytes) {
  asio::steady_timer timer(stream_.get_executor());
  for (int i = 0;; ++i) {
    if (MayReserveHead(reservation, bytes) && reservation.Resize(bytes)) {
      UpdateHeld();
      co_return true;
    }
    if (i == kRoomAttempts || !stream_.socket().is_open())
      break;
    if (state_->make_room)
      state_->make_room(MemoryUse::kRequestHead, bytes);
    timer.expires_after(kRoomWait);
    co_await timer.async_wait(kAwait);
  }
  ++state_->no_memory;
  co_return false;
}

size_t ServerConnection::BufferSizeFor(size_t free_bytes) const {
  const size_t size = buffer_.size();
  return std::min(buffer_.max_size(), std::max(2 * size, size + free_bytes));
}

bool ServerConnection::GrowBuffer(size_t free_bytes) {
  const size_t old = buffer_.capacity();
  if (old - buffer_.size() >= free_bytes)
    return true;
  const size_t size = BufferSizeFor(free_bytes);
  if (size <= old)
    return true;
  // The old buffer exists until its bytes are copied.
  if (!memory_.Resize(kConnectionBytes + static_cast<int64_t>(old + size)))
    return false;
  buffer_.reserve(size);
  memory_.Resize(kConnectionBytes + static_cast<int64_t>(buffer_.capacity()));
  UpdateHeld();
  return true;
}

asio::awaitable<bool> ServerConnection::AwaitBuffer(size_t free_bytes) {
  if (GrowBuffer(free_bytes))
    co_return true;
  const size_t size = buffer_.capacity() + BufferSizeFor(free_bytes);
  co_return co_await ReserveHead(
      memory_, kConnectionBytes + static_cast<int64_t>(size)) &&
      GrowBuffer(free_bytes);
}

void ServerConnection::ShrinkBuffer() {
  buffer_.shrink_to_fit();
  memory_.Resize(kConnectionBytes + static_cast<int64_t>(buffer_.capacity()));
}

std::string_view ServerConnection::Buffered() const {
  const auto data = buffer_.data();
  return {static_cast<const char*>(data.data()), data.size()};
}

asio::awaitable<ServerConnection::ErrorCode> ServerConnection::Receive() {
  const size_t free_bytes =
      std::min(std::max(buffer_.capacity() - buffer_.size(), kFirstReadBytes),
               buffer_.max_size() - buffer_.size());
  if (free_bytes == 0)
    co_return http::error::buffer_overflow;
  auto [ec, n] =
      co_await stream_.async_read_some(buffer_.prepare(free_bytes), kAwait);
  buffer_.commit(n);
  co_return ec;
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

void ServerConnection::Close() {
  stream_.close();
  read_timer_.cancel();
  wake_up_.Notify();
}

asio::awaitable<void> ServerConnection::Read() {
  memory_ = MemoryReservation(state_->memory, MemoryUse::kRequestHead);
  if (co_await ReserveHead(memory_, kConnectionBytes)) {
    while (co_await ReadOne()) {
    }
  } else {
    Close();
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
  ErrorCode ec;
  const Reading head = co_await ReadHead(parser, *exchange, ec);
  reading_head_ = false;
  UpdateHeld();
  if (head != Reading::kDone) {
    exchange->fields.Reset();
    if (head == Reading::kNoRoom)
      Reject(503, "no memory for the request's header", exchange);
    else
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
  exchange->body = MemoryReservation(state_->memory, MemoryUse::kRequestBody);
  if (!exchange->body.Resize(room)) {
    ++state_->no_memory;
    Reject(503, "no memory for the request's body", exchange);
    co_return false;
  }
  StartReadLimit(ReadPhase::kBody);
  if (beast::iequals(parser.get()[http::field::expect], "100-continue") &&
      !co_await SendContinue(exchange->version)) {
    co_return false;
  }
  beast::error_code body_ec;
  const Reading body = co_await ReadBody(parser, *exchange, body_ec);
  if (body != Reading::kDone) {
    exchange->body.Reset();
    exchange->fields.Reset();
    state_->no_memory += body == Reading::kNoRoom ? 1 : 0;
    if (body == Reading::kNoRoom)
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
  if (!co_await AwaitTurn(*exchange))
    co_return false;
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
  reading_head_ = true;
  UpdateHeld();
  // Idle connections keep only a small buffer.
  ShrinkBuffer();
  if (buffer_.size() > 0)
    co_return true;
  if (!co_await AwaitBuffer(kFirstReadBytes)) {
    Close();
    co_return false;
  }
  awaiting_ = true;
  UpdateHeld();
  StartReadLimit(ReadPhase::kIdle);
  const ErrorCode ec = co_await Receive();
  awaiting_ = false;
  began_at_ = SteadyNow();
  UpdateHeld();
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
        if (received > 0)
          self->buffer_.commit(static_cast<size_t>(received));
        else if (received == 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
          self->OnClientLeft();
        // Wakes AwaitTurn(), which calls ReadAhead() again.
        self->wake_up_.Notify();
      });
}

asio::awaitable<void> ServerConnection::Discard() {
  std::string sink(kDiscardReadBytes, '\0');
  for (size_t total = 0; total < kDiscardBytes;) {
    stream_.expires_never();
    auto [ec, n] = co_await stream_.async_read_some(asio::buffer(sink), kAwait);
    if (ec) {
      OnClientLeft();
      co_return;
    }
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
  HttpResponse response = co_await Handle(std::move(request));
  exchange->fields.Reset();
  exchange->body.Reset();
  if (!response.memory && response.body.size() > kSmallResponseBytes) {
    response.memory = std::make_shared<MemoryReservation>(state_->memory,
                                                          MemoryUse::kResponse);
    if (!response.memory->Resize(
            static_cast<int64_t>(response.body.capacity()))) {
      ++state_->no_memory;
      Close();
    }
  }
  exchange->response = std::move(response);
  UpdateHeld();
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
    UpdateHeld();
    wake_up_.Notify();
    if (exchanges_.empty()) {
      read_by_ = SteadyNow() + TimeLimitOf(phase_);
      ArmReadTimer();
    }
  }
  writing_ = false;
  UpdateHeld();
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
  write_began_at_ = SteadyNow();
  progress_at_ms_ = write_began_at_.ms();
  UpdateHeld();
  while (!serializer.is_done()) {
    progress_at_ms_ = SteadyNow().ms();
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
  exchanges_.clear();
  reading_head_ = false;
  UpdateHeld();
}

}  // namespace toucanknot
