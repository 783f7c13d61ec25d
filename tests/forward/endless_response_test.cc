// Servers that send endless data until the connection is closed.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "src/forward/connection_pool.h"
#include "tests/forward/endless_server.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;

struct EndlessCase {
  const char* name;
  std::string head;
  std::string piece;
};

constexpr char kOther[] = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx";
constexpr char kChunked[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr int64_t kMemoryBytes = 4 << 20;
// Allowance for socket buffers in the kernel.
constexpr uint64_t kSocketBufferBytes = 16 << 20;

}  // namespace

TEST_CASE("endless data is aborted within bounded memory") {
  const EndlessCase it = GENERATE(
      EndlessCase{"no response", "", "zzzzzzzz"},
      EndlessCase{"a header line", "HTTP/1.1 200 OK\r\nX: ", "aaaaaaaa"},
      EndlessCase{"header lines", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
      EndlessCase{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      EndlessCase{"responses to others", "", kOther},
      EndlessCase{"a body without a length", "HTTP/1.1 200 OK\r\n\r\n", "bb"},
      EndlessCase{"a body with a length too large",
                  "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
                  "bb"},
      EndlessCase{"chunks", kChunked, "4\r\nabcd\r\n"},
      EndlessCase{"a chunk's size", kChunked, "00000000"},
      EndlessCase{"a chunk's extension", std::string(kChunked) + "4;", "eeeee"},
      EndlessCase{"trailers", std::string(kChunked) + "0\r\n", "T: u\r\n"});
  INFO(it.name);
  EndlessServer server(it.head, it.piece);
  asio::io_context loop;
  ConnectionPool pool(loop);
  pool.set_max_buffered_bytes(kMemoryBytes);
  ExchangeOptions options;
  options.deadline = SteadyNow() + Duration(60'000);
  options.is_own_response = [](const HttpResponse& response) {
    return response.fields.Has("X-Own");
  };
  HttpRequest request;
  request.method = "GET";
  request.target = "/";
  request.fields.Add("Host", "x");
  auto result = asio::co_spawn(
      loop, pool.Exchange(server.endpoint(), std::move(request), options),
      asio::use_future);
  loop.run();
  // The request may have run: such data does not show whether it did.
  CHECK(result.get().end == AttemptEnd::kBroken);
  CHECK(server.sent() < kSocketBufferBytes + kMemoryBytes);
  CHECK(pool.counts().buffered_bytes == 0);
}

TEST_CASE("responses being read share the memory limit") {
  EndlessServer server("HTTP/1.1 200 OK\r\n\r\n", "bbbbbbbb");
  asio::io_context loop;
  ConnectionPool pool(loop);
  pool.set_max_buffered_bytes(kMemoryBytes);
  ExchangeOptions options;
  options.deadline = SteadyNow() + Duration(60'000);
  HttpRequest request;
  request.method = "GET";
  request.target = "/";
  request.fields.Add("Host", "x");
  std::vector<std::future<ExchangeResult>> results;
  for (int i = 0; i < 3; ++i) {
    results.push_back(
        asio::co_spawn(loop, pool.Exchange(server.endpoint(), request, options),
                       asio::use_future));
  }
  loop.run();
  for (auto& it : results)
    CHECK(it.get().end == AttemptEnd::kBroken);
  CHECK(pool.counts().endless == 3);
  CHECK(pool.counts().buffered_bytes == 0);
}

}  // namespace toucanknot
