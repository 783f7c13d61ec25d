#include "soak/fault_proxy.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <string>

#include "soak/fault_history.h"
#include "src/forward/connection_pool.h"
#include "src/http/http_server.h"
#include "src/http/one_shot.h"
#include "src/http/worker_pool.h"

namespace toucanknot::soak {
namespace {

namespace asio = boost::asio;

// A server behind a proxy, and a client, all on one loop.
struct Fixture {
  Fixture()
      : server(
            workers,
            {},
            [](std::string_view) { return uint64_t{1'000}; },
            [this](HttpRequest) -> asio::awaitable<HttpResponse> {
              ++arrivals;
              co_return TextResponse(200, "here " + std::to_string(arrivals));
            }),
        proxy(workers.loop(0), server.Listen({"127.0.0.1", 0})),
        client(workers.loop(0)) {}
  ~Fixture() { workers.Stop(); }

  // Calls `before`, sends one request, and returns how it ended.
  AttemptEnd SendRequest(const std::function<void()>& before,
                         Duration limit = Duration(2'000)) {
    return asio::co_spawn(
               workers.loop(0),
               [&]() -> asio::awaitable<AttemptEnd> {
                 before();
                 HttpRequest request;
                 request.method = "GET";
                 request.target = "/";
                 request.fields.Add("Host", "x");
                 ExchangeOptions options;
                 options.deadline = SteadyNow() + limit;
                 const ExchangeResult result = co_await client.Exchange(
                     proxy.endpoint(), std::move(request), std::move(options));
                 last_body = result.response.body;
                 co_return result.end;
               },
               asio::use_future)
        .get();
  }

  WorkerPool workers{1};
  int arrivals = 0;
  std::string last_body;
  HttpServer server;
  FaultProxy proxy;
  ConnectionPool client;
};

}  // namespace

TEST_CASE(
    "a link relays bytes, blocks either direction, and relays them again") {
  Fixture it;
  CHECK(it.SendRequest([] {}) == AttemptEnd::kAnswered);
  CHECK(it.SendRequest(
            [&] {
              it.proxy.SetLink({Duration(0), true, false});
            },
            Duration(200)) == AttemptEnd::kTimedOut);
  // The request arrived; only its response was held back.
  CHECK(it.arrivals == 2);
  CHECK(it.SendRequest(
            [&] {
              it.proxy.SetLink({Duration(0), false, true});
            },
            Duration(200)) == AttemptEnd::kTimedOut);
  CHECK(it.arrivals == 2);
  CHECK(it.SendRequest([&] { it.proxy.SetLink({}); }) == AttemptEnd::kAnswered);
}

TEST_CASE("open connections go silent while new ones work") {
  Fixture it;
  CHECK(it.SendRequest([] {}) == AttemptEnd::kAnswered);
  CHECK(it.SendRequest([&] { it.proxy.SilenceOpenConnections(); },
                       Duration(200)) == AttemptEnd::kTimedOut);
  CHECK(it.SendRequest([] {}) == AttemptEnd::kAnswered);
}

TEST_CASE("a closed link refuses connections, and reopens on the same port") {
  Fixture it;
  CHECK(it.SendRequest([] {}) == AttemptEnd::kAnswered);
  const Endpoint before = it.proxy.endpoint();
  CHECK(it.SendRequest([&] { it.proxy.Close(); }) != AttemptEnd::kAnswered);
  CHECK(it.SendRequest([&] { it.proxy.Open(); }) == AttemptEnd::kAnswered);
  CHECK(it.proxy.endpoint() == before);
}

TEST_CASE("a late copy precedes the next response, whole or broken off") {
  const bool broken_off = GENERATE(false, true);
  Fixture it;
  it.proxy.SetLateCopies({1, false, broken_off});
  CHECK(it.SendRequest([] {}) == AttemptEnd::kAnswered);
  CHECK(it.last_body == "here 1\n");
  // The client takes the first bytes for the response.
  const AttemptEnd end = it.SendRequest([] {}, Duration(300));
  if (!broken_off) {
    CHECK(end == AttemptEnd::kAnswered);
    CHECK(it.last_body == "here 1\n");
  } else {
    CHECK((end != AttemptEnd::kAnswered || it.last_body != "here 2\n"));
  }
}

TEST_CASE("only refusals are written again if only they are to be") {
  Fixture it;
  it.proxy.SetLateCopies({1, true, false});
  CHECK(it.SendRequest([] {}) == AttemptEnd::kAnswered);
  CHECK(it.SendRequest([] {}) == AttemptEnd::kAnswered);
  CHECK(it.last_body == "here 2\n");
}

TEST_CASE("a subject is free of faults after the settling time") {
  FaultHistory it;
  const Instant t(1'000'000);
  CHECK(it.FaultFreeSince("a", t));
  it.Begin("a");
  it.Begin("a");
  it.End("a", t);
  CHECK_FALSE(it.FaultFreeSince("a", t + Duration(60'000)));
  it.End("a", t);
  CHECK_FALSE(
      it.FaultFreeSince("a", t + FaultHistory::kSettleTime - Duration(1)));
  CHECK(it.FaultFreeSince("a", t + FaultHistory::kSettleTime));
  CHECK(it.FaultFreeSince("b", t));
}

}  // namespace toucanknot::soak
