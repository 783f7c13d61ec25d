#include "src/forward/response_reader.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

#include "src/forward/response_head.h"
#include "src/http/beast_messages.h"
#include "src/http/head_scanner.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr uint32_t kMaxHeadBytes = 64 << 10;
// Free space in the read buffer for one read of a head, and of a body.
constexpr size_t kHeadReadBytes = 4 << 10;
constexpr size_t kBodyReadBytes = 16 << 10;

}  // namespace

ResponseReader::ResponseReader(PooledConnectionPtr connection,
                               RequestSendingPtr sending,
                               const ExchangeOptions& options,
                               std::shared_ptr<ResponseMemory> memory)
    : connection_(std::move(connection)),
      sending_(std::move(sending)),
      options_(options),
      memory_(std::move(memory)) {}

bool ResponseReader::IsEndless(const beast::error_code& ec) {
  return ec == http::error::header_limit || ec == http::error::body_limit ||
         ec == http::error::buffer_overflow || ec == http::error::bad_status;
}

asio::awaitable<beast::error_code> ResponseReader::Read(
    ExchangeResult& result) {
  for (int others = 0; others <= options_.max_other_responses; ++others) {
    Parser parser;
    parser.header_limit(kMaxHeadBytes);
    parser.body_limit(options_.max_answer_bytes);
    parser.skip(sending_->is_head());
    Held held(memory_, connection_->endpoint,
              [connection = connection_] { connection->stream.close(); });
    ErrorCode ec = co_await ReadHead(parser, held, result);
    // Skip interim responses (1xx).
    if (!ec && parser.get().result_int() / 100 == 1)
      continue;
    // Without the fields of a trailer, which the parser adds to the header.
    HttpResponse response;
    if (!ec) {
      response = HeadFromBeast(parser.get());
      ec = co_await ReadBody(parser, held);
    }
    if (!ec)
      ec = CheckFields(parser, result);
    if (ec && held.reservation.evicted()) {
      evicted_ = true;
      result.error = "its memory was needed for other responses";
    } else if (IsEndless(ec) && SteadyNow() >= options_.deadline) {
      // It waited for memory until then.
      ec = beast::error::timeout;
    }
    if (ec) {
      // Not if the caller left.
      if (evicted_ || ec != asio::error::operation_aborted)
        held.reservation.CountWaste();
      co_return ec;
    }
    // Its connection is closed even if the response was just complete.
    reusable_ = reusable_ && parser.get().keep_alive() && !parser.need_eof() &&
                !held.reservation.evicted();
    const bool last = parser.need_eof();
    if (last) {
      const bool clean = co_await EndedCleanly();
      if (!clean)
        co_return asio::error::connection_reset;
    }
    response.body = std::move(parser.get().body());
    result.response = std::move(response);
    if (!options_.is_own_response ||
        options_.is_own_response(result.response)) {
      result.response.memory = held.reservation.Release(
          held.field_bytes +
          static_cast<int64_t>(result.response.body.capacity()));
      co_return CheckEnd(parser, result);
    }
    result.response = {};
    ++result.other_responses;
    reusable_ = false;
    if (last)
      co_return http::error::end_of_stream;
  }
  co_return http::error::bad_status;
}

asio::awaitable<bool> ResponseReader::Reserve(Held& held, int64_t more_bytes) {
  const auto buffer = static_cast<int64_t>(connection_->buffer.capacity());
  co_return co_await held.reservation.Resize(
      buffer + held.field_bytes + held.body_bytes + more_bytes,
      options_.deadline);
}

Duration ResponseReader::ReceiveLimit() const {
  const Instant now = SteadyNow();
  Instant until = std::min(options_.deadline, now + options_.max_silence);
  if (options_.min_rate > 0) {
    until = std::min(until,
                     started_at_ + options_.max_silence +
                         Duration(received_bytes_ * 1'000 / options_.min_rate));
  }
  return until - now;
}

asio::awaitable<beast::error_code> ResponseReader::Receive(Held& held,
                                                           size_t free_bytes) {
  beast::flat_buffer& buffer = connection_->buffer;
  const size_t size = buffer.size();
  const size_t space = std::min(std::max(free_bytes, buffer.capacity() - size),
                                buffer.max_size() - size);
  if (space == 0)
    co_return http::error::buffer_overflow;
  if (buffer.capacity() - size < space) {
    // The old buffer exists until its bytes are copied.
    const size_t grown = std::max(2 * size, size + space);
    if (!co_await Reserve(held, static_cast<int64_t>(grown)))
      co_return http::error::buffer_overflow;
    buffer.reserve(std::min(grown, buffer.max_size()));
    co_await Reserve(held, 0);
  }
  if (options_.max_silence < Duration::Max()) {
    const Duration limit = ReceiveLimit();
    if (limit <= Duration(0))
      co_return beast::error::timeout;
    connection_->stream.expires_after(std::chrono::milliseconds(limit.ms()));
  }
  auto [ec, n] = co_await connection_->stream.async_read_some(
      buffer.prepare(space), kAwait);
  buffer.commit(n);
  received_bytes_ += static_cast<int64_t>(n);
  if (n > 0 && options_.on_bytes)
    options_.on_bytes();
  // The stream's timer does not fire while bytes are always ready.
  if (!ec && SteadyNow() >= options_.deadline)
    co_return beast::error::timeout;
  co_return ec;
}

asio::awaitable<beast::error_code>
ResponseReader::ReadHead(Parser& parser, Held& held, ExchangeResult& result) {
  beast::flat_buffer& buffer = connection_->buffer;
  HeadScanner scanner;
  size_t parsed = 0;
  ErrorCode ec;
  for (;;) {
    result.response_started = result.response_started || buffer.size() > 0;
    scanner.Scan(Buffered());
    if (scanner.done())
      break;
    // A first line that is not HTTP is rejected without waiting for the rest.
    if (parsed == 0 && scanner.first_line() > 0) {
      parsed = parser.put(
          asio::buffer(Buffered().substr(0, scanner.first_line())), ec);
      if (ec && ec != http::error::need_more)
        co_return ec;
    }
    if (buffer.size() >= kMaxHeadBytes)
      co_return http::error::header_limit;
    ec = co_await Receive(held, kHeadReadBytes);
    if (ec == asio::error::eof)
      co_return buffer.size() > 0 ? http::error::partial_message
                                  : http::error::end_of_stream;
    if (ec)
      co_return ec;
  }
  held.field_bytes = FieldMemory(scanner.lines(), scanner.end());
  if (!co_await Reserve(held, 0))
    co_return http::error::header_limit;
  ec = {};
  parsed += parser.put(
      asio::buffer(Buffered().substr(parsed, scanner.end() - parsed)), ec);
  buffer.consume(parsed);
  if (!ec && !parser.is_header_done())
    ec = http::error::bad_line_ending;
  if (ec)
    co_return ec;
  co_return CheckFields(parser, result);
}

beast::error_code ResponseReader::CheckFields(const Parser& parser,
                                              ExchangeResult& result) {
  result.error = FindHeadProblem(parser.get().reason(), parser.get(),
                                 options_.single_fields);
  mixed_head_ = !result.error.empty();
  if (result.error.empty())
    result.error = FindStatusProblem(parser.get().result_int());
  if (result.error.empty())
    result.error = FindFramingProblem(parser.get().version(), parser.get());
  return result.error.empty() ? ErrorCode{} : http::error::bad_value;
}

beast::error_code ResponseReader::CheckEnd(const Parser& parser,
                                           ExchangeResult& result) {
  const auto surplus = connection_->buffer.cdata();
  if (surplus.size() == 0 || !parser.content_length() ||
      !RunsIntoNextResponse(
          result.response.body,
          {static_cast<const char*>(surplus.data()), surplus.size()})) {
    return {};
  }
  mixed_head_ = true;
  result.error = "the body contains the start of another response";
  return http::error::bad_value;
}

asio::awaitable<bool> ResponseReader::GrowBody(Parser& parser, Held& held) {
  std::string& body = parser.get().body();
  const size_t unread = connection_->buffer.size();
  if (body.capacity() - body.size() >= unread)
    co_return true;
  const size_t size = body.size() + std::max(body.size(), unread);
  // The old string exists until its bytes are copied.
  if (!co_await Reserve(held, static_cast<int64_t>(size)))
    co_return false;
  body.reserve(size);
  held.body_bytes = static_cast<int64_t>(body.capacity());
  co_return co_await Reserve(held, 0);
}

asio::awaitable<beast::error_code> ResponseReader::ReadBody(Parser& parser,
                                                            Held& held) {
  // Reserves memory for the fields of the trailer before they are parsed; all
  // of them are in the buffer then.
  auto on_chunk = [&](uint64_t size, std::string_view, ErrorCode& error) {
    if (size > 0)
      return;
    const std::string_view trailer = Buffered();
    const auto lines = std::count(trailer.begin(), trailer.end(), '\n');
    const int64_t bytes =
        FieldMemory(static_cast<size_t>(lines), trailer.size());
    held.field_bytes += bytes;
    if (!held.reservation.TryResize(held.reservation.bytes() + bytes))
      error = http::error::header_limit;
  };
  parser.on_chunk_header(on_chunk);
  const auto length = parser.content_length();
  if (length && !parser.is_done()) {
    held.body_bytes = static_cast<int64_t>(*length);
    if (!co_await Reserve(held, 0))
      co_return http::error::body_limit;
  }
  beast::flat_buffer& buffer = connection_->buffer;
  bool need_more = buffer.size() == 0;
  while (!parser.is_done()) {
    ErrorCode ec;
    if (need_more) {
      ec = co_await Receive(held, kBodyReadBytes);
      // A response without a length ends when its connection closes.
      if (ec == asio::error::eof) {
        ec = {};
        parser.put_eof(ec);
      }
      if (ec)
        co_return ec;
      if (parser.is_done())
        break;
    }
    if (!length && !co_await GrowBody(parser, held))
      co_return http::error::body_limit;
    buffer.consume(parser.put(buffer.data(), ec));
    need_more = ec == http::error::need_more || buffer.size() == 0;
    if (ec && ec != http::error::need_more)
      co_return ec;
  }
  co_return ErrorCode{};
}

std::string_view ResponseReader::Buffered() const {
  const auto data = connection_->buffer.data();
  return {static_cast<const char*>(data.data()), data.size()};
}

asio::awaitable<bool> ResponseReader::EndedCleanly() {
  // Lets a write that ended with the same event report its error.
  co_await asio::post(co_await asio::this_coro::executor, asio::use_awaitable);
  co_return !sending_->failed() && connection_->EndedCleanly();
}

}  // namespace toucanknot
