// Replies to the operators' command line that end at each of their bytes.

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <thread>

#include "include/store/http_exchange.h"
#include "tests/forward/scripted_peer.h"

namespace toucanknot {

TEST_CASE("a reply to a command that is cut at any byte is not complete") {
  const Ending ending =
      GENERATE(Ending::kClose, Ending::kHalfClose, Ending::kReset);
  const bool framed = GENERATE(false, true);
  const std::string head = std::string("HTTP/1.1 200 OK\r\nRevision: 7\r\n") +
                           (framed ? "Content-Length: 9\r\n\r\n" : "\r\n");
  const std::string whole = head + "[\"k\", \"\"]";
  boost::asio::io_context loop;
  const ScriptedPeer peer(loop, [&](const std::string& target) {
    return ScriptedReply{whole.substr(0, std::stoul(target.substr(1))), ending};
  });
  std::thread thread([&] { loop.run(); });
  for (size_t cut = 0; cut < whole.size(); ++cut) {
    const HttpClientResult it =
        Exchange(peer.endpoint(), {"GET", "/" + std::to_string(cut)},
                 Duration::Seconds(20));
    INFO("cut after " << cut << ", framed: " << framed << ": " << it.error);
    // Only the end of the connection ends a body without a length.
    const bool ended =
        !framed && cut >= head.size() && ending != Ending::kReset;
    CHECK((it.stage == HttpClientStage::kCompleted) == ended);
    if (!ended)
      CHECK(it.body.empty());
  }
  loop.stop();
  thread.join();
}

}  // namespace toucanknot
