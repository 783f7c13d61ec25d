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

HttpResponse RejectionResponse(int status, const std::string& why) {
  HttpResponse response = TextResponse(status, why);
  response.fields.Add(kVerdictHeader,
                      std::string(VerdictName(Verdict::kNotRun)));
  return response;
}

// Whether what was read is not HTTP, as opposed to the end of the reading.
bool IsParseError(const beast::error_code& ec) {
  return ec.category() ==
             http::make_error_code(http::error::bad_method).category() &&
         ec != http::error::end_of_stream && ec != http::error::partial_message;
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

bool ServerConnection::HasUnread() {
  char byte = 0;
  return ::recv(stream_.socket().native_handle(), &byte, 1,
                MSG_PEEK | MSG_DONTWAIT) > 0;
}

void ServerConnection::OnStopBegun() {
  asio::post(stream_.get_executor(),
             [self = shared_from_this()] { self->LimitBodyTime(); });
}

asio::awaitable<void> ServerConnection::Read() {
  memory_ = MemoryReservation(state_->memory, MemoryUse::kRequestHead);
  if (co_await ReserveHead(memory_, kConnectionBytes)) {
    while (co_await ReadOne()) {
    }
  } else {
    Close(CloseReason::kNoMemory);
  }
  co_await AwaitDelivery();
  DropExchanges();
  beast::error_code ec;
  stream_.socket().shutdown(tcp::socket::shutdown_send, ec);
  Close(CloseReason::kClientClosed);
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
  // Without the fields of a trailer, which the parser adds to the header.
  HttpRequest request = HeadFromBeast(parser.get());
  beast::error_code body_ec;
  const Reading body = co_await ReceiveBody(parser, exchange, body_ec);
  if (exchange->rejected) {
    // The end of the client's data must not be awaited once more.
    if (body == Reading::kFailed && !IsParseError(body_ec))
      OnClientLeft();
    co_return false;
  }
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
  request.body = std::move(parser.release().body());
  request.remote_ip = remote_ip_;
  request.connected_at = connected_at_;
  request.began_at = began_at_;
  request.caller = exchange->caller = std::make_shared<CallerWatch>();
  exchange->may_overlap = state_->may_overlap && state_->may_overlap(request);
  sent_on_ = sent_on_ || !exchanges_.empty();
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
  // Bytes that are left were read with those of an earlier request.
  began_at_ = buffer_.size() > 0 ? arrived_at_ : SteadyNow();
  reading_head_ = true;
  UpdateHeld();
  // Idle connections keep only a small buffer.
  ShrinkBuffer();
  if (buffer_.size() > 0)
    co_return true;
  if (!co_await AwaitBuffer(kFirstReadBytes)) {
    EndAfterDelivery();
    co_return false;
  }
  awaiting_ = true;
  UpdateHeld();
  StartReadLimit(ReadPhase::kIdle);
  const ErrorCode ec = co_await Receive();
  awaiting_ = false;
  began_at_ = arrived_at_;
  UpdateHeld();
  if (ec)
    OnClientLeft();
  co_return !ec;
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
  if (IsParseError(ec)) {
    ++state_->malformed;
    Reject(400, "the request is malformed: " + ec.message(), exchange);
    return;
  }
  OnClientLeft();
}

void ServerConnection::Reject(int status,
                              const std::string& why,
                              const ExchangePtr& exchange) {
  Reject(RejectionResponse(status, why), exchange);
}

void ServerConnection::Reject(HttpResponse response,
                              const ExchangePtr& exchange) {
  exchange->response = std::move(response);
  exchange->keep_alive = false;
  // The rest of the request.
  sent_on_ = true;
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
      response = HttpResponse();
      EndAfterDelivery();
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
  last_response_bytes_ = out.body().size();
  http::response_serializer<http::string_body> serializer(out);
  write_began_at_ = SteadyNow();
  progress_at_ms_ = write_began_at_.ms();
  UpdateHeld();
  while (!serializer.is_done()) {
    progress_at_ms_ = SteadyNow().ms();
    stream_.expires_after(std::chrono::milliseconds(state_->limits.write.ms()));
    auto [ec, n] = co_await http::async_write_some(stream_, serializer, kAwait);
    if (ec)
      co_return false;
  }
  co_return true;
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
