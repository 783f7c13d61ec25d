// What a caller can tell from the bytes of a response: a part of one must not
// look complete.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "src/http/http_server.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;

// More than the buffers of a connection hold.
constexpr size_t kBytes = 32 << 20;

// Responds with the status and the number of body bytes of "/STATUS/BYTES".
struct Fixture {
  explicit Fixture(HttpServerLimits limits = {})
      : server(
            workers,
            limits,
            [](std::string_view) { return uint64_t{1} << 20; },
            [](HttpRequest it) -> asio::awaitable<HttpResponse> {
              HttpResponse response;
              response.status = std::stoi(it.target.substr(1, 3));
              response.body.assign(std::stoul(it.target.substr(5)), 'b');
              co_return response;
            }),
        endpoint(server.Listen({"127.0.0.1", 0})) {}
  ~Fixture() { workers.Stop(); }

  // Sends a request on a new connection and reads its response after `pause`
  // until the connection ends.
  std::string Send(const std::string& line, Duration pause = Duration(0)) {
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    socket.connect({asio::ip::make_address(endpoint.ip), endpoint.port});
    asio::write(socket, asio::buffer(
                            line + "\r\nHost: x\r\nConnection: close\r\n\r\n"));
    std::this_thread::sleep_for(std::chrono::milliseconds(pause.ms()));
    std::string out;
    boost::system::error_code ec;
    asio::read(socket, asio::dynamic_buffer(out), ec);
    return out;
  }

  WorkerPool workers{1};
  HttpServer server;
  const Endpoint endpoint;
};

}  // namespace

TEST_CASE("each response states the length of its body") {
  const std::string version = GENERATE("HTTP/1.0", "HTTP/1.1");
  const std::string method = GENERATE("GET", "HEAD", "POST");
  const std::string status = GENERATE("200", "204", "304", "421", "502", "503");
  const size_t bytes = GENERATE(0, 1, 100'000);
  const bool no_content = status == "204" || status == "304";
  Fixture it;
  const std::string out = it.Send(
      method + " /" + status + "/" + std::to_string(no_content ? 0 : bytes) +
      " " + version + (method == "POST" ? "\r\nContent-Length: 0" : ""));
  INFO(out.substr(0, 300));
  const size_t head = out.find("\r\n\r\n") + 4;
  CHECK(out.starts_with(version + " " + status));
  CHECK(out.find("Transfer-Encoding") == std::string::npos);
  const std::string length = "\r\nContent-Length: " + std::to_string(bytes);
  if (no_content) {
    CHECK(out.size() == head);
    return;
  }
  CHECK(out.substr(0, head).find(length + "\r\n") != std::string::npos);
  CHECK(out.size() - head == (method == "HEAD" ? 0 : bytes));
}

TEST_CASE("a response that the host breaks off does not look complete") {
  const std::string version = GENERATE("HTTP/1.0", "HTTP/1.1");
  HttpServerLimits limits;
  limits.write = Duration(100);
  Fixture it(limits);
  const std::string out = it.Send(
      "GET /200/" + std::to_string(kBytes) + " " + version, Duration(500));
  const size_t head = out.find("\r\n\r\n");
  REQUIRE(head != std::string::npos);
  CHECK(out.substr(0, head + 2)
            .find("\r\nContent-Length: " + std::to_string(kBytes) + "\r\n") !=
        std::string::npos);
  CHECK(out.size() < kBytes);
}

}  // namespace toucanknot
