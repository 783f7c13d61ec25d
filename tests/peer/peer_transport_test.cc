#include "include/peer/peer_transport.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "include/peer/frame_codec.h"

namespace toucanknot {
namespace {

// Prevents a failing test from hanging.
constexpr std::chrono::seconds kTestTimeout{20};

PeerTransportOptions Options(const std::string& host, const char* secret) {
  PeerTransportOptions options;
  options.self = {HostId(host), 1};
  options.listen = {"127.0.0.1", 0};
  options.keys = std::make_shared<FleetKeys>(FleetKey{1, secret});
  options.min_backoff = options.max_backoff = Duration(10);
  return options;
}

// Two hosts on one io_context.
class Pair {
 public:
  explicit Pair(const char* secret_of_b = "the fleet's secret")
      : a(context, Options("a", "the fleet's secret")),
        b(context, Options("b", secret_of_b)) {
    a.Start([this](const PeerSender& from, const PeerMessage& message) {
      got.push_back(std::get<PartAsk>(message).digest + from.host.str());
    });
    b.Start([](const PeerSender&, const PeerMessage&) {});
    b.SetPeers({{HostId("a"), a.listen_address()}});
  }

  void SendFromB(const std::string& text) {
    b.Send({{HostId("a")}, PartAsk{text}});
  }

  bool RunUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + kTestTimeout;
    while (!done() && std::chrono::steady_clock::now() < end)
      context.run_one_for(std::chrono::milliseconds(50));
    return done();
  }

  boost::asio::io_context context;
  PeerTransport a;
  PeerTransport b;
  std::vector<std::string> got;
};

}  // namespace

TEST_CASE("messages arrive in order over one connection") {
  Pair pair;
  std::vector<std::string> expected;
  for (int i = 0; i < 100; ++i) {
    pair.SendFromB(std::to_string(i) + std::string(i * 300, '.'));
    expected.push_back(std::to_string(i) + std::string(i * 300, '.') + "b");
  }
  CHECK(pair.RunUntil([&] { return pair.got.size() == expected.size(); }));
  CHECK(pair.got == expected);
  CHECK(pair.b.stats().dropped_messages == 0);
}

TEST_CASE("messages from a host with another fleet's key are rejected") {
  Pair pair("another fleet's secret");
  pair.SendFromB("x");
  CHECK(pair.RunUntil([&] { return pair.a.stats().bad_connections > 0; }));
  CHECK(pair.got.empty());
}

TEST_CASE("invalid bytes close only the connection on which they arrive") {
  using boost::asio::ip::tcp;
  Pair pair;
  tcp::socket socket(pair.context);
  socket.connect(tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                               pair.a.listen_address().port));
  boost::asio::write(socket, boost::asio::buffer(std::string(100, '\x7f')));
  CHECK(pair.RunUntil([&] { return pair.a.stats().bad_connections == 1; }));
  pair.SendFromB("x");
  CHECK(pair.RunUntil([&] { return pair.got.size() == 1; }));
}

TEST_CASE("messages to unreachable and unknown hosts are dropped and counted") {
  Pair pair;
  // Port 9 is closed on the loopback address.
  pair.b.SetPeers({{HostId("a"), {"127.0.0.1", 9}}});
  pair.SendFromB("lost");
  pair.b.Send({{HostId("nobody")}, PartAsk{"lost"}});
  CHECK(pair.RunUntil([&] { return pair.b.stats().dropped_messages == 2; }));
  pair.b.SetPeers({{HostId("a"), pair.a.listen_address()}});
  pair.SendFromB("x");
  CHECK(pair.RunUntil([&] { return pair.got.size() == 1; }));
  CHECK(pair.got.at(0) == "xb");
}

TEST_CASE("a restarted peer receives the messages sent after its return") {
  Pair pair;
  pair.SendFromB("1");
  REQUIRE(pair.RunUntil([&] { return pair.got.size() == 1; }));
  PeerTransportOptions again = Options("a", "the fleet's secret");
  again.listen = pair.a.listen_address();
  pair.a.Stop();
  while (pair.context.poll_one() > 0) {
  }
  PeerTransport restarted(pair.context, again);
  restarted.Start([&](const PeerSender&, const PeerMessage& message) {
    pair.got.push_back(std::get<PartAsk>(message).digest);
  });
  pair.SendFromB("2");
  CHECK(pair.RunUntil([&] { return pair.got.size() == 2; }));
}

TEST_CASE("a stop is reported once the address is free again") {
  // A host that was stopped while it handled a message kept its listener: the
  // closing was queued behind that message, and its loop ended before.
  boost::asio::io_context context;
  std::promise<void> entered;
  std::promise<void> release;
  PeerTransport a(context, Options("a", "the fleet's secret"));
  PeerTransport b(context, Options("b", "the fleet's secret"));
  a.Start([&](const PeerSender&, const PeerMessage&) {
    entered.set_value();
    release.get_future().wait();
  });
  b.Start([](const PeerSender&, const PeerMessage&) {});
  b.SetPeers({{HostId("a"), a.listen_address()}});
  b.Send({{HostId("a")}, PartAsk{"x"}});
  std::thread loop([&] { context.run_for(kTestTimeout); });
  entered.get_future().wait();
  std::promise<bool> address_free;
  a.Stop([&] {
    boost::system::error_code ec;
    boost::asio::ip::tcp::acceptor acceptor(context);
    const boost::asio::ip::tcp::endpoint address(
        boost::asio::ip::make_address(a.listen_address().ip),
        a.listen_address().port);
    acceptor.open(address.protocol());
    acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    acceptor.bind(address, ec);
    address_free.set_value(!ec);
  });
  release.set_value();
  CHECK(address_free.get_future().get());
  context.stop();
  loop.join();
}

TEST_CASE("the oldest messages of a full queue are dropped") {
  boost::asio::io_context context;
  PeerTransportOptions options = Options("b", "the fleet's secret");
  options.max_queue_bytes = 1000;
  PeerTransport b(context, options);
  b.SetPeers({{HostId("a"), {"127.0.0.1", 9}}});
  for (int i = 0; i < 100; ++i)
    b.Send({{HostId("a")}, PartAsk{std::string(100, 'x')}});
  context.poll_one();
  for (int i = 0; i < 100; ++i)
    context.poll_one();
  CHECK(b.stats().dropped_messages > 85);
}

}  // namespace toucanknot
