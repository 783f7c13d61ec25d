#ifndef SRC_FORWARD_RESPONSE_READER_H_
#define SRC_FORWARD_RESPONSE_READER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <utility>

#include "src/forward/connection_pool.h"
#include "src/forward/pooled_connection.h"
#include "src/forward/request_sending.h"
#include "src/forward/response_memory.h"

namespace toucanknot {

// Reads the response to one request from a connection, and skips interim
// responses and those to other requests before it.
class ResponseReader {
 public:
  // `options` must outlive the reader.
  ResponseReader(PooledConnectionPtr connection,
                 RequestSendingPtr sending,
                 const ExchangeOptions& options,
                 std::shared_ptr<ResponseMemory> memory);

  // Sets the response, whether one started, and the error of `result`. Call
  // once.
  boost::asio::awaitable<boost::beast::error_code> Read(ExchangeResult& result);

  // Whether the connection may carry another request, as far as the response
  // tells.
  bool reusable() const { return reusable_; }
  // Whether a response consisted of parts of several messages.
  bool mixed_head() const { return mixed_head_; }
  // Whether the response gave way to others while memory was short.
  bool evicted() const { return evicted_; }

  // Whether a response was aborted because of its size or number: the limits of
  // heads and bodies, of chunk headers, and of responses to other requests.
  static bool IsEndless(const boost::beast::error_code& ec);

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;
  using ErrorCode = boost::beast::error_code;

  // What is held for the message that is being read, besides the read buffer.
  struct Held {
    Held(std::shared_ptr<ResponseMemory> memory,
         const Endpoint& server,
         std::function<void()> on_evicted)
        : reservation(std::move(memory), server, std::move(on_evicted)) {}

    ResponseReservation reservation;
    int64_t field_bytes = 0;
    int64_t body_bytes = 0;
  };

  // Reserves what is held and `more_bytes`; see ResponseReservation::Resize().
  boost::asio::awaitable<bool> Reserve(Held& held, int64_t more_bytes);
  // How long to wait for the next byte; zero if the response has been too slow.
  Duration ReceiveLimit() const;
  // Reads what has arrived into the buffer, with space for at least
  // `free_bytes` as far as its maximum size allows.
  boost::asio::awaitable<ErrorCode> Receive(Held& held, size_t free_bytes);
  // Reads a head, and parses it when it is complete and its memory reserved.
  // Returns an error also if it is not that of one message.
  boost::asio::awaitable<ErrorCode> ReadHead(Parser& parser,
                                             Held& held,
                                             ExchangeResult& result);
  // Returns an error if the fields read so far, with those of a trailer, are
  // not those of one message with a known framing.
  ErrorCode CheckFields(const Parser& parser, ExchangeResult& result);
  // Returns an error if bytes follow the response that show that its body is
  // not that of one message.
  ErrorCode CheckEnd(const Parser& parser, ExchangeResult& result);
  boost::asio::awaitable<ErrorCode> ReadBody(Parser& parser, Held& held);
  // Makes room in the body for what the buffer contains. A string that grows by
  // itself would hold two copies uncounted.
  boost::asio::awaitable<bool> GrowBody(Parser& parser, Held& held);
  std::string_view Buffered() const;
  // Whether both halves of a connection whose end ends a response are without
  // error.
  boost::asio::awaitable<bool> EndedCleanly();

  const PooledConnectionPtr connection_;
  const RequestSendingPtr sending_;
  const ExchangeOptions& options_;
  const std::shared_ptr<ResponseMemory> memory_;
  const Instant started_at_ = SteadyNow();
  int64_t received_bytes_ = 0;
  bool reusable_ = true;
  bool mixed_head_ = false;
  bool evicted_ = false;
};

}  // namespace toucanknot

#endif  // SRC_FORWARD_RESPONSE_READER_H_
