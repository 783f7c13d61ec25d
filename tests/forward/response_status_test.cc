// Statuses that HTTP doesn't have. Guards against bytes of a faulty server that
// reach a caller, or count for a probe or the store, as a response.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <string>
#include <thread>

#include "include/store/http_exchange.h"
#include "src/forward/connection_pool.h"
#include "src/forward/response_head.h"
#include "tests/forward/scripted_peer.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;

std::string Response(const std::string& start) {
  return start + " Any\r\nContent-Length: 2\r\n\r\nok";
}

ExchangeResult RunExchange(const std::string& bytes,
                           const std::string& method) {
  asio::io_context loop;
  const ScriptedPeer peer(loop, [&](const std::string&) {
    return ScriptedReply{bytes, Ending::kClose};
  });
  ConnectionPool pool(loop);
  HttpRequest request;
  request.method = method;
  request.target = "/";
  request.fields.Add("Host", "x");
  ExchangeOptions options;
  options.deadline = SteadyNow() + Duration(3'000);
  auto result = asio::co_spawn(
      loop, pool.Exchange(peer.endpoint(), request, options), asio::use_future);
  while (result.wait_for(std::chrono::seconds(0)) != std::future_status::ready)
    loop.run_one();
  return result.get();
}

}  // namespace

TEST_CASE("a response with a status that HTTP does not have is broken") {
  const std::string method = GENERATE("GET", "POST", "HEAD");
  for (const char* it :
       {"HTTP/1.1 000", "HTTP/1.1 001", "HTTP/1.1 099", "HTTP/1.1 101",
        "HTTP/1.1 600", "HTTP/1.1 999", "HTTP/1.0 000", "HTTP/1.1 20",
        "HTTP/1.1 2000", "HTTP/1.1 -200", "HTTP/1.1 2x0", "HTTP/1.1 ",
        "HTTP/2.0 200", "HTTP/0.9 200", "HTTP/1.2 200", "HTTP/11 200",
        "http/1.1 200", "ICY 200"}) {
    INFO(method << " " << it);
    const ExchangeResult result = RunExchange(Response(it), method);
    CHECK(result.end == AttemptEnd::kBroken);
    CHECK(result.response.status != 0);
    CHECK_FALSE(result.error.empty());
  }
}

TEST_CASE("interim responses are skipped, and all final ones are returned") {
  for (const char* it : {"100", "102", "103", "199"}) {
    const ExchangeResult result =
        RunExchange("HTTP/1.1 " + std::string(it) + " Wait\r\n\r\n" +
                        Response("HTTP/1.1 200"),
                    "GET");
    CHECK(result.end == AttemptEnd::kAnswered);
    CHECK(result.response.status == 200);
  }
  for (const int it : {200, 226, 299, 308, 404, 451, 499, 500, 503, 599}) {
    const ExchangeResult result =
        RunExchange(Response("HTTP/1.1 " + std::to_string(it)), "GET");
    CHECK(result.end == AttemptEnd::kAnswered);
    CHECK(result.response.status == it);
  }
}

TEST_CASE("a call of the command line takes no such status for a response") {
  for (const char* it : {"000", "099", "101", "600", "100"}) {
    asio::io_context loop;
    const ScriptedPeer peer(loop, [&](const std::string&) {
      return ScriptedReply{Response("HTTP/1.1 " + std::string(it)),
                           Ending::kClose};
    });
    const Endpoint endpoint = peer.endpoint();
    std::thread thread([&] { loop.run(); });
    HttpClientRequest request;
    request.method = "GET";
    request.target = "/";
    const HttpClientResult result =
        Exchange(endpoint, request, Duration(2'000));
    loop.stop();
    thread.join();
    INFO(it);
    CHECK(result.stage != HttpClientStage::kCompleted);
    CHECK_FALSE(result.error.empty());
  }
}

}  // namespace toucanknot
