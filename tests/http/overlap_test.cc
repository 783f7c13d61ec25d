// Tests of requests that a client sends on one connection before it receives
// the first response.

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "src/http/http_server.h"
#include "src/http/one_shot.h"
#include "src/http/server_connection.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;

using Tcp = asio::ip::tcp;

// A server that responds to "/wait" once "/go" reached the handler, and to
// "/hold" once the caller has left. The response to "/big" exceeds the socket
// buffers. Targets that begin with "/once" must not overlap.
struct OverlapFixture {
  OverlapFixture()
      : server(
            workers,
            {},
            [](std::string_view) { return uint64_t{64}; },
            [this](HttpRequest it) { return Handle(std::move(it)); }) {
    gate = std::make_shared<OneShot<bool>>(workers.loop(0));
    server.SetMayOverlap([](const HttpRequest& request) {
      return !request.target.starts_with("/once");
    });
    endpoint = server.Listen({"127.0.0.1", 0});
  }
  ~OverlapFixture() { workers.Stop(); }

  asio::awaitable<HttpResponse> Handle(HttpRequest request) {
    max_at_once = std::max(max_at_once.load(), ++at_once);
    ++handled;
    HttpResponse response = TextResponse(200, "to" + request.target);
    if (request.target == "/big")
      response.body.assign(32 << 20, 'b');
    if (request.target == "/go")
      gate->Set(true);
    if (request.target == "/wait" &&
        !co_await gate->Wait(SteadyNow() + kTestTimeout)) {
      response = TextResponse(500, "no request for /go");
    }
    if (request.target == "/hold") {
      const auto left = std::make_shared<OneShot<bool>>(workers.loop(0));
      request.caller->OnLeft([left] { left->Set(true); });
      if (co_await left->Wait(SteadyNow() + kTestTimeout))
        ++callers_left;
    }
    --at_once;
    co_return response;
  }

  Tcp::socket Connect() {
    Tcp::socket socket(io);
    socket.connect({asio::ip::make_address(endpoint.ip), endpoint.port});
    return socket;
  }
  // Sends requests for `targets` at once, the last one with "Connection:
  // close", and returns everything that the server sends back.
  std::string Send(const std::vector<std::string>& targets) {
    Tcp::socket socket = Connect();
    asio::write(socket, asio::buffer(Texts(targets, true)));
    std::string out;
    boost::system::error_code ec;
    asio::read(socket, asio::dynamic_buffer(out), ec);
    return out;
  }
  static std::string Texts(const std::vector<std::string>& targets,
                           bool close) {
    std::string out;
    for (size_t i = 0; i < targets.size(); ++i) {
      out += "GET " + targets[i] + " HTTP/1.1\r\nHost: x\r\n";
      if (close && i + 1 == targets.size())
        out += "Connection: close\r\n";
      out += "\r\n";
    }
    return out;
  }
  // Waits until `done` returns true, at most kTestTimeout.
  static bool WaitFor(const std::function<bool()>& done) {
    const Instant end = SteadyNow() + kTestTimeout;
    while (!done() && SteadyNow() < end)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    return done();
  }

  static constexpr Duration kTestTimeout{5'000};

  asio::io_context io;
  WorkerPool workers{1};
  std::atomic<int> handled{0};
  std::atomic<int> at_once{0};
  std::atomic<int> max_at_once{0};
  std::atomic<int> callers_left{0};
  std::shared_ptr<OneShot<bool>> gate;
  HttpServer server;
  Endpoint endpoint;
};

}  // namespace

TEST_CASE("requests that may overlap do, and responses are sent in order") {
  OverlapFixture it;
  const std::string out = it.Send({"/wait", "/go"});
  const size_t first = out.find("to/wait");
  REQUIRE(first != std::string::npos);
  CHECK(out.find("to/go", first) != std::string::npos);
  CHECK(it.server.Counts().overlapping == 1);
}

TEST_CASE("a request that must not overlap waits for earlier ones") {
  OverlapFixture it;
  const std::string out = it.Send({"/a", "/once/b", "/once/c", "/d"});
  size_t at = 0;
  for (const char* body : {"to/a", "to/once/b", "to/once/c", "to/d"}) {
    at = out.find(body, at);
    REQUIRE(at != std::string::npos);
  }
  CHECK(it.max_at_once == 1);
}

TEST_CASE("a bounded number of requests overlaps with a slow first one") {
  OverlapFixture it;
  Tcp::socket socket = it.Connect();
  std::vector<std::string> targets(50, "/hold");
  asio::write(socket, asio::buffer(OverlapFixture::Texts(targets, false)));
  CHECK(OverlapFixture::WaitFor([&] {
    return it.at_once == static_cast<int>(ServerConnection::kMaxPipelined);
  }));
  socket.close();
  CHECK(OverlapFixture::WaitFor(
      [&] { return it.server.OpenConnections() == 0; }));
  CHECK(it.max_at_once == static_cast<int>(ServerConnection::kMaxPipelined));
}

TEST_CASE("all pending requests of a caller that leaves are cancelled") {
  OverlapFixture it;
  Tcp::socket socket = it.Connect();
  asio::write(socket, asio::buffer(OverlapFixture::Texts(
                          {"/hold", "/hold", "/hold"}, false)));
  CHECK(OverlapFixture::WaitFor([&] { return it.at_once == 3; }));
  socket.close();
  CHECK(OverlapFixture::WaitFor([&] { return it.callers_left == 3; }));
  CHECK(OverlapFixture::WaitFor(
      [&] { return it.server.OpenConnections() == 0; }));
}

TEST_CASE(
    "on a stop all handled requests get responses, and the last one closes") {
  OverlapFixture it;
  Tcp::socket socket = it.Connect();
  asio::write(socket, asio::buffer(
                          OverlapFixture::Texts({"/wait", "/a", "/b"}, false)));
  CHECK(OverlapFixture::WaitFor([&] { return it.handled == 3; }));
  it.server.BeginStop();
  it.server.StopAccepting();
  // Sent after the request with the closing response: it never reaches the
  // handler, and the caller has to send it again.
  asio::write(socket, asio::buffer(OverlapFixture::Texts({"/late"}, false)));
  it.gate->Set(true);
  std::string out;
  boost::system::error_code ec;
  asio::read(socket, asio::dynamic_buffer(out), ec);
  CHECK(ec == asio::error::eof);
  const size_t last = out.find("to/b");
  REQUIRE(out.find("to/wait") != std::string::npos);
  REQUIRE(out.find("to/a") != std::string::npos);
  REQUIRE(last != std::string::npos);
  const size_t close = out.find("Connection: close");
  CHECK(close > out.find("to/a"));
  CHECK(close < last);
  CHECK(out.find("to/late") == std::string::npos);
  CHECK(it.handled == 3);
}

TEST_CASE(
    "a stop serves a request after a response that keeps the connection open") {
  OverlapFixture it;
  Tcp::socket socket = it.Connect();
  asio::write(socket, asio::buffer(OverlapFixture::Texts({"/big"}, false)));
  // The first response is being written; its header keeps the connection open.
  std::string out(1'000, 0);
  asio::read(socket, asio::buffer(out));
  it.server.BeginStop();
  asio::write(socket, asio::buffer(OverlapFixture::Texts({"/b"}, false)));
  // The request is read while writing the first response is blocked.
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  boost::system::error_code ec;
  asio::read(socket, asio::dynamic_buffer(out), ec);
  CHECK(ec == asio::error::eof);
  CHECK(out.find("to/b") != std::string::npos);
}

TEST_CASE(
    "a malformed request is rejected after the responses to earlier ones") {
  OverlapFixture it;
  Tcp::socket socket = it.Connect();
  asio::write(socket,
              asio::buffer(OverlapFixture::Texts({"/wait", "/go"}, false) +
                           "GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n"));
  std::string out;
  boost::system::error_code ec;
  asio::read(socket, asio::dynamic_buffer(out), ec);
  const size_t go = out.find("to/go");
  REQUIRE(go != std::string::npos);
  CHECK(out.find("HTTP/1.1 400", go) != std::string::npos);
}

TEST_CASE(
    "bytes after the last request do not make the client lose the response") {
  OverlapFixture it;
  for (int i = 0; i < 50; ++i) {
    const std::string out = it.Send({"/a", "/b"});
    CHECK(out.find("to/b") != std::string::npos);
    Tcp::socket socket = it.Connect();
    asio::write(socket, asio::buffer(OverlapFixture::Texts({"/a"}, true) +
                                     std::string(2'000, 'x')));
    std::string reply;
    boost::system::error_code ec;
    asio::read(socket, asio::dynamic_buffer(reply), ec);
    CHECK(reply.find("to/a") != std::string::npos);
  }
}

}  // namespace toucanknot
