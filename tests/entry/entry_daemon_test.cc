// One entry host on loopback, tested from the side of callers and backend
// servers.

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <thread>

#include "tests/entry/entry_fixture.h"
#include "tests/forward/fake_server.h"

namespace toucanknot {
namespace {

using Tcp = boost::asio::ip::tcp;

std::string Status(const std::string& response) {
  return response.size() < 12 ? response : response.substr(9, 3);
}

// A raw response of a backend server.
std::string RawResponse(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nX-Id: " + id +
         "\r\nX-Stamp: s\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Closes every connection as soon as it is accepted.
class ClosingServer {
 public:
  ClosingServer() {
    Accept();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~ClosingServer() {
    io_.stop();
    thread_.join();
  }

  Endpoint endpoint() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

 private:
  void Accept() {
    acceptor_.async_accept([this](boost::system::error_code ec, Tcp::socket) {
      if (!ec)
        Accept();
    });
  }

  boost::asio::io_context io_;
  Tcp::acceptor acceptor_{io_, Tcp::endpoint(Tcp::v4(), 0)};
  std::thread thread_;
};

}  // namespace

TEST_CASE("a host without a configuration refuses and is not ready") {
  EntryFixture it;
  const std::string out = it.Fetch("/safe/a");
  CHECK(Status(out) == "503");
  CHECK(out.find("Retry-After: ") != std::string::npos);
  CHECK(Status(it.FetchReadiness()) == "503");
  CHECK_FALSE(it.store->published);
  it.Configure();
  CHECK(Status(it.FetchReadiness()) == "200");
  CHECK(it.store->published);
  CHECK(Status(it.Fetch("/elsewhere/")) == "404");
}

TEST_CASE("a request carries the server's name and the remaining time") {
  EntryFixture it;
  it.Configure();
  std::string seen;
  TestServer server([&](const HttpRequest& request) {
    seen = std::string(request.fields.Get("X-Server")) + " " + request.target;
    const int left = std::stoi(std::string(request.fields.Get("X-Deadline")));
    CHECK(left <= 1'000);
    CHECK(left > 500);
    return TestServer::Ran(request, "hello");
  });
  it.AddServer("a", server.endpoint());
  const std::string out = it.Fetch("/safe/b?q=1");
  CHECK(Status(out) == "200");
  CHECK(out.find("X-Stamp: s") != std::string::npos);
  CHECK(out.find("hello") != std::string::npos);
  CHECK(seen == "a /safe/b?q=1");
}

TEST_CASE("a rejected request goes to another server, else 503") {
  EntryFixture it;
  it.Configure();
  TestServer full(&TestServer::NotRun);
  it.AddServer("a", full.endpoint());
  const std::string refused = it.Fetch("/once/a");
  CHECK(Status(refused) == "503");
  CHECK(refused.find("Retry-After: ") != std::string::npos);
  TestServer other([](const HttpRequest& request) {
    return TestServer::Ran(request, "other");
  });
  it.AddServer("b", other.endpoint());
  for (int i = 0; i < 4; ++i)
    CHECK(Status(it.Fetch("/once/a")) == "200");
  CHECK(other.arrivals == 4);
}

TEST_CASE("a non-idempotent request is not repeated on a broken connection") {
  EntryFixture it;
  it.Configure();
  FakeServer server({{FakeServer::kClose}});
  it.AddServer("a", server.endpoint());
  const std::string out = it.Fetch("/once/a");
  CHECK(Status(out) == "502");
}

TEST_CASE("an idempotent request is repeated on another server") {
  EntryFixture it;
  it.Configure();
  TestServer good([](const HttpRequest& request) {
    return TestServer::Ran(request, "good");
  });
  ClosingServer bad;
  it.AddServer("bad", bad.endpoint());
  it.AddServer("good", good.endpoint());
  // Every request is served whichever server is chosen first.
  for (int i = 0; i < 6; ++i)
    CHECK(Status(it.Fetch("/safe/" + std::to_string(i))) == "200");
  CHECK(good.arrivals == 6);
}

TEST_CASE("a response to another request is dropped") {
  EntryFixture it;
  it.Configure();
  FakeServer server({{RawResponse("41", "late") + RawResponse("42", "mine")}});
  it.AddServer("a", server.endpoint());
  const std::string out = it.Fetch("/once/a");
  CHECK(Status(out) == "200");
  CHECK(out.find("mine") != std::string::npos);
  CHECK(out.find("late") == std::string::npos);
}

TEST_CASE("an incomplete or invalid response is never passed on") {
  const std::string response =
      GENERATE(as<std::string>(),
               "HTTP/1.1 200 OK\r\nX-Id: 42\r\nX-Stamp: "
               "s\r\nContent-Length: 90\r\n\r\ncut",
               "garbage\r\n\r\n",
               "HTTP/1.1 200 OK\r\nX-Id: 42\r\nContent-Length: 2\r\n\r\nhi");
  EntryFixture it;
  it.Configure();
  FakeServer server({{response}});
  it.AddServer("a", server.endpoint());
  const std::string out = it.Fetch("/once/a");
  CHECK(Status(out) == "502");
}

TEST_CASE("a response without a length ends with its connection") {
  EntryFixture it;
  it.Configure();
  FakeServer server(
      {{"HTTP/1.1 200 OK\r\nX-Id: 42\r\nX-Stamp: s\r\n\r\nwhole"}});
  it.AddServer("a", server.endpoint());
  const std::string out = it.Fetch("/once/a");
  CHECK(Status(out) == "200");
  CHECK(out.find("whole") != std::string::npos);
}

TEST_CASE("a silent server costs no more than the route's timeout") {
  EntryFixture it;
  it.Configure(1, Duration(300));
  FakeServer server({{""}});
  it.AddServer("a", server.endpoint());
  const Instant start = SteadyNow();
  CHECK(Status(it.Fetch("/once/a")) == "504");
  CHECK(SteadyNow() - start >= Duration(280));
}

TEST_CASE("the host closes the server connection when the caller leaves") {
  EntryFixture it;
  it.Configure(1, Duration(20'000));
  boost::asio::io_context io;
  Tcp::acceptor acceptor(io, Tcp::endpoint(Tcp::v4(), 0));
  it.AddServer("a", {"127.0.0.1", acceptor.local_endpoint().port()});
  Tcp::socket caller(io);
  const Endpoint to = it.daemon->callers();
  caller.connect({boost::asio::ip::make_address(to.ip), to.port});
  boost::asio::write(caller,
                     boost::asio::buffer(EntryFixture::RequestText("/once/a")));
  Tcp::socket server(io);
  acceptor.accept(server);
  boost::asio::streambuf in;
  boost::asio::read_until(server, in, "\r\n\r\n");
  caller.close();
  // The read ends when the host closes its connection, long before the timeout
  // of the route.
  const Instant start = SteadyNow();
  boost::system::error_code ec;
  char byte = 0;
  server.read_some(boost::asio::buffer(&byte, 1), ec);
  CHECK(ec);
  CHECK(SteadyNow() - start < Duration(5'000));
}

TEST_CASE("a stop withdraws the host and completes running requests") {
  EntryFixture it;
  it.Configure();
  TestServer server([](const HttpRequest& request) {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    return TestServer::Ran(request, "done");
  });
  it.AddServer("a", server.endpoint());
  std::string out;
  std::thread requester([&] { out = it.Fetch("/once/a"); });
  while (server.arrivals == 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  it.daemon->BeginStop();
  it.store->Run([] {});
  CHECK_FALSE(it.store->published);
  CHECK(Status(it.FetchReadiness()) == "503");
  CHECK(it.daemon->WaitStopped());
  requester.join();
  CHECK(Status(out) == "200");
}

TEST_CASE("/explain names the server that a request would go to") {
  EntryFixture it;
  it.Configure();
  TestServer server([](const HttpRequest& request) {
    return TestServer::Ran(request, "hi");
  });
  it.AddServer("a", server.endpoint());
  const auto ask = [&](const std::string& path) {
    return EntryFixture::Send(it.daemon->metrics(),
                              EntryFixture::RequestText(path));
  };
  const std::string out = ask("/explain?host=x&path=/safe/a&object=7");
  CHECK(Status(out) == "200");
  CHECK(out.find("\"route\":\"/safe/\"") != std::string::npos);
  CHECK(out.find("\"server\":\"a\"") != std::string::npos);
  CHECK(out.find("\"decision\":{\"step\":\"send\",\"server\":\"a\"}") !=
        std::string::npos);
  CHECK(ask("/explain?host=x&path=/none").find("\"route\":null") !=
        std::string::npos);
  CHECK(ask("/explain?service=s").find("\"server\":\"a\"") !=
        std::string::npos);
  CHECK(server.arrivals == 0);
  CHECK(ask("/metrics").find("toucanknot_config_version 1") !=
        std::string::npos);
}

TEST_CASE("the directory lists hosts that are ready") {
  EntryFixture it;
  const std::string ask =
      "GET /hosts?name=x&region=r&zone=z HTTP/1.1\r\n"
      "Host: x\r\nConnection: close\r\n\r\n";
  CHECK(Status(EntryFixture::Send(it.daemon->directory(), ask)) == "503");
  it.Configure();
  const std::string out = EntryFixture::Send(it.daemon->directory(), ask);
  CHECK(Status(out) == "200");
  CHECK(out.find(it.daemon->callers().ToString()) != std::string::npos);
}

}  // namespace toucanknot
