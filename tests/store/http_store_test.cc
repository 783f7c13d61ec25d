#include "src/store/http_store.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <thread>

namespace toucanknot {
namespace {

using boost::asio::ip::tcp;

constexpr Duration kLimit = Duration::Seconds(20);

// Accepts one connection, reads a request's header, writes `reply` verbatim and
// closes the connection.
class OneReplyServer {
 public:
  explicit OneReplyServer(std::string reply)
      : thread_([this, reply = std::move(reply)] { Serve(reply); }) {}
  ~OneReplyServer() {
    if (thread_.joinable())
      thread_.join();
  }

  Endpoint address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  // The header of the request. Waits until the reply was sent.
  const std::string& request() {
    thread_.join();
    return request_;
  }

 private:
  void Serve(const std::string& reply) {
    tcp::socket socket = acceptor_.accept();
    boost::asio::streambuf buf;
    const size_t n = boost::asio::read_until(socket, buf, "\r\n\r\n");
    const auto* data = static_cast<const char*>(buf.data().data());
    request_.assign(data, n);
    boost::system::error_code ec;
    boost::asio::write(socket, boost::asio::buffer(reply), ec);
  }

  boost::asio::io_context io_;
  tcp::acceptor acceptor_{io_, {boost::asio::ip::make_address("127.0.0.1"), 0}};
  std::string request_;
  std::thread thread_;
};

std::string Reply(const std::string& status,
                  const std::string& fields,
                  const std::string& body = "") {
  return "HTTP/1.1 " + status + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The result of a swap to which the store responds with `reply`.
SwapResult SwapWithReply(const std::string& reply) {
  OneReplyServer server(reply);
  return HttpStore(server.address(), kLimit).CompareAndSwap("k", 3, "data");
}

std::optional<StoreValue> GetWithReply(const std::string& reply) {
  OneReplyServer server(reply);
  return HttpStore(server.address(), kLimit).Get("k");
}

}  // namespace

TEST_CASE("calls are encoded as the platform's protocol specifies") {
  OneReplyServer server(Reply("200 OK", "Revision: 8\r\n"));
  HttpStore store(server.address(), kLimit);
  const SwapResult swap = store.CompareAndSwap("a/b c", 7, "data");
  CHECK(swap.swapped);
  CHECK(swap.revision == 8);
  const std::string request = server.request();
  CHECK(request.starts_with("PUT /v1/kv/a/b%20c HTTP/1.1\r\n"));
  CHECK(request.find("If-Revision: 7\r\n") != std::string::npos);

  OneReplyServer watched(Reply("200 OK", "Revision: 9\r\n", "new"));
  const auto value =
      HttpStore(watched.address(), kLimit).Watch("k", 8, Duration(50));
  REQUIRE(value);
  CHECK(value->data == "new");
  CHECK(watched.request().starts_with("GET /v1/kv/k?watch=8&timeout_ms=50 "));
}

TEST_CASE("a watch distinguishes an unchanged key from a deleted one") {
  OneReplyServer same(Reply("304 Not Modified", ""));
  CHECK_FALSE(HttpStore(same.address(), kLimit).Watch("k", 8, Duration(50)));
  OneReplyServer gone(Reply("404 Not Found", ""));
  CHECK(
      HttpStore(gone.address(), kLimit).Watch("k", 8, Duration(50))->revision ==
      0);
}

TEST_CASE("responses are decoded") {
  CHECK(GetWithReply(Reply("200 OK", "revision: 4\r\n", "v"))->revision == 4);
  CHECK_FALSE(GetWithReply(Reply("404 Not Found", "")));
  const SwapResult lost =
      SwapWithReply(Reply("412 Precondition Failed", "Revision: 5\r\n"));
  CHECK_FALSE(lost.swapped);
  CHECK(lost.revision == 5);

  OneReplyServer lease(Reply("409 Conflict", "", R"({"holder": "h-2"})"));
  const LeaseResult taken =
      HttpStore(lease.address(), kLimit).AcquireLease("l", "h-1", Duration(1));
  CHECK_FALSE(taken.granted);
  CHECK(taken.holder == "h-2");
  OneReplyServer hosts(
      Reply("200 OK", "", R"([{"id": "h-1", "leaving": true}])"));
  CHECK(HttpStore(hosts.address(), kLimit).Hosts()[0].leaving);
}

TEST_CASE("a rejected write changed nothing; one without a response may have") {
  for (const char* it :
       {"503 Service Unavailable", "413 Too Large", "400 Bad Request"}) {
    CHECK_THROWS_AS(SwapWithReply(Reply(it, "")), StoreUnavailableError);
    CHECK_THROWS_AS(GetWithReply(Reply(it, "")), StoreUnavailableError);
  }
  const std::string cut =
      "HTTP/1.1 200 OK\r\nRevision: 4\r\n"
      "Content-Length: 9\r\n\r\nhalf";
  for (const std::string& it :
       {std::string(), std::string("HTTP/1.1 20"), std::string("nonsense\r\n"),
        cut, Reply("500 Internal Server Error", ""),
        Reply("504 Gateway Timeout", ""), Reply("200 OK", ""),
        Reply("200 OK", "Revision: many\r\n")}) {
    INFO(it);
    CHECK_THROWS_AS(SwapWithReply(it), StoreOutcomeUnknownError);
    CHECK_THROWS_AS(GetWithReply(it), StoreUnavailableError);
  }
}

TEST_CASE("a failed connection or a timeout is an error") {
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  const Endpoint silent{"127.0.0.1", acceptor.local_endpoint().port()};
  HttpStore store(silent, Duration(30));
  CHECK_THROWS_AS(store.Get("k"), StoreUnavailableError);
  CHECK_THROWS_AS(store.CompareAndSwap("k", 0, "v"), StoreOutcomeUnknownError);
  acceptor.close();
  HttpStore refused(silent, kLimit);
  CHECK_THROWS_AS(refused.CompareAndSwap("k", 0, "v"), StoreUnavailableError);
}

}  // namespace toucanknot
