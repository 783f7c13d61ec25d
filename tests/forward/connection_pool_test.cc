#include "src/forward/connection_pool.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "src/daemon/recent_latency.h"
#include "tests/forward/fake_server.h"
#include "tests/forward/faulty_server.h"
#include "tests/forward/scripted_peer.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;

using Responses = FakeServer::Responses;

constexpr char kResponse[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr Duration kLongTimeout{20'000};

ExchangeOptions LongTimeoutOptions() {
  ExchangeOptions options;
  options.deadline = SteadyNow() + kLongTimeout;
  return options;
}

HttpRequest Get() {
  HttpRequest request;
  request.method = "GET";
  request.target = "/";
  request.fields.Add("Host", "x");
  return request;
}

struct Client {
  ExchangeResult Run(const Endpoint& to,
                     ExchangeOptions options = LongTimeoutOptions()) {
    auto result = asio::co_spawn(
        loop, pool.Exchange(to, Get(), std::move(options)), asio::use_future);
    loop.restart();
    loop.run();
    return result.get();
  }

  asio::io_context loop;
  ConnectionPool pool{loop};
};

asio::awaitable<void> Cancellable(ConnectionPool& pool,
                                  Endpoint to,
                                  ExchangeResult& result) {
  co_await asio::this_coro::throw_if_cancelled(false);
  result = co_await pool.Exchange(to, Get(), LongTimeoutOptions());
}

}  // namespace

TEST_CASE("a connection is reused") {
  FakeServer server{Responses{kResponse, kResponse}};
  Client client;
  const ExchangeResult first = client.Run(server.endpoint());
  CHECK(first.end == AttemptEnd::kAnswered);
  CHECK(first.response.body == "ok");
  CHECK_FALSE(first.reused());
  CHECK(client.Run(server.endpoint()).reused());
  CHECK(client.pool.counts().opened == 1);
  CHECK(client.pool.counts().reused == 1);
}

TEST_CASE("new_connection opens a new connection") {
  FakeServer server{Responses{kResponse}, Responses{kResponse}};
  Client client;
  client.Run(server.endpoint());
  ExchangeOptions options = LongTimeoutOptions();
  options.new_connection = true;
  const ExchangeResult second = client.Run(server.endpoint(), options);
  CHECK(second.end == AttemptEnd::kAnswered);
  CHECK_FALSE(second.reused());
  CHECK(client.pool.counts().opened == 2);
}

TEST_CASE("a connection never carries a rejected request again") {
  constexpr uint64_t kOthers = 100;
  constexpr char kRefusal[] = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
  Responses responses(kOthers + 1, kResponse);
  responses.front() = kRefusal;
  FakeServer server{responses, Responses{kResponse}};
  Client client;
  ExchangeOptions options = LongTimeoutOptions();
  options.is_refusal = [](const HttpResponse& it) { return it.status == 503; };
  options.id_hash = 1;
  client.Run(server.endpoint(), options);
  for (uint64_t i = 0; i < kOthers; ++i) {
    options.id_hash = 2 + i;
    CHECK(client.Run(server.endpoint(), options).earlier_requests == i + 1);
  }
  options.id_hash = 1;
  CHECK_FALSE(client.Run(server.endpoint(), options).reused());
}

TEST_CASE("surplus bytes are counted and the connection is not reused") {
  FakeServer server{Responses{std::string(kResponse) + "more"},
                    Responses{kResponse}};
  Client client;
  CHECK(client.Run(server.endpoint()).response.body == "ok");
  const ExchangeResult second = client.Run(server.endpoint());
  CHECK(second.response.body == "ok");
  CHECK_FALSE(second.reused());
  CHECK(client.pool.counts().surplus_bytes > 0);
}

TEST_CASE("a response before the end of the request body prevents reuse") {
  // The server would treat the next request as the rest of the body.
  FakeServer server({{kResponse, kResponse}, {kResponse}});
  Client client;
  HttpRequest upload = Get();
  upload.method = "POST";
  upload.body.assign(16 << 20, 'x');
  auto result =
      asio::co_spawn(client.loop,
                     client.pool.Exchange(server.endpoint(), std::move(upload),
                                          LongTimeoutOptions()),
                     asio::use_future);
  client.loop.run();
  CHECK(result.get().end == AttemptEnd::kAnswered);
  const ExchangeResult next = client.Run(server.endpoint());
  CHECK(next.end == AttemptEnd::kAnswered);
  CHECK_FALSE(next.reused());
}

TEST_CASE("a truncated response is broken") {
  const std::string raw_response = GENERATE(
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", "HTTP/1.1 200 O",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok");
  FakeServer server{Responses{raw_response}};
  Client client;
  const ExchangeResult result = client.Run(server.endpoint());
  CHECK(result.end == AttemptEnd::kBroken);
  CHECK(result.response_started);
}

TEST_CASE("a response without a length ends when its connection closes") {
  const bool reset = GENERATE(false, true);
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, {asio::ip::tcp::v4(), 0});
  std::thread server([&] {
    asio::ip::tcp::socket socket(io);
    acceptor.accept(socket);
    asio::streambuf in;
    asio::read_until(socket, in, "\r\n\r\n");
    asio::write(socket, asio::buffer("HTTP/1.1 200 OK\r\n\r\nok", 21));
    if (reset) {
      // The bytes arrive before the reset does.
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      socket.set_option(asio::socket_base::linger(true, 0));
      socket.close();
    }
  });
  Client client;
  const ExchangeResult result =
      client.Run({"127.0.0.1", acceptor.local_endpoint().port()});
  server.join();
  if (reset) {
    CHECK(result.end == AttemptEnd::kBroken);
    CHECK(result.response_started);
  } else {
    CHECK(result.end == AttemptEnd::kAnswered);
    CHECK(result.response.body == "ok");
  }
}

TEST_CASE("no response until the deadline is a timeout") {
  FakeServer server{Responses{""}};
  Client client;
  ExchangeOptions options;
  options.deadline = SteadyNow() + Duration(50);
  const ExchangeResult result = client.Run(server.endpoint(), options);
  CHECK(result.end == AttemptEnd::kTimedOut);
  CHECK_FALSE(result.response_started);
}

TEST_CASE("a response that stops midway does not last until the deadline") {
  Client client;
  const ScriptedPeer peer(client.loop, [](const std::string&) {
    return ScriptedReply{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no"};
  });
  ExchangeOptions options = LongTimeoutOptions();
  options.max_silence = Duration(200);
  auto result = asio::co_spawn(
      client.loop,
      client.pool.Exchange(peer.endpoint(), Get(), std::move(options)),
      asio::use_future);
  client.loop.run_for(std::chrono::seconds(10));
  REQUIRE(result.wait_for(std::chrono::seconds(0)) ==
          std::future_status::ready);
  CHECK(result.get().end == AttemptEnd::kTimedOut);
}

TEST_CASE("cancellation ends an exchange and closes its connection") {
  FakeServer server{Responses{""}};
  Client client;
  asio::cancellation_signal cancel;
  ExchangeResult result;
  bool done = false;
  asio::co_spawn(
      client.loop, Cancellable(client.pool, server.endpoint(), result),
      asio::bind_cancellation_slot(
          cancel.slot(), [&](const std::exception_ptr&) { done = true; }));
  while (client.pool.counts().opened == 0)
    client.loop.run_one();
  cancel.emit(asio::cancellation_type::terminal);
  client.loop.run();
  CHECK(done);
  CHECK(result.end == AttemptEnd::kCancelled);
  // The thread of the fake server ends only when the client has closed.
}

TEST_CASE("a refused connection or a reached limit ends as not sent") {
  Client client;
  Endpoint closed;
  {
    asio::ip::tcp::acceptor port(client.loop, {asio::ip::tcp::v4(), 0});
    closed = {"127.0.0.1", port.local_endpoint().port()};
  }
  CHECK(client.Run(closed).end == AttemptEnd::kNotSent);
  CHECK(client.pool.counts().connect_failed == 1);
  client.pool.set_connection_limit([](const Endpoint&, int) { return false; });
  CHECK(client.Run(closed).end == AttemptEnd::kNotSent);
  CHECK(client.pool.counts().connect_failed == 1);
}

// Callers of faulty servers held all connections, and sound servers of other
// services counted as unreachable.
TEST_CASE("servers that keep all their connections leave some to the others") {
  Client client;
  client.pool.set_max_connections(16);
  const FaultyServer silent("", "");
  const ScriptedPeer ordinary(client.loop, [](const std::string&) {
    return ScriptedReply{kResponse, Ending::kClose};
  });
  ExchangeOptions options;
  options.deadline = SteadyNow() + Duration(1'500);
  for (int i = 0; i < 32; ++i) {
    asio::co_spawn(client.loop,
                   client.pool.Exchange(silent.endpoint(), Get(), options),
                   asio::detached);
  }
  client.loop.run_for(std::chrono::milliseconds(300));
  auto result = asio::co_spawn(
      client.loop, client.pool.Exchange(ordinary.endpoint(), Get(), options),
      asio::use_future);
  client.loop.run_for(std::chrono::milliseconds(2'000));
  CHECK(result.get().end == AttemptEnd::kAnswered);
  CHECK(client.pool.counts().opened == 14 + 1);
}

TEST_CASE("an abandoned exchange resets its connection") {
  // A request held up by a partition used to reach a server 5 s after its
  // caller got a response; a reset discards such bytes.
  Client client;
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, {asio::ip::tcp::v4(), 0});
  ExchangeOptions options;
  options.deadline = SteadyNow() + Duration(50);
  const ExchangeResult result = client.Run(
      {"127.0.0.1", acceptor.local_endpoint().port()}, std::move(options));
  CHECK(result.end == AttemptEnd::kTimedOut);
  asio::ip::tcp::socket server(io);
  acceptor.accept(server);
  std::string in;
  boost::system::error_code ec;
  asio::read(server, asio::dynamic_buffer(in), ec);
  CHECK(ec == asio::error::connection_reset);
}

TEST_CASE("a latency percentile requires enough samples") {
  RecentLatency latency;
  for (int i = 1; i < 64; ++i)
    latency.Add(Duration(i));
  CHECK_FALSE(latency.P95());
  latency.Add(Duration(64));
  REQUIRE(latency.P95());
  CHECK(*latency.P95() == Duration(61));
}

}  // namespace toucanknot
