#ifndef SRC_FORWARD_REQUEST_SENDING_H_
#define SRC_FORWARD_REQUEST_SENDING_H_

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/span_body.hpp>
#include <memory>
#include <string>

#include "src/forward/pooled_connection.h"
#include "src/http/http_message.h"

namespace toucanknot {

// A request being written to a connection. The write may go on after the
// exchange has ended, because the response can arrive first; it keeps the
// request, its body and the connection alive until it completes.
class RequestSending {
 public:
  // Starts to write. `body` replaces the body of `request` if it is not null.
  static std::shared_ptr<const RequestSending> Start(
      PooledConnectionPtr connection,
      const HttpRequest& request,
      std::shared_ptr<const std::string> body);

  RequestSending(const HttpRequest& request,
                 std::shared_ptr<const std::string> body);

  bool is_head() const {
    return message_.method() == boost::beast::http::verb::head;
  }
  size_t body_bytes() const { return body_->size(); }
  // Whether the write has completed, successfully or not.
  bool done() const { return done_; }
  bool failed() const { return done_ && ec_; }
  // Whether the write failed before any byte was written.
  bool nothing_sent() const { return failed() && bytes_ == 0; }

 private:
  using Message =
      boost::beast::http::request<boost::beast::http::span_body<const char>>;

  const std::shared_ptr<const std::string> body_;
  Message message_;
  bool done_ = false;
  boost::beast::error_code ec_;
  size_t bytes_ = 0;
};

using RequestSendingPtr = std::shared_ptr<const RequestSending>;

}  // namespace toucanknot

#endif  // SRC_FORWARD_REQUEST_SENDING_H_
