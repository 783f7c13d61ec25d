// A host whose port another process still holds when it starts. Guards against
// one that ends at once, without the address in its error.

#include "src/entry/bind_retry.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <optional>

#include "include/base/error.h"
#include "src/http/http_server.h"

namespace toucanknot {
namespace {

using Tcp = boost::asio::ip::tcp;

struct Fixture {
  Fixture()
      : server(
            workers,
            {},
            [](std::string_view) { return uint64_t{0}; },
            [](HttpRequest) -> boost::asio::awaitable<HttpResponse> {
              co_return TextResponse(200, "");
            }) {
    holder.emplace(
        io, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    address = {"127.0.0.1", holder->local_endpoint().port()};
  }
  ~Fixture() { workers.Stop(); }

  boost::asio::io_context io;
  std::optional<Tcp::acceptor> holder;
  WorkerPool workers{1};
  HttpServer server;
  Endpoint address;
};

}  // namespace

TEST_CASE("a host waits for an address that is soon free") {
  Fixture it;
  int tries = 0;
  const Endpoint bound =
      BindWhenFree("callers", it.address, Duration(10'000), [&] {
        if (++tries == 3)
          it.holder.reset();
        return it.server.Listen(it.address);
      });
  CHECK(bound == it.address);
  CHECK(tries == 3);
}

TEST_CASE("a host that cannot bind names what for and which address") {
  Fixture it;
  CHECK_THROWS_WITH(
      BindWhenFree("callers", it.address, Duration(120),
                   [&] { return it.server.Listen(it.address); }),
      Catch::Contains("callers") && Catch::Contains(it.address.ToString()));
  const Endpoint foreign{"192.0.2.1", 80};
  const Instant begun = SteadyNow();
  CHECK_THROWS_AS(BindWhenFree("callers", foreign, Duration(10'000),
                               [&] { return it.server.Listen(foreign); }),
                  Error);
  CHECK(SteadyNow() - begun < Duration(5'000));
}

}  // namespace toucanknot
