// Exchanges that end while a large write is pending. The write used to refer to
// a connection that the exchange had freed. Run with AddressSanitizer.

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "src/forward/connection_pool.h"
#include "tests/forward/fake_server.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;

// More than the sockets of both sides take.
constexpr size_t kUploadBytes = 32 << 20;

HttpRequest Upload() {
  HttpRequest request;
  request.method = "POST";
  request.target = "/";
  request.fields.Add("Host", "x");
  request.body.assign(kUploadBytes, 'u');
  return request;
}

ExchangeOptions OptionsUntil(int64_t ms) {
  ExchangeOptions options;
  options.deadline = SteadyNow() + Duration(ms);
  return options;
}

asio::awaitable<void> Exchange(ConnectionPool& pool,
                               Endpoint to,
                               ExchangeOptions options,
                               ExchangeResult& result) {
  co_await asio::this_coro::throw_if_cancelled(false);
  result = co_await pool.Exchange(to, Upload(), std::move(options));
}

}  // namespace

TEST_CASE("an exchange ends at its deadline while its request is written") {
  FakeServer server{FakeServer::Responses{""}};
  asio::io_context loop;
  ConnectionPool pool(loop);
  ExchangeResult result;
  asio::co_spawn(loop,
                 Exchange(pool, server.endpoint(), OptionsUntil(300), result),
                 asio::detached);
  loop.run();
  CHECK(result.end == AttemptEnd::kTimedOut);
}

TEST_CASE("a response arrives while its request is written") {
  FakeServer server{FakeServer::Responses{
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", ""}};
  asio::io_context loop;
  ConnectionPool pool(loop);
  ExchangeResult result;
  asio::co_spawn(loop,
                 Exchange(pool, server.endpoint(), OptionsUntil(5'000), result),
                 asio::detached);
  loop.run();
  CHECK(result.end == AttemptEnd::kAnswered);
  CHECK(pool.counts().opened == 1);
}

TEST_CASE("a response arrives between two parts of a head") {
  // A head of very many fields is written in many parts. A part completed after
  // the exchange had ended, and the next one was written to a freed stream.
  constexpr int kRounds = 40;
  constexpr int kFields = 3'000;
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, {asio::ip::tcp::v4(), 0});
  std::thread server([&] {
    std::string buf(256 << 10, '\0');
    for (int i = 0; i < kRounds; ++i) {
      asio::ip::tcp::socket socket(io);
      acceptor.accept(socket);
      boost::system::error_code ec;
      asio::write(socket,
                  asio::buffer(std::string(
                      "HTTP/1.1 400 Bad\r\nContent-Length: 2\r\n\r\nno")),
                  ec);
      while (!ec)
        socket.read_some(asio::buffer(buf), ec);
    }
  });
  HttpRequest request;
  request.method = "GET";
  request.target = "/";
  for (int i = 0; i < kFields; ++i)
    request.fields.Add("a", "");
  asio::io_context loop;
  int answered = 0;
  for (int i = 0; i < kRounds; ++i) {
    // Closes the connection also if the whole head was written in time.
    ConnectionPool pool(loop);
    auto result = asio::co_spawn(
        loop,
        pool.Exchange({"127.0.0.1", acceptor.local_endpoint().port()}, request,
                      OptionsUntil(5'000)),
        asio::use_future);
    loop.restart();
    loop.run();
    answered += result.get().end == AttemptEnd::kAnswered ? 1 : 0;
  }
  server.join();
  CHECK(answered == kRounds);
}

TEST_CASE("a caller leaves while its request is written") {
  FakeServer server{FakeServer::Responses{""}};
  asio::io_context loop;
  ConnectionPool pool(loop);
  ExchangeResult result;
  asio::cancellation_signal cancel;
  asio::co_spawn(loop,
                 Exchange(pool, server.endpoint(), OptionsUntil(5'000), result),
                 asio::bind_cancellation_slot(cancel.slot(), asio::detached));
  asio::steady_timer timer(loop, std::chrono::milliseconds(300));
  timer.async_wait([&](const boost::system::error_code&) {
    cancel.emit(asio::cancellation_type::terminal);
  });
  loop.run();
  CHECK(result.end == AttemptEnd::kCancelled);
}

TEST_CASE("a pool is destroyed while requests are written") {
  FakeServer server{FakeServer::Responses{""}};
  asio::io_context loop;
  auto pool = std::make_unique<ConnectionPool>(loop);
  ExchangeResult result;
  asio::co_spawn(loop,
                 Exchange(*pool, server.endpoint(), OptionsUntil(600), result),
                 asio::detached);
  asio::steady_timer timer(loop, std::chrono::milliseconds(300));
  timer.async_wait([&](const boost::system::error_code&) { pool.reset(); });
  loop.run();
  CHECK(result.end == AttemptEnd::kTimedOut);
}

}  // namespace toucanknot
