#include "src/forward/response_reader.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

#include "src/forward/response_head.h"
#include "src/http/beast_messages.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr uint32_t kMaxHeadBytes = 64 << 10;
// Space for a body beyond what one read can add.
constexpr size_t kMinBodyGrowth = 2 * PooledConnection::kMaxBufferBytes;

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

ResponseReader::ResponseReader(PooledConnectionPtr connection,
                               RequestSendingPtr sending,
                               const ExchangeOptions& options,
                               std::shared_ptr<MemoryAccount> memory)
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
    const ErrorCode head_ec = co_await ReadHead(parser, result);
    if (head_ec)
      co_return head_ec;
    // Skip interim responses (1xx).
    if (parser.get().result_int() / 100 == 1)
      continue;
    const auto reserved =
        std::make_shared<MemoryReservation>(memory_, MemoryUse::kResponse);
    if (!reserved->Resize(FieldMemoryOf(parser.get())))
      co_return http::error::header_limit;
    // Without the fields of a trailer, which the parser adds to the header.
    HttpResponse response = HeadFromBeast(parser.get());
    const ErrorCode body_ec = co_await ReadBody(parser, *reserved);
    if (body_ec)
      co_return body_ec;
    if (const ErrorCode ec = CheckFields(parser, result))
      co_return ec;
    reusable_ = reusable_ && parser.get().keep_alive() && !parser.need_eof();
    const bool last = parser.need_eof();
    if (last) {
      const bool clean = co_await EndedCleanly();
      if (!clean)
        co_return asio::error::connection_reset;
    }
    response.body = std::move(parser.get().body());
    response.memory = reserved;
    result.response = std::move(response);
    if (!options_.is_own_response ||
        options_.is_own_response(result.response)) {
      co_return CheckEnd(parser, result);
    }
    ++result.other_responses;
    reusable_ = false;
    if (last)
      co_return http::error::end_of_stream;
  }
  co_return http::error::bad_status;
}

asio::awaitable<beast::error_code> ResponseReader::ReadHead(
    Parser& parser,
    ExchangeResult& result) {
  auto [ec, n] = co_await http::async_read_header(
      connection_->stream, connection_->buffer, parser, kAwait);
  // A partial head stays in the buffer and is not counted in `n`.
  result.response_started =
      result.response_started || n > 0 || connection_->buffer.size() > 0;
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

bool ResponseReader::GrowBody(Parser& parser, MemoryReservation& memory) {
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

asio::awaitable<beast::error_code> ResponseReader::ReadBody(
    Parser& parser,
    MemoryReservation& memory) {
  const auto length = parser.content_length();
  if (length && !memory.Resize(memory.bytes() + static_cast<int64_t>(*length)))
    co_return http::error::body_limit;
  while (!parser.is_done()) {
    if (!length && !GrowBody(parser, memory))
      co_return http::error::body_limit;
    auto [ec, n] = co_await http::async_read_some(
        connection_->stream, connection_->buffer, parser, kAwait);
    // A response without a length ends when its connection closes.
    if (ec == http::error::end_of_stream && parser.is_done())
      break;
    if (ec)
      co_return ec;
    // The stream's timer does not fire while bytes are always ready.
    if (SteadyNow() >= options_.deadline)
      co_return beast::error::timeout;
  }
  co_return ErrorCode{};
}

asio::awaitable<bool> ResponseReader::EndedCleanly() {
  // Lets a write that ended with the same event report its error.
  co_await asio::post(co_await asio::this_coro::executor, asio::use_awaitable);
  co_return !sending_->failed() && connection_->EndedCleanly();
}

}  // namespace toucanknot
