// A backend server that repeats an earlier refusal on a kept connection while
// it runs the request that arrived there.

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <thread>

#include "tests/entry/entry_fixture.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;

// Rejects the first request on its first connection, and runs every other one.
// On a connection on which it rejected one, it writes that response again.
class RepeatingServer {
 public:
  RepeatingServer() {
    asio::co_spawn(io_, Accept(), asio::detached);
    thread_ = std::thread([this] { io_.run(); });
  }
  ~RepeatingServer() {
    io_.stop();
    thread_.join();
  }

  Endpoint endpoint() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

  std::atomic<int> runs{0};

 private:
  using Tcp = asio::ip::tcp;

  asio::awaitable<void> Accept() {
    for (;;) {
      asio::co_spawn(
          io_, Serve(co_await acceptor_.async_accept(asio::use_awaitable)),
          asio::detached);
    }
  }

  asio::awaitable<void> Serve(Tcp::socket socket) {
    asio::streambuf in;
    bool rejected_here = false;
    for (;;) {
      const size_t n = co_await asio::async_read_until(socket, in, "\r\n\r\n",
                                                       asio::use_awaitable);
      in.consume(n);
      std::string out;
      if (rejected_here || !rejected_) {
        runs += rejected_here ? 1 : 0;
        rejected_ = rejected_here = true;
        out =
            "HTTP/1.1 503 Full\r\nX-Id: 42\r\nX-Not-Run: 1\r\n"
            "Content-Length: 0\r\n\r\n";
      } else {
        ++runs;
        out =
            "HTTP/1.1 200 OK\r\nX-Id: 42\r\nX-Stamp: s\r\n"
            "Content-Length: 3\r\n\r\nran";
      }
      co_await asio::async_write(socket, asio::buffer(out),
                                 asio::use_awaitable);
    }
  }

  asio::io_context io_;
  Tcp::acceptor acceptor_{io_, Tcp::endpoint(Tcp::v4(), 0)};
  bool rejected_ = false;
  std::thread thread_;
};

}  // namespace

TEST_CASE("a refusal that a server repeats is not taken for a second one") {
  EntryFixture it;
  it.Configure();
  RepeatingServer repeating;
  TestServer other([](const HttpRequest& request) {
    return TestServer::Ran(request, "ran");
  });
  it.AddServer("a", repeating.endpoint());
  const bool two = GENERATE(false, true);
  if (two)
    it.AddServer("b", other.endpoint());
  const std::string out = it.Fetch("/once/a");
  INFO(out);
  const int runs = repeating.runs + other.arrivals;
  CHECK(runs == 1);
  CHECK(out.substr(9, 3) == "200");
}

}  // namespace toucanknot
