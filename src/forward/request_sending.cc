#include "src/forward/request_sending.h"

#include <boost/beast/http/write.hpp>
#include <utility>

#include "src/http/beast_messages.h"

namespace toucanknot {

RequestSending::RequestSending(const HttpRequest& request,
                               std::shared_ptr<const std::string> body)
    : body_(std::move(body)) {
  message_.version(11);
  message_.method_string(request.method);
  message_.target(request.target);
  for (const HttpField& it : request.fields.all())
    message_.insert(it.name, it.value);
  message_.body() = {body_->data(), body_->size()};
  if (NeedsLength(request, body_->size()))
    message_.content_length(body_->size());
}

RequestSendingPtr RequestSending::Start(
    PooledConnectionPtr connection,
    const HttpRequest& request,
    std::shared_ptr<const std::string> body) {
  if (!body)
    body = std::make_shared<const std::string>(request.body);
  const auto sending =
      std::make_shared<RequestSending>(request, std::move(body));
  boost::beast::tcp_stream& stream = connection->stream;
  boost::beast::http::async_write(stream, sending->message_,
                                  [sending, connection = std::move(connection)](
                                      boost::beast::error_code ec, size_t n) {
                                    sending->done_ = true;
                                    sending->ec_ = ec;
                                    sending->bytes_ = n;
                                  });
  return sending;
}

}  // namespace toucanknot
