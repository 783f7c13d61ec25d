// Clients that read their last responses slowly. Guards against connections
// that are reset before the client has read what its server sent whole.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "src/http/http_server.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr size_t kBodyBytes = 600'000;
constexpr int kReceiveBuffer = 32 << 10;
constexpr auto kReadPause = std::chrono::milliseconds(20);
constexpr size_t kReadBytes = 8 << 10;
constexpr Duration kTestTimeout{15'000};

// A server whose responses exceed the receive buffers of its clients, but not
// its own send buffers.
struct Fixture {
  explicit Fixture(const HttpServerLimits& limits = {},
                   size_t body_bytes = kBodyBytes,
                   std::shared_ptr<MemoryAccount> memory = nullptr)
      : server(
            workers,
            limits,
            [](std::string_view) { return uint64_t{64} << 10; },
            [body_bytes](HttpRequest) -> asio::awaitable<HttpResponse> {
              HttpResponse response = TextResponse(200, "");
              response.body.assign(body_bytes, 'b');
              co_return response;
            }) {
    server.SetMayOverlap([](const HttpRequest&) { return true; });
    if (memory)
      server.SetMemory(std::move(memory));
    endpoint = server.Listen({"127.0.0.1", 0});
  }
  ~Fixture() { workers.Stop(); }

  Tcp::socket Connect() {
    Tcp::socket socket(io);
    socket.open(Tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer));
    socket.connect({asio::ip::make_address(endpoint.ip), endpoint.port});
    return socket;
  }
  bool WaitFor(const std::function<bool()>& done) const {
    const Instant end = SteadyNow() + kTestTimeout;
    while (!done() && SteadyNow() < end)
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return done();
  }

  asio::io_context io;
  WorkerPool workers{1};
  HttpServer server;
  Endpoint endpoint;
};

std::string Get(const std::string& more = "") {
  return "GET /x HTTP/1.1\r\nHost: x\r\n" + more + "\r\n";
}

// Reads slowly until the connection ends, and sends `also` with each read.
// Returns the number of bytes, or -1 after an error.
int64_t ReadSlowly(Tcp::socket& socket,
                   const std::string& also,
                   size_t read_bytes = kReadBytes) {
  std::string buf(read_bytes, '\0');
  int64_t total = 0;
  for (;;) {
    boost::system::error_code ec;
    total += static_cast<int64_t>(socket.read_some(asio::buffer(buf), ec));
    if (ec)
      return ec == asio::error::eof ? total : -1;
    if (!also.empty())
      asio::write(socket, asio::buffer(also), ec);
    std::this_thread::sleep_for(kReadPause);
  }
}

}  // namespace

TEST_CASE("a last response reaches a slow reader that sends on") {
  Fixture it;
  Tcp::socket socket = it.Connect();
  asio::write(socket, asio::buffer(Get("Connection: close\r\n")));
  CHECK(ReadSlowly(socket, Get()) > static_cast<int64_t>(kBodyBytes));
}

TEST_CASE("a stop cuts no response that a slow reader still reads") {
  Fixture it;
  const bool pipelines = GENERATE(false, true);
  INFO("requests are pipelined: " << pipelines);
  Tcp::socket socket = it.Connect();
  asio::write(socket, asio::buffer(Get()));
  // The response is handed to the kernel whole; the connection is idle then.
  REQUIRE(it.WaitFor([&] { return it.server.Counts().requests == 1; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  it.server.BeginStop();
  it.server.StopAccepting();
  CHECK(ReadSlowly(socket, pipelines ? Get() : "") >
        static_cast<int64_t>(kBodyBytes));
  socket.close();
  CHECK(it.WaitFor([&] { return it.server.OpenConnections() == 0; }));
  CHECK(it.server.Counts().lingering == 0);
}

// The client's kernel acknowledges at once what the client reads late.
TEST_CASE("a stop closes no connection before its client does") {
  Fixture it;
  const bool last = GENERATE(false, true);
  INFO("the response closes the connection: " << last);
  Tcp::socket socket(it.io);
  socket.open(Tcp::v4());
  socket.set_option(asio::socket_base::receive_buffer_size(4 << 20));
  socket.connect({asio::ip::make_address(it.endpoint.ip), it.endpoint.port});
  if (last)
    it.server.BeginStop();
  asio::write(socket, asio::buffer(Get()));
  REQUIRE(it.WaitFor([&] { return it.server.Counts().requests == 1; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  it.server.StopAccepting();
  std::this_thread::sleep_for(std::chrono::milliseconds(1'500));
  CHECK(ReadSlowly(socket, Get()) > static_cast<int64_t>(kBodyBytes));
  CHECK(it.server.OpenConnections() == 1);
  socket.close();
  CHECK(it.WaitFor([&] { return it.server.OpenConnections() == 0; }));
}

TEST_CASE("a stop cuts no slow reader that sends many bytes") {
  Fixture it;
  Tcp::socket socket = it.Connect();
  asio::write(socket, asio::buffer(Get()));
  REQUIRE(it.WaitFor([&] { return it.server.Counts().requests == 1; }));
  it.server.StopAccepting();
  CHECK(ReadSlowly(socket, std::string(60'000, 'u')) >
        static_cast<int64_t>(kBodyBytes));
}

// The kernel resets a socket that is closed with unread bytes, and drops what
// its client has not read.
TEST_CASE("the end of the process resets no connection with unread bytes") {
  Fixture it;
  Tcp::socket socket = it.Connect();
  asio::write(socket, asio::buffer(Get()));
  REQUIRE(it.WaitFor([&] { return it.server.Counts().requests == 1; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  // Arrives while the loop is busy, so that it is unread at the end.
  std::promise<void> blocked;
  std::promise<void> end;
  asio::post(it.workers.loop(0), [&] {
    blocked.set_value();
    end.get_future().wait();
  });
  blocked.get_future().wait();
  asio::write(socket, asio::buffer(std::string(20'000, 'u')));
  it.server.DiscardUnread();
  it.server.Abort();
  end.set_value();
  CHECK(ReadSlowly(socket, "") > static_cast<int64_t>(kBodyBytes));
}

// The kernel takes more of a response only when a third of what it holds was
// read, which takes a slow reader longer than the time without progress after
// which connections are closed for want of memory.
TEST_CASE("steady readers keep their connections when memory is scarce") {
  constexpr int kReaders = 6;
  constexpr size_t kBytes = 5 << 20;
  MemoryAccount::Limits memory;
  memory.by_use = {64 << 20, 64 << 20, int64_t{kReaders} * kBytes};
  memory.total = 1 << 30;
  Fixture it({}, kBytes, std::make_shared<MemoryAccount>(memory));
  std::vector<std::thread> readers;
  std::vector<int64_t> bytes(kReaders);
  for (int64_t& n : bytes) {
    readers.emplace_back([&it, &n] {
      asio::io_context io;
      Tcp::socket socket(io);
      socket.open(Tcp::v4());
      socket.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer));
      socket.connect(
          {asio::ip::make_address(it.endpoint.ip), it.endpoint.port});
      asio::write(socket, asio::buffer(Get("Connection: close\r\n")));
      n = ReadSlowly(socket, "", 14 << 10);
    });
  }
  for (std::thread& reader : readers)
    reader.join();
  for (const int64_t n : bytes)
    CHECK(n > static_cast<int64_t>(kBytes));
  CHECK(it.server.Counts().evicted == 0);
}

TEST_CASE("a connection whose client still reads is not idle") {
  Fixture it;
  it.server.SetTimeouts(Duration(300), Duration(300));
  Tcp::socket socket = it.Connect();
  asio::write(socket, asio::buffer(Get()));
  CHECK(ReadSlowly(socket, "") > static_cast<int64_t>(kBodyBytes));
}

TEST_CASE("a head that stays incomplete costs no earlier response") {
  Fixture it;
  it.server.SetTimeouts(Duration(60'000), Duration(200));
  Tcp::socket socket = it.Connect();
  asio::write(socket, asio::buffer(Get() + "GET /"));
  CHECK(ReadSlowly(socket, "x") > static_cast<int64_t>(kBodyBytes));
}

TEST_CASE("a refused upload costs no earlier response") {
  Fixture it;
  Tcp::socket socket = it.Connect();
  const std::string upload =
      "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 9000000\r\n\r\n";
  asio::write(socket, asio::buffer(Get() + upload));
  CHECK(ReadSlowly(socket, std::string(40'000, 'u')) >
        static_cast<int64_t>(kBodyBytes));
}

TEST_CASE("clients that never read do not keep their connections") {
  HttpServerLimits limits;
  limits.write = Duration(500);
  Fixture it(limits);
  std::vector<Tcp::socket> sockets;
  for (int i = 0; i < 20; ++i) {
    sockets.push_back(it.Connect());
    asio::write(sockets.back(),
                asio::buffer(Get(i % 2 == 0 ? "Connection: close\r\n" : "")));
  }
  REQUIRE(it.WaitFor([&] { return it.server.Counts().requests == 20; }));
  it.server.SetTimeouts(Duration(500), Duration(500));
  it.server.StopAccepting();
  CHECK(it.WaitFor([&] { return it.server.OpenConnections() == 0; }));
}

TEST_CASE("a new client takes the place of one that has everything first") {
  HttpServerLimits limits;
  limits.max_connections = 3;
  Fixture it(limits);
  it.server.BeginStop();
  std::vector<Tcp::socket> readers;
  std::string received(kBodyBytes, '\0');
  for (int i = 0; i < 3; ++i) {
    readers.push_back(it.Connect());
    asio::write(readers.back(), asio::buffer(Get()));
    // The second client has its response, but keeps the connection.
    if (i == 1)
      asio::read(readers.back(), asio::buffer(received));
  }
  REQUIRE(it.WaitFor([&] { return it.server.Counts().lingering == 3; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  Tcp::socket socket = it.Connect();
  asio::write(socket, asio::buffer(Get()));
  CHECK(ReadSlowly(socket, "") > static_cast<int64_t>(kBodyBytes));
  for (const int i : {0, 2})
    CHECK(ReadSlowly(readers[static_cast<size_t>(i)], "x") >
          static_cast<int64_t>(kBodyBytes));
}

TEST_CASE("a new client takes the place of one that reads its last response") {
  HttpServerLimits limits;
  limits.max_connections = 4;
  Fixture it(limits);
  std::vector<Tcp::socket> sockets;
  for (int i = 0; i < 4; ++i) {
    sockets.push_back(it.Connect());
    asio::write(sockets.back(), asio::buffer(Get("Connection: close\r\n")));
  }
  REQUIRE(it.WaitFor([&] { return it.server.Counts().lingering == 4; }));
  for (int i = 0; i < 4; ++i) {
    Tcp::socket socket = it.Connect();
    asio::write(socket, asio::buffer(Get("Connection: close\r\n")));
    CHECK(ReadSlowly(socket, "") > static_cast<int64_t>(kBodyBytes));
  }
}

}  // namespace toucanknot
