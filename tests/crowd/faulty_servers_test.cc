// Servers that send bytes without end, to many callers at once, must not end
// the process or cost the callers of other servers their responses.
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "tests/crowd/crowd.h"
#include "tests/crowd/crowd_host.h"
#include "tests/forward/faulty_server.h"

namespace toucanknot::crowd {
namespace {

struct FaultyCase {
  const char* name;
  std::string head;
  std::string piece;
};

constexpr int kClients = 300;
constexpr int kServers = 8;
constexpr int kRequestsOfClient = 8;
constexpr int kOrdinaryRequests = 100;
constexpr char kOpen[] = "HTTP/1.1 200 OK\r\n\r\n";
constexpr char kChunked[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string Repeat(const std::string& text, size_t bytes) {
  std::string out;
  while (out.size() + text.size() <= bytes)
    out += text;
  return out;
}

}  // namespace

TEST_CASE("faulty servers neither end a host nor cost others their responses") {
  const FaultyCase it = GENERATE(
      FaultyCase{"a body without a length", kOpen, "bbbbbbbb"},
      FaultyCase{"chunks", kChunked, "4\r\nabcd\r\n"},
      FaultyCase{"a length that is not delivered",
                 "HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n", ""},
      FaultyCase{"a head of short lines without end", "HTTP/1.1 200 OK\r\n",
                 "a:\r\n"},
      // Stays below the limit of a head, 64 KiB.
      FaultyCase{"a head of short lines that is not completed",
                 "HTTP/1.1 200 OK\r\n" + Repeat("a:\r\n", 60'000), ""},
      FaultyCase{"a trailer of short lines that is not completed",
                 std::string(kChunked) + "0\r\n" + Repeat("a:\r\n", 60'000),
                 ""});
  INFO(it.name);
  std::vector<std::unique_ptr<FaultyServer>> servers;
  std::vector<Endpoint> endpoints;
  servers.reserve(kServers);
  endpoints.reserve(kServers);
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(std::make_unique<FaultyServer>(it.head, it.piece));
    endpoints.push_back(servers.back()->endpoint());
  }
  CrowdHost host(endpoints);
  const std::string request = host.RequestHead("GET", "/faulty/") + "\r\n";
  Crowd crowd(host.callers(), kClients,
              {Repeat(request, kRequestsOfClient * request.size())});
  std::thread playing([&] { crowd.Play(); });
  int answered = 0;
  std::string last_failure;
  for (int i = 0; i < kOrdinaryRequests; ++i) {
    const std::string reply = host.ExchangeOrdinaryRequest();
    if (reply.starts_with("HTTP/1.1 200"))
      ++answered;
    else
      last_failure = reply;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  playing.join();
  REQUIRE(host.Lives());
  INFO("last failure: " << last_failure);
  CHECK(answered == kOrdinaryRequests);
  const int64_t peak_kb = host.PeakMemoryKb();
  INFO("peak memory " << peak_kb << " KB");
  // A sanitizer takes several times the memory of the process itself.
  CHECK((peak_kb <= CrowdHost::kMemoryMb * 1024 ||
         std::getenv("TOUCANKNOT_ENTRY_SANITIZED") != nullptr));
  CHECK(host.OpenDescriptors() <= CrowdHost::kMaxDescriptors);
}

}  // namespace toucanknot::crowd
