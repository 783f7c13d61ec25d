// When requests began, for a host that reads them late.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "src/http/http_server.h"
#include "src/http/one_shot.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr char kRequest[] = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
constexpr char kLastRequest[] =
    "GET /b HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
constexpr std::chrono::milliseconds kHeldUp{600};
// How far a request may seem to have begun after it was sent.
constexpr Duration kTolerance{200};

// A server that takes `run_time` for each request and notes when it began.
struct Fixture {
  explicit Fixture(Duration run_time)
      : server(
            workers,
            {},
            [](std::string_view) { return uint64_t{64}; },
            [this, run_time](HttpRequest it) -> asio::awaitable<HttpResponse> {
              {
                const std::lock_guard lock(mutex);
                began_at.push_back(it.began_at);
              }
              co_await SleepFor(run_time);
              co_return TextResponse(200, "done");
            }),
        endpoint(server.Listen({"127.0.0.1", 0})) {
    socket.connect({asio::ip::make_address(endpoint.ip), endpoint.port});
  }
  ~Fixture() { workers.Stop(); }

  void Write(const std::string& bytes) {
    asio::write(socket, asio::buffer(bytes));
  }
  // Reads until the server closes the connection.
  void ReadAll() {
    std::string out;
    boost::system::error_code ec;
    asio::read(socket, asio::dynamic_buffer(out), ec);
  }
  std::vector<Instant> Began() {
    const std::lock_guard lock(mutex);
    return began_at;
  }

  std::mutex mutex;
  std::vector<Instant> began_at;
  WorkerPool workers{1};
  HttpServer server;
  const Endpoint endpoint;
  asio::io_context io;
  Tcp::socket socket{io};
};

}  // namespace

TEST_CASE("a host that was held up counts the time that its caller waited") {
  Fixture it(Duration(0));
  std::promise<void> held_up;
  asio::post(it.workers.loop(0), [&] {
    held_up.set_value();
    std::this_thread::sleep_for(kHeldUp);
  });
  held_up.get_future().wait();
  const Instant sent_at = SteadyNow();
  it.Write(kLastRequest);
  it.ReadAll();
  REQUIRE(it.Began().size() == 1);
  CHECK(it.Began()[0] - sent_at < kTolerance);
}

TEST_CASE("a request behind two others began when its bytes arrived") {
  Fixture it(Duration(kHeldUp.count()));
  const Instant sent_at = SteadyNow();
  it.Write(std::string(kRequest) + kRequest + kLastRequest);
  it.ReadAll();
  REQUIRE(it.Began().size() == 3);
  CHECK(it.Began()[2] - sent_at < kTolerance);
}

}  // namespace toucanknot
