// Servers that stop reading a request. TCP_USER_TIMEOUT also runs while the
// receive window is closed, so that it used to cut off uploads to servers that
// were at work; a server that is gone must still be found.

#include <sys/socket.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "src/forward/connection_pool.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr size_t kUploadBytes = 12 << 20;
constexpr Duration kSilentAfter{800};

ExchangeResult Upload(const Endpoint& to, Duration silent_after) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/";
  request.fields.Add("Host", "x");
  request.body.assign(kUploadBytes, 'u');
  ExchangeOptions options;
  options.deadline = SteadyNow() + Duration(15'000);
  options.silent_after = silent_after;
  asio::io_context loop;
  ConnectionPool pool(loop);
  auto result = asio::co_spawn(
      loop, pool.Exchange(to, std::move(request), options), asio::use_future);
  loop.run();
  return result.get();
}

// Reads until `total` bytes of the request have arrived, including `in`.
void ReadUpTo(Tcp::socket& socket, size_t& in, size_t total) {
  std::string buf(64 << 10, '\0');
  boost::system::error_code ec;
  while (in < total && !ec)
    in += socket.read_some(asio::buffer(buf), ec);
}

}  // namespace

TEST_CASE("a server that stops reading and reads on gets the whole request") {
  const std::vector<int> stalls_ms =
      GENERATE(std::vector<int>{1'200}, std::vector<int>{3'500},
               std::vector<int>{1'200, 1'200, 1'200});
  asio::io_context io;
  Tcp::acceptor acceptor(io, {Tcp::v4(), 0});
  std::thread server([&] {
    Tcp::socket socket(io);
    acceptor.accept(socket);
    size_t in = 0;
    for (size_t i = 0; i < stalls_ms.size(); ++i) {
      ReadUpTo(socket, in, (i + 1) * 30'000);
      std::this_thread::sleep_for(std::chrono::milliseconds(stalls_ms[i]));
    }
    ReadUpTo(socket, in, kUploadBytes);
    boost::system::error_code ec;
    asio::write(socket,
                asio::buffer(std::string(
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")),
                ec);
    // Lets the response arrive before the connection is closed.
    ReadUpTo(socket, in, SIZE_MAX);
  });
  const ExchangeResult result =
      Upload({"127.0.0.1", acceptor.local_endpoint().port()}, kSilentAfter);
  server.join();
  INFO(result.error);
  CHECK(result.end == AttemptEnd::kAnswered);
}

TEST_CASE("a server that is gone while its window is closed is found") {
  // It does not respond to connections, since its queue of them is full. Its
  // kernel acknowledges window probes, but at intervals that grow beyond the
  // limit.
  asio::io_context io;
  Tcp::acceptor acceptor(io);
  acceptor.open(Tcp::v4());
  acceptor.bind({Tcp::v4(), 0});
  acceptor.listen(0);
  const auto port = acceptor.local_endpoint().port();
  std::vector<Tcp::socket> filling;
  Tcp::socket socket(io);
  std::thread server([&] {
    acceptor.accept(socket);
    for (int i = 0; i < 4; ++i) {
      Tcp::socket& it = filling.emplace_back(io, Tcp::v4());
      // The synchronous connect of asio would wait also here.
      it.native_non_blocking(true);
      const Tcp::endpoint to(asio::ip::address_v4::loopback(), port);
      ::connect(it.native_handle(), to.data(),
                static_cast<socklen_t>(to.size()));
    }
  });
  const ExchangeResult result = Upload({"127.0.0.1", port}, Duration(300));
  server.join();
  INFO(result.error);
  CHECK(result.end == AttemptEnd::kBroken);
  CHECK(result.took < Duration(4'000));
}

}  // namespace toucanknot
