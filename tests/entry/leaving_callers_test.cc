// Callers that leave while a large write to them, or to the server of their
// request, is pending. Run with AddressSanitizer.

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "tests/entry/entry_fixture.h"
#include "tests/forward/fake_server.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

// Sends `bytes`, waits, and closes the connection without reading.
void SendAndLeave(const Endpoint& to, const std::string& bytes) {
  asio::io_context io;
  Tcp::socket socket(io);
  socket.connect({asio::ip::make_address(to.ip), to.port});
  boost::system::error_code ec;
  asio::write(socket, asio::buffer(bytes), ec);
  std::this_thread::sleep_for(std::chrono::milliseconds(60));
}

}  // namespace

TEST_CASE("callers leave while a large response is written to them") {
  EntryFixture it;
  it.Configure();
  TestServer server([](const HttpRequest& request) {
    return TestServer::Ran(request, std::string(24 << 20, 'r'));
  });
  it.AddServer("a", server.endpoint());
  for (int i = 0; i < 5; ++i)
    SendAndLeave(it.daemon->callers(), EntryFixture::RequestText("/safe/a"));
  CHECK(it.FetchReadiness().starts_with("HTTP/1.1 200"));
}

TEST_CASE("callers leave while their upload is written to the server") {
  EntryFixture it;
  it.Configure(1, Duration(600));
  FakeServer server{FakeServer::Responses{""}, FakeServer::Responses{""},
                    FakeServer::Responses{""}};
  it.AddServer("a", server.endpoint());
  const size_t size = 15 << 20;
  const std::string upload =
      "POST /once/a HTTP/1.1\r\nHost: x\r\nX-Id: 42\r\nContent-Length: " +
      std::to_string(size) + "\r\n\r\n" + std::string(size, 'u');
  for (int i = 0; i < 3; ++i)
    SendAndLeave(it.daemon->callers(), upload);
  CHECK(it.FetchReadiness().starts_with("HTTP/1.1 200"));
}

}  // namespace toucanknot
