// Answers of the store that break off: no server or host may vanish.

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "include/base/error.h"
#include "platform/platform_store.h"
#include "platform/wire_decoder.h"
#include "tests/forward/scripted_peer.h"

namespace toucanknot::platform {
namespace {

// Two servers, whose entries are not read.
constexpr char kItems[] =
    R"([{"key":"servers/a","value":"e30=","revision":3,"created_rev":3,)"
    R"("lease":0},{"key":"servers/b","value":"e30=","revision":4,)"
    R"("created_rev":4,"lease":0}])";

std::string Listing() {
  return R"({"store_revision":9,"truncated":false,"items":)" +
         std::string(kItems) + "}";
}
std::string Events() {
  return R"({"store_revision":9,"events":)" + std::string(kItems) + "}";
}

std::string Response(const std::string& status, const std::string& body) {
  return "HTTP/1.1 " + status +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}
// Its body ends with the connection, so that nothing but its text shows that it
// broke off.
std::string Unframed(const std::string& body) {
  return "HTTP/1.1 200 OK\r\n\r\n" + body;
}

// The numbers of servers that a host lists which gets a whole listing first and
// the given replies when it reads the keys again.
std::vector<size_t> ListServers(const std::vector<std::string>& replies) {
  boost::asio::io_context loop;
  std::vector<size_t> listed;
  size_t readings = 0;
  const ScriptedPeer peer(loop, [&](const std::string& target) {
    // The history is lost: the keys have to be read again.
    if (!target.starts_with("/v1/kv-range"))
      return ScriptedReply{Response("410 Gone", ""), Ending::kKeep};
    const size_t n = readings++;
    if (n == 0 || n > replies.size())
      return ScriptedReply{Response("200 OK", Listing()), Ending::kKeep};
    return ScriptedReply{replies[n - 1], Ending::kClose};
  });
  PlatformStore store(loop, peer.endpoint(), {Duration(2'500), {}}, 1);
  FleetStoreListener listener;
  listener.config = [](const RouteConfigPtr&) {};
  listener.zone_evacuated = listener.zone_restored = [](const ZoneId&) {};
  listener.evacuations_listed = [](const std::set<ZoneId>&) {};
  listener.server = [](const ServerEntry&) {};
  listener.server_removed = [](const ServerId&) {};
  listener.servers_listed = [&](const std::set<ServerId>& servers) {
    listed.push_back(servers.size());
    if (readings > replies.size() + 1)
      loop.stop();
  };
  listener.host = [](const HostRecord&) {};
  listener.host_removed = [](const HostId&) {};
  listener.hosts_listed = [](const std::set<HostId>&) {};
  listener.store_unreachable = [](bool) {};
  store.Start(listener);
  loop.run_for(std::chrono::seconds(30));
  return listed;
}

}  // namespace

TEST_CASE("no part of a listing or of a watch is taken for a shorter one") {
  for (size_t cut = 0; cut < Listing().size(); ++cut)
    CHECK_THROWS_AS(DecodeListing(Listing().substr(0, cut)), Error);
  for (size_t cut = 0; cut < Events().size(); ++cut)
    CHECK_THROWS_AS(DecodeEvents(Events().substr(0, cut)), Error);
}

TEST_CASE("a listing that breaks off removes no servers") {
  const std::string whole = Response("200 OK", Listing());
  std::vector<std::string> replies;
  for (const size_t cut :
       {size_t{1}, size_t{12}, size_t{17}, whole.find('{'), whole.size() - 2}) {
    replies.push_back(whole.substr(0, cut));
  }
  for (size_t cut = 0; cut < Listing().size(); cut += 40)
    replies.push_back(Unframed(Listing().substr(0, cut)));
  const std::vector<size_t> listed = ListServers(replies);
  CHECK(listed.size() >= 2);
  for (const size_t it : listed)
    CHECK(it == 2);
}

TEST_CASE("a page that is not the last but has no items removes no servers") {
  const std::string page =
      GENERATE(R"({"store_revision":9,"truncated":true,"items":[]})",
               R"({"store_revision":9,"truncated":true,"items":[{"key":1}]})",
               R"({"store_revision":9,"truncated":1,"items":[]})");
  const std::vector<size_t> listed = ListServers({Response("200 OK", page)});
  CHECK(listed.size() >= 2);
  for (const size_t it : listed)
    CHECK(it == 2);
}

}  // namespace toucanknot::platform
