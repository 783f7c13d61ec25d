// Faulty servers must not take the memory for responses from the callers of
// others.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "src/forward/connection_pool.h"
#include "src/http/http_server.h"
#include "src/http/one_shot.h"
#include "src/http/worker_pool.h"
#include "tests/forward/faulty_server.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;

struct FaultyCase {
  const char* name;
  std::string head;
  std::string piece;
  int servers;
};

constexpr int64_t kMemoryBytes = 4 << 20;
constexpr int kFaultyRequests = 24;
constexpr int kCallers = 4;
constexpr int kRequestsPerCaller = 50;
constexpr size_t kOrdinaryBytes = 20'000;
// Some ordinary responses are this large.
constexpr size_t kLargeBytes = 200'000;
constexpr char kOpen[] = "HTTP/1.1 200 OK\r\n\r\n";
constexpr char kChunked[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr char kLong[] = "HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\n";
constexpr char kFields[] = "HTTP/1.1 200 OK\r\n";

HttpRequest MakeRequest(const std::string& target) {
  HttpRequest request;
  request.method = "GET";
  request.target = target;
  request.fields.Add("Host", "x");
  return request;
}

struct Traffic {
  asio::awaitable<void> CallFaulty(Endpoint server) {
    while (callers > 0) {
      ExchangeOptions options;
      options.deadline = SteadyNow() + Duration(10'000);
      const ExchangeResult result =
          co_await pool.Exchange(server, MakeRequest("/"), options);
      faulty_answered += result.end == AttemptEnd::kAnswered ? 1 : 0;
    }
  }
  asio::awaitable<void> CallOrdinary(Endpoint server) {
    for (int i = 0; i < kRequestsPerCaller; ++i) {
      // Lets the faulty responses take what they can get in between.
      co_await SleepFor(Duration(5));
      ExchangeOptions options;
      options.deadline = SteadyNow() + Duration(5'000);
      const ExchangeResult result = co_await pool.Exchange(
          server, MakeRequest(i % 5 == 4 ? "/large" : "/"), options);
      if (result.end == AttemptEnd::kAnswered)
        ++answered;
      else
        last_error = result.error;
    }
    if (--callers == 0)
      loop.stop();
  }

  asio::io_context loop;
  ConnectionPool pool{loop};
  int callers = kCallers;
  int answered = 0;
  int faulty_answered = 0;
  std::string last_error;
};

}  // namespace

TEST_CASE("faulty servers take no memory from the callers of other servers") {
  const FaultyCase it = GENERATE(
      FaultyCase{"no length, one server", kOpen, "bbbbbbbb", 1},
      FaultyCase{"no length, six servers", kOpen, "bbbbbbbb", 6},
      FaultyCase{"chunks, one server", kChunked, "4\r\nabcd\r\n", 1},
      FaultyCase{"chunks, six servers", kChunked, "4\r\nabcd\r\n", 6},
      FaultyCase{"a length never delivered, one server", kLong, "", 1},
      FaultyCase{"a length never delivered, six servers", kLong, "", 6},
      FaultyCase{"a head of short lines, one server", kFields, "a:\r\n", 1},
      FaultyCase{"a head never completed", kFields + std::string(60'000, 'a'),
                 "", 6});
  INFO(it.name);
  WorkerPool workers(1);
  HttpServer server(
      workers, {}, [](std::string_view) { return uint64_t{1} << 20; },
      [](HttpRequest request) -> asio::awaitable<HttpResponse> {
        co_return TextResponse(
            200, std::string(
                     request.target == "/large" ? kLargeBytes : kOrdinaryBytes,
                     'x'));
      });
  const Endpoint ordinary = server.Listen({"127.0.0.1", 0});
  std::vector<std::unique_ptr<FaultyServer>> faulty;
  faulty.reserve(static_cast<size_t>(it.servers));
  for (int i = 0; i < it.servers; ++i)
    faulty.push_back(std::make_unique<FaultyServer>(it.head, it.piece));
  Traffic traffic;
  traffic.pool.set_max_buffered_bytes(kMemoryBytes);
  for (int i = 0; i < kFaultyRequests; ++i) {
    asio::co_spawn(traffic.loop,
                   traffic.CallFaulty(
                       faulty[static_cast<size_t>(i % it.servers)]->endpoint()),
                   asio::detached);
  }
  for (int i = 0; i < kCallers; ++i)
    asio::co_spawn(traffic.loop, traffic.CallOrdinary(ordinary),
                   asio::detached);
  traffic.loop.run();
  workers.Stop();
  INFO("last error: " << traffic.last_error);
  CHECK(traffic.answered == kCallers * kRequestsPerCaller);
  CHECK(traffic.faulty_answered == 0);
}

}  // namespace toucanknot
