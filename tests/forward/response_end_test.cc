// Responses that must not be taken for complete or for another one's: one
// without a length whose connection is reset during an upload, and one whose
// head is merged with late bytes of an earlier response.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "src/forward/connection_pool.h"
#include "tests/forward/fake_server.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

HttpRequest Request(size_t body_bytes) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/";
  request.fields.Add("Host", "x");
  request.body.assign(body_bytes, 'u');
  return request;
}

ExchangeResult Run(asio::io_context& loop,
                   ConnectionPool& pool,
                   const Endpoint& to,
                   size_t body_bytes,
                   const std::string& id = "") {
  ExchangeOptions options;
  options.deadline = SteadyNow() + Duration(10'000);
  if (!id.empty()) {
    options.is_own_response = [id](const HttpResponse& response) {
      return response.fields.Get("X-Id") == id;
    };
  }
  auto result = asio::co_spawn(
      loop, pool.Exchange(to, Request(body_bytes), options), asio::use_future);
  loop.restart();
  loop.run();
  return result.get();
}

// The response to the request before, as the server sends it again.
constexpr char kLate[] =
    "HTTP/1.1 200 OK\r\n"
    "Server: tracker\r\n"
    "X-Id: 1\r\n"
    "X-Note: a\r\n b\r\n"
    "Content-Length: 2\r\n\r\nok";
constexpr char kFailure[] =
    "HTTP/1.1 500 Error\r\nX-Id: 2\r\nContent-Length: 4\r\n\r\nfail";

}  // namespace

TEST_CASE("a response without a length is broken by a reset in an upload") {
  // The reset is reported to the write of the request, and the read gets the
  // end of the stream.
  for (int round = 0; round < 10; ++round) {
    asio::io_context io;
    Tcp::acceptor acceptor(io, {Tcp::v4(), 0});
    std::thread server([&] {
      Tcp::socket socket(io);
      acceptor.accept(socket);
      asio::streambuf in;
      asio::read_until(socket, in, "\r\n\r\n");
      asio::write(socket, asio::buffer("HTTP/1.1 200 OK\r\n\r\n" +
                                       std::string(8'000, 'r')));
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      // The unread request makes this a reset.
      socket.close();
    });
    asio::io_context loop;
    ConnectionPool pool(loop);
    const ExchangeResult result = Run(
        loop, pool, {"127.0.0.1", acceptor.local_endpoint().port()}, 12 << 20);
    server.join();
    CHECK(result.end == AttemptEnd::kBroken);
  }
}

TEST_CASE("late bytes of an earlier response do not change the next one") {
  const std::string late(kLate);
  size_t taken_for_success = 0;
  size_t own = 0;
  for (size_t cut = 1; cut <= late.size(); ++cut) {
    // The bytes arrive together with the next response, so that they are not
    // noticed while the connection is idle.
    FakeServer server{
        FakeServer::Responses{kLate, late.substr(0, cut) + kFailure}};
    asio::io_context loop;
    ConnectionPool pool(loop);
    CHECK(Run(loop, pool, server.endpoint(), 0, "1").end ==
          AttemptEnd::kAnswered);
    const ExchangeResult result = Run(loop, pool, server.endpoint(), 0, "2");
    if (result.end != AttemptEnd::kAnswered)
      continue;
    ++own;
    if (result.response.status != 500 || result.response.body != "fail") {
      UNSCOPED_INFO("cut after " << cut
                                 << " bytes: " << result.response.status);
      ++taken_for_success;
    }
  }
  CHECK(taken_for_success == 0);
  // Only a complete late response can be told from the own one.
  CHECK(own == 1);
}

TEST_CASE("bytes that arrive between exchanges close the connection") {
  FakeServer server{
      FakeServer::Responses{std::string(kLate) + "HTTP/1.1 200", kFailure},
      FakeServer::Responses{kFailure}};
  asio::io_context loop;
  ConnectionPool pool(loop);
  CHECK(Run(loop, pool, server.endpoint(), 0, "1").end ==
        AttemptEnd::kAnswered);
  const ExchangeResult result = Run(loop, pool, server.endpoint(), 0, "2");
  CHECK(result.end == AttemptEnd::kAnswered);
  CHECK(result.response.status == 500);
  CHECK_FALSE(result.reused());
}

}  // namespace toucanknot
