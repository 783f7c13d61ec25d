#ifndef SRC_FORWARD_RESPONSE_READER_H_
#define SRC_FORWARD_RESPONSE_READER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>

#include "include/memory/memory_account.h"
#include "src/forward/connection_pool.h"
#include "src/forward/pooled_connection.h"
#include "src/forward/request_sending.h"

namespace toucanknot {

// Reads the response to one request from a connection, and skips interim
// responses and those to other requests before it.
class ResponseReader {
 public:
  // `options` must outlive the reader.
  ResponseReader(PooledConnectionPtr connection,
                 RequestSendingPtr sending,
                 const ExchangeOptions& options,
                 std::shared_ptr<MemoryAccount> memory);

  // Sets the response, whether one started, and the error of `result`. Call
  // once.
  boost::asio::awaitable<boost::beast::error_code> Read(ExchangeResult& result);

  // Whether the connection may carry another request, as far as the response
  // tells.
  bool reusable() const { return reusable_; }
  // Whether a response consisted of parts of several messages.
  bool mixed_head() const { return mixed_head_; }

  // Whether a response was aborted because of its size or number: the limits of
  // heads and bodies, of chunk headers, and of responses to other requests.
  static bool IsEndless(const boost::beast::error_code& ec);

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;
  using ErrorCode = boost::beast::error_code;

  // Reads a head. Returns an error also if it is not that of one message.
  boost::asio::awaitable<ErrorCode> ReadHead(Parser& parser,
                                             ExchangeResult& result);
  // Returns an error if the fields read so far, with those of a trailer, are
  // not those of one message with a known framing.
  ErrorCode CheckFields(const Parser& parser, ExchangeResult& result);
  // Returns an error if bytes follow the response that show that its body is
  // not that of one message.
  ErrorCode CheckEnd(const Parser& parser, ExchangeResult& result);
  // Reads the body. Grows it itself, since a string that grows by itself holds
  // two copies uncounted.
  boost::asio::awaitable<ErrorCode> ReadBody(Parser& parser,
                                             MemoryReservation& memory);
  static bool GrowBody(Parser& parser, MemoryReservation& memory);
  // Whether both halves of a connection whose end ends a response are without
  // error.
  boost::asio::awaitable<bool> EndedCleanly();

  const PooledConnectionPtr connection_;
  const RequestSendingPtr sending_;
  const ExchangeOptions& options_;
  const std::shared_ptr<MemoryAccount> memory_;
  bool reusable_ = true;
  bool mixed_head_ = false;
};

}  // namespace toucanknot

#endif  // SRC_FORWARD_RESPONSE_READER_H_
