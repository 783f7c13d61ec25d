// Guards against news of the store that does not reach the other hosts over the
// socket of load reports, or is taken for a load report.

#include "src/entry/load_exchange.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace toucanknot {
namespace {

namespace asio = boost::asio;

// A port that is free on the loopback addresses at the moment.
uint16_t FreePort(asio::io_context& loop) {
  asio::ip::udp::socket socket(
      loop, {asio::ip::make_address("127.0.0.1"), uint16_t{0}});
  return socket.local_endpoint().port();
}

}  // namespace

TEST_CASE("news of the store and load reports share a socket") {
  asio::io_context loop;
  const uint16_t port = FreePort(loop);
  const Endpoint sender{"127.0.0.1", port};
  const Endpoint receiver{"127.0.0.2", port};
  std::optional<StoreNews> news;
  int sheets = 0;
  const auto hooks = [&](bool sends) {
    LoadExchange::Hooks out;
    out.own_sheet = [] {
      LoadSheet sheet;
      sheet.host = 7;
      return sheet;
    };
    out.notice = [] { return std::nullopt; };
    out.usage = [] { return std::nullopt; };
    out.crowded = [] { return false; };
    out.on_sheet = [&](const LoadSheet& it) { sheets += it.host == 7 ? 1 : 0; };
    out.on_store_news = [&](const StoreNews& it) { news = it; };
    out.peers = [&, sends](bool) {
      return sends ? std::vector{receiver} : std::vector<Endpoint>();
    };
    return out;
  };
  LoadExchange from(loop, sender, hooks(true));
  LoadExchange to(loop, receiver, hooks(false));
  from.Start();
  to.Start();
  StoreNews sent;
  sent.host = HostId("h");
  sent.revision = 3;
  sent.age = Duration(40);
  // The largest datagram that a reader sends, see StoreNewsFeed::kMaxBytes.
  sent.changes = {{"key", 3, false, std::string(7'000, 'v')}};
  from.SendStoreNews({receiver}, sent);
  for (int i = 0; i < 100 && (!news || sheets == 0); ++i)
    loop.run_for(std::chrono::milliseconds(50));
  REQUIRE(news);
  CHECK(news->changes == sent.changes);
  CHECK(news->age == sent.age);
  CHECK(sheets > 0);
}

}  // namespace toucanknot
