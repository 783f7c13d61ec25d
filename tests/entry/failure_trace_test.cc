// Traces a failed request by its id to the cause, using the log lines of a real
// host: the conclusions must name the fault that the test injected.

#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <string>
#include <thread>

#include "include/trace/log_timeline.h"
#include "src/entry/decision_log.h"
#include "tests/entry/entry_fixture.h"
#include "tests/forward/fake_server.h"

namespace toucanknot {
namespace {

// Captures the log of this process during its lifetime.
class LogCapture {
 public:
  LogCapture() {
    std::fflush(stdout);
    saved_ = ::dup(STDOUT_FILENO);
    const int file = ::mkstemp(path_.data());
    REQUIRE(file >= 0);
    ::dup2(file, STDOUT_FILENO);
    ::close(file);
    StartDecisionLog("h");
  }
  ~LogCapture() { End(); }

  // Conclusions of LogTimeline about a request, from the captured log.
  std::string ConclusionsFor(const std::string& id) {
    End();
    LogTimeline timeline;
    std::ifstream in(path_);
    timeline.Read(in);
    std::string out;
    for (const std::string& it : timeline.Conclusions(id))
      out += it + "\n";
    std::remove(path_.c_str());
    return out;
  }

 private:
  void End() {
    if (saved_ < 0)
      return;
    std::fflush(stdout);
    ::dup2(saved_, STDOUT_FILENO);
    ::close(saved_);
    saved_ = -1;
  }

  int saved_ = -1;
  std::string path_ = "/tmp/toucanknot-log-XXXXXX";
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

TEST_CASE("trace: refused because the service has no server") {
  LogCapture log;
  {
    EntryFixture it;
    it.Configure();
    it.Fetch("/once/1");
  }
  const std::string conclusions = log.ConclusionsFor("42");
  INFO(conclusions);
  CHECK(Contains(conclusions, "503"));
  CHECK(Contains(conclusions, "it did not run"));
  CHECK(
      Contains(conclusions, "no backend server of the service took requests"));
}

TEST_CASE("trace: timed out at a server that does not respond") {
  LogCapture log;
  {
    EntryFixture it;
    TestServer server([](const HttpRequest& request) {
      std::this_thread::sleep_for(std::chrono::milliseconds(700));
      return TestServer::Ran(request, "late");
    });
    it.Configure(1, Duration(300));
    it.AddServer("s-slow", server.endpoint());
    it.Fetch("/once/1");
  }
  const std::string conclusions = log.ConclusionsFor("42");
  INFO(conclusions);
  CHECK(Contains(conclusions, "504"));
  CHECK(Contains(conclusions, "it may have run"));
  CHECK(Contains(conclusions,
                 "s-slow did not respond within the route's timeout"));
}

TEST_CASE("trace: lost with a server that crashes") {
  LogCapture log;
  {
    EntryFixture it;
    FakeServer server({{FakeServer::kClose}});
    it.Configure();
    it.AddServer("s-crash", server.endpoint());
    it.Fetch("/once/1");
    it.store->Run(
        [&] { it.store->listener.server_removed(ServerId("s-crash")); });
  }
  const std::string conclusions = log.ConclusionsFor("42");
  INFO(conclusions);
  CHECK(Contains(conclusions, "502"));
  CHECK(Contains(conclusions, "s-crash broke the connection"));
  CHECK(Contains(conclusions, ": gone"));
}

TEST_CASE("trace: rejected by a full server, did not run") {
  LogCapture log;
  {
    EntryFixture it;
    TestServer server(
        [](const HttpRequest& request) { return TestServer::NotRun(request); });
    it.Configure();
    it.AddServer("s-full", server.endpoint());
    it.Fetch("/once/1");
  }
  const std::string conclusions = log.ConclusionsFor("42");
  INFO(conclusions);
  CHECK(Contains(conclusions, "503"));
  CHECK(Contains(conclusions, "it did not run"));
  CHECK(Contains(conclusions, "s-full did not run it"));
}

}  // namespace toucanknot
