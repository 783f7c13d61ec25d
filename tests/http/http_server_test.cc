#include "src/http/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <random>
#include <string>
#include <thread>

namespace toucanknot {
namespace {

namespace asio = boost::asio;

constexpr uint64_t kBodyLimit = 64;
constexpr char kValidRequest[] =
    "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi";
constexpr char kClosingRequest[] =
    "GET /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

asio::awaitable<HttpResponse> Echo(HttpRequest request) {
  co_return TextResponse(200, request.target + "=" + request.body);
}

struct Fixture {
  explicit Fixture(HttpServerLimits limits = {})
      : server(
            workers,
            limits,
            [](std::string_view) { return kBodyLimit; },
            [](HttpRequest it) { return Echo(std::move(it)); }),
        endpoint(server.Listen({"127.0.0.1", 0})) {}
  ~Fixture() { workers.Stop(); }

  // Sends `bytes` and returns everything that the server sends back.
  std::string Send(const std::string& bytes, bool half_close = false) {
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    socket.connect({asio::ip::make_address(endpoint.ip), endpoint.port});
    boost::system::error_code ec;
    asio::write(socket, asio::buffer(bytes), ec);
    if (half_close)
      socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    std::string out;
    asio::read(socket, asio::dynamic_buffer(out), ec);
    return out;
  }

  WorkerPool workers{1};
  HttpServer server;
  const Endpoint endpoint;
};

std::string Status(const std::string& response) {
  return response.size() < 12 ? response : response.substr(9, 3);
}

}  // namespace

TEST_CASE("responses to pipelined requests are sent in order") {
  Fixture it;
  const std::string out = it.Send(std::string(kValidRequest) + kClosingRequest);
  CHECK(Status(out) == "200");
  const size_t first = out.find("/a=hi");
  REQUIRE(first != std::string::npos);
  CHECK(out.find("/b=", first) != std::string::npos);
  CHECK(it.server.Counts().accepted == 1);
  CHECK(it.server.Counts().requests == 2);
}

TEST_CASE("malformed and too large requests are rejected as not run") {
  struct Case {
    std::string head;
    std::string status;
  };
  const Case it = GENERATE(
      Case{"Host: x\r\nContent-Length: 65\r\n", "413"},
      Case{"Host: x\r\nX: " + std::string(20 << 10, 'a') + "\r\n", "431"},
      Case{"Host: x\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n",
           "400"},
      Case{"Host: x\r\nContent-Length: 2\r\nContent-Length: 3\r\n", "400"},
      Case{"Host: x\r\nTransfer-Encoding: gzip\r\n", "501"},
      Case{"X: y\r\n", "400"}, Case{"Host: x\r\nHost: y\r\n", "400"},
      Case{"Host: x\r\nContent-Length: -2\r\n", "400"});
  Fixture fixture;
  const std::string out =
      fixture.Send("POST /a HTTP/1.1\r\n" + it.head + "\r\n");
  INFO(it.head.substr(0, 80));
  CHECK(Status(out) == it.status);
  CHECK(out.find("Toucanknot-Verdict: not-run") != std::string::npos);
  CHECK(fixture.server.Counts().requests == 0);
}

TEST_CASE("all bodies share the memory limit, with Content-Length or chunked") {
  HttpServerLimits limits;
  limits.max_buffered_bytes = 40;
  Fixture it(limits);
  const std::string body(50, 'b');
  const std::string stated = it.Send(
      "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\n" + body);
  const std::string chunked = it.Send(
      "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
      "32\r\n" +
      body + "\r\n0\r\n\r\n");
  for (const std::string& out : {stated, chunked}) {
    CHECK(Status(out) == "503");
    CHECK(out.find("Toucanknot-Verdict: not-run") != std::string::npos);
  }
  CHECK(it.server.Counts().requests == 0);
  CHECK(it.server.Counts().buffered_bytes == 0);
  CHECK(Status(it.Send(std::string(kValidRequest) + kClosingRequest)) == "200");
}

TEST_CASE("Expect: 100-continue is honored") {
  Fixture it;
  const std::string out = it.Send(
      "POST /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nExpect: "
      "100-continue\r\nContent-Length: 2\r\n\r\nhi");
  CHECK(Status(out) == "100");
  CHECK(out.find("/a=hi") != std::string::npos);
}

TEST_CASE("the connection is closed if the header arrives too slowly") {
  HttpServerLimits limits;
  limits.header = Duration(30);
  Fixture it(limits);
  CHECK(it.Send("GET / HTTP/1.1\r\nHo").empty());
  // The timer closes the socket before the connection's coroutine counts it.
  for (int i = 0; i < 2'000 && it.server.Counts().timed_out == 0; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  CHECK(it.server.Counts().timed_out == 1);
}

TEST_CASE("mutated requests do not crash the server") {
  Fixture it;
  std::mt19937_64 random(7);
  const std::string good = kValidRequest;
  for (int i = 0; i < 300; ++i) {
    std::string bytes = good;
    for (uint64_t n = 1 + random() % 4; n > 0; --n)
      bytes[random() % bytes.size()] = static_cast<char>(random());
    bytes.resize(bytes.size() - random() % 3);
    const std::string out = it.Send(bytes, true);
    CHECK((out.empty() || out.starts_with("HTTP/1.")));
  }
  CHECK(Status(it.Send(kClosingRequest)) == "200");
}

TEST_CASE("a field of a request's trailer is not taken for one of its header") {
  WorkerPool workers(1);
  HttpServer server(
      workers, {}, [](std::string_view) { return uint64_t{64}; },
      [](HttpRequest it) -> asio::awaitable<HttpResponse> {
        co_return TextResponse(200, std::string(it.fields.Get("X-Id")) + ";" +
                                        std::string(it.fields.Get("X-Late")));
      });
  const Endpoint to = server.Listen({"127.0.0.1", 0});
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  socket.connect({asio::ip::make_address(to.ip), to.port});
  asio::write(socket,
              asio::buffer(std::string(
                  "POST / HTTP/1.1\r\nHost: x\r\nX-Id: 1\r\nConnection: close"
                  "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n"
                  "X-Late: 2\r\n\r\n")));
  std::string out;
  boost::system::error_code ec;
  asio::read(socket, asio::dynamic_buffer(out), ec);
  workers.Stop();
  CHECK(out.ends_with("\r\n\r\n1;\n"));
}

}  // namespace toucanknot
