// A backend server of toucanknotd that writes an earlier refusal once more on a
// kept connection, while it runs the request that arrived there.

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <thread>

#include "tests/daemon/fleet_fixture.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

// Which requests a RepeatingBackend rejects: the first run-once request of each
// connection, or every second health probe.
enum class Rejects { kRequests, kProbes };

// Precedes its response to the next run-once request of a connection with its
// refusal there.
class RepeatingBackend {
 public:
  explicit RepeatingBackend(Rejects rejects) : rejects_(rejects) {
    asio::co_spawn(io_, Accept(), asio::detached);
    thread_ = std::thread([this] { io_.run(); });
  }
  ~RepeatingBackend() {
    io_.stop();
    thread_.join();
  }

  Endpoint endpoint() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  int runs() const { return runs_; }
  int refusals() const { return refusals_; }

 private:
  static constexpr std::string_view kRefusal =
      "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
  static constexpr std::string_view kResponse =
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nran";

  asio::awaitable<void> Accept() {
    for (;;) {
      asio::co_spawn(
          io_, Serve(co_await acceptor_.async_accept(asio::use_awaitable)),
          asio::detached);
    }
  }

  asio::awaitable<void> Serve(Tcp::socket socket) {
    boost::beast::flat_buffer buffer;
    bool rejected = false;
    bool is_first = true;
    for (;;) {
      http::request<http::string_body> request;
      co_await http::async_read(socket, buffer, request, asio::use_awaitable);
      std::string out;
      const bool is_probe = request.method() != http::verb::post;
      if (rejects_ == Rejects::kProbes ? is_probe && ++probes_ % 2 == 0
                                       : !is_probe && is_first) {
        rejected = true;
        ++refusals_;
        out = kRefusal;
      } else if (is_probe) {
        out = kResponse;
      } else {
        ++runs_;
        out = rejected ? std::string(kRefusal) : "";
        out += kResponse;
      }
      is_first = is_first && is_probe;
      co_await asio::async_write(socket, asio::buffer(out),
                                 asio::use_awaitable);
    }
  }

  asio::io_context io_;
  Tcp::acceptor acceptor_{io_, Tcp::endpoint(Tcp::v4(), 0)};
  const Rejects rejects_;
  int probes_ = 0;
  std::atomic<int> runs_{0};
  std::atomic<int> refusals_{0};
  std::thread thread_;
};

// Sends run-once requests to the backend, its only server, and returns how many
// were answered "not-run".
int SendRequests(FleetFixture& it, const Endpoint& backend, int count) {
  it.StartAll();
  it.AwaitVersion(it.Change([&](FleetConfig& config) {
    BackendServer server = config.services[0].servers[0];
    server.id = ServerId("repeating");
    server.address = backend;
    config.services[0].servers = {server};
    config.defaults.probe_interval = Duration(100);
  }));
  int not_run = 0;
  for (int i = 0; i < count; ++i) {
    const HttpClientResult result =
        FleetFixture::Post(1, "w" + std::to_string(i), FleetFixture::Ticket(1));
    not_run += FleetFixture::Verdict(result) == "not-run" ? 1 : 0;
    // Lets health probes use the connection between requests.
    std::this_thread::sleep_for(std::chrono::milliseconds(40));
  }
  return not_run;
}

}  // namespace

TEST_CASE(
    "toucanknotd takes no repeated refusal for that of the next request") {
  constexpr int kCount = 40;
  const Rejects rejects = GENERATE(Rejects::kRequests, Rejects::kProbes);
  FleetFixture it;
  RepeatingBackend backend(rejects);
  const int not_run = SendRequests(it, backend.endpoint(), kCount);
  CHECK(backend.refusals() > 0);
  CHECK(not_run + backend.runs() == kCount);
}

}  // namespace toucanknot
