#include "include/store/http_exchange.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>

#include "src/forward/response_head.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr size_t kMaxBodyBytes = 16 << 20;

// One request on one connection.
class HttpExchange {
 public:
  HttpExchange(const Endpoint& to, const HttpClientRequest& request) : to_(to) {
    request_.version(11);
    request_.method_string(request.method);
    request_.target(request.target);
    request_.set(http::field::host, to.ToString());
    request_.set(http::field::connection, "close");
    for (const HttpField& it : request.fields)
      request_.set(it.name, it.value);
    request_.body() = request.body;
    request_.prepare_payload();
    parser_.body_limit(kMaxBodyBytes);
  }

  HttpClientResult Run(Duration limit) {
    result_.error = "response timed out";
    Connect();
    io_.run_for(std::chrono::milliseconds(limit.ms()));
    return std::move(result_);
  }

 private:
  void Connect() {
    boost::system::error_code ec;
    const auto ip = asio::ip::make_address(to_.ip, ec);
    if (ec)
      return Fail(ec);
    socket_.async_connect({ip, to_.port}, [this](auto error) {
      if (error)
        return Fail(error);
      Write();
    });
  }

  void Write() {
    result_.stage = HttpClientStage::kSent;
    http::async_write(socket_, request_, [this](auto error, size_t) {
      if (error)
        return Fail(error);
      Read();
    });
  }

  void Read() {
    http::async_read(socket_, buf_, parser_, [this](auto error, size_t) {
      if (error)
        return Fail(error);
      SaveResponse();
    });
  }

  void SaveResponse() {
    const unsigned status = parser_.get().result_int();
    result_.error = FindStatusProblem(status);
    // An interim response is not awaited, since none is asked for.
    if (result_.error.empty() && status < 200)
      result_.error = "an interim response";
    if (!result_.error.empty())
      return;
    result_.stage = HttpClientStage::kCompleted;
    result_.status = status;
    for (const auto& it : parser_.get()) {
      result_.fields.push_back(
          {std::string(it.name_string()), std::string(it.value())});
    }
    result_.body = std::move(parser_.get().body());
  }

  void Fail(const boost::system::error_code& ec) {
    result_.error = ec.message();
  }

  const Endpoint to_;
  asio::io_context io_;
  asio::ip::tcp::socket socket_{io_};
  http::request<http::string_body> request_;
  beast::flat_buffer buf_;
  http::response_parser<http::string_body> parser_;
  HttpClientResult result_;
};

}  // namespace

std::string HttpClientResult::Field(const std::string& name) const {
  for (const HttpField& it : fields) {
    if (beast::iequals(it.name, name))
      return it.value;
  }
  return "";
}

HttpClientResult Exchange(const Endpoint& to,
                          const HttpClientRequest& request,
                          Duration limit) {
  return HttpExchange(to, request).Run(limit);
}

}  // namespace toucanknot
