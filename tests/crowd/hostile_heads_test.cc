// Guards against requests of legal size that end or block a host: heads made
// of thousands of short or odd lines took 230 KB of memory for each of their
// connections, and responses to callers that never read were not counted. Each
// case plays one kind of them with a small crowd and checks that the process
// lives, stays within its memory and descriptors, and then answers an ordinary
// request, while the crowd is still connected.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <string>

#include "tests/crowd/crowd.h"
#include "tests/crowd/crowd_host.h"

namespace toucanknot::crowd {
namespace {

constexpr int kClients = 360;
// Below the limit of a head, 16 KiB.
constexpr size_t kHeadBytes = 15'500;
constexpr char kEnd[] = "\r\n";

// A sanitizer takes several times the memory of the process itself, so that the
// bound does not hold for a host that is built with one.
bool IsMemoryBounded() {
  return std::getenv("TOUCANKNOT_ENTRY_SANITIZED") == nullptr;
}

// Repeats `line` up to the size of a large legal head.
std::string FillHead(std::string head, const std::string& line) {
  while (head.size() + line.size() + 2 <= kHeadBytes)
    head += line;
  return head;
}

// The begin of a request whose following lines of four bytes each do not end at
// a multiple of four, where reads end: the parser then kept the fields of an
// incomplete head.
std::string UnalignedHead(const CrowdHost& host) {
  std::string path = "/";
  while (host.RequestHead("GET", path).size() % 4 != 2)
    path += "p";
  return host.RequestHead("GET", path);
}

void CheckHost(CrowdHost& host) {
  REQUIRE(host.Lives());
  CHECK(host.OpenDescriptors() <= CrowdHost::kMaxDescriptors);
  CHECK(host.AnswersOrdinaryRequest());
  REQUIRE(host.Lives());
  const int64_t peak_kb = host.PeakMemoryKb();
  INFO("peak memory " << peak_kb << " KB");
  if (IsMemoryBounded())
    CHECK(peak_kb <= CrowdHost::kMemoryMb * 1024);
  else
    CHECK(peak_kb > 0);
}

void PlayAndCheck(CrowdHost& host, Script script) {
  Crowd crowd(host.callers(), kClients, std::move(script));
  crowd.Play();
  CheckHost(host);
}

}  // namespace

TEST_CASE("lines of one letter") {
  CrowdHost host;
  PlayAndCheck(host,
               {FillHead(host.RequestHead("GET", "/"), "a:b\r\n") + kEnd});
}

TEST_CASE("empty values") {
  CrowdHost host;
  PlayAndCheck(host, {FillHead(host.RequestHead("GET", "/"), "a:\r\n") + kEnd});
}

TEST_CASE("names of one byte, repeated") {
  CrowdHost host;
  std::string lines;
  for (char it = 'a'; it <= 'z'; ++it)
    lines += std::string(1, it) + ": 1\r\n";
  PlayAndCheck(host, {FillHead(host.RequestHead("GET", "/"), lines) + kEnd});
}

TEST_CASE("thousands of fields of the same name") {
  CrowdHost host;
  PlayAndCheck(host,
               {FillHead(host.RequestHead("GET", "/"), "same:1\r\n") + kEnd});
}

TEST_CASE("thousands of names in Connection") {
  CrowdHost host;
  std::string head = host.RequestHead("GET", "/") + "Connection: close";
  for (int i = 0; head.size() < kHeadBytes / 2; ++i)
    head += "," + std::to_string(i);
  PlayAndCheck(host, {FillHead(head + "\r\n", "1:\r\n") + kEnd});
}

TEST_CASE("folded lines") {
  CrowdHost host;
  PlayAndCheck(
      host,
      {FillHead(host.RequestHead("GET", "/") + "f: 1\r\n", " 2\r\n") + kEnd});
}

TEST_CASE("very long names") {
  CrowdHost host;
  const std::string head = host.RequestHead("GET", "/");
  PlayAndCheck(host, {head + std::string(kHeadBytes - head.size() - 8, 'n') +
                      ": 1\r\n\r\n"});
}

TEST_CASE("header lines in the trailer of a chunked body") {
  CrowdHost host;
  PlayAndCheck(host, {FillHead(host.RequestHead("POST", "/") +
                                   "Transfer-Encoding: chunked\r\n\r\n"
                                   "1\r\nx\r\n0\r\n",
                               "a:\r\n") +
                      kEnd});
}

TEST_CASE("pipelined requests on one connection") {
  CrowdHost host;
  const std::string request =
      FillHead(host.RequestHead("GET", "/"), "a:\r\n") + kEnd;
  std::string bytes;
  for (int i = 0; i < 8; ++i)
    bytes += request;
  PlayAndCheck(host, {bytes});
}

TEST_CASE("connections that stop just before the end of the head") {
  CrowdHost host;
  PlayAndCheck(host, {FillHead(UnalignedHead(host), "a:\r\n")});
}

TEST_CASE("heads trickled byte by byte") {
  CrowdHost host;
  const std::string head = FillHead(UnalignedHead(host), "a:\r\n");
  PlayAndCheck(host, {head.substr(0, head.size() - 400),
                      head.substr(head.size() - 400) + kEnd});
}

TEST_CASE("callers that never read") {
  CrowdHost host;
  std::string bytes;
  for (int i = 0; i < 8; ++i)
    bytes += host.RequestHead("GET", "/large") + kEnd;
  PlayAndCheck(host, {bytes, "", false});
}

TEST_CASE("thousands of fields in the responses of servers", "[.known-red]") {
  CrowdHost host;
  std::string bytes;
  for (int i = 0; i < 8; ++i)
    bytes += host.RequestHead("GET", "/fields") + kEnd;
  PlayAndCheck(host, {bytes, "", false});
}

TEST_CASE("datagrams of header lines from a peer") {
  CrowdHost host;
  const int fd = ::socket(AF_INET, SOCK_DGRAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(host.peers().port);
  ::inet_pton(AF_INET, host.peers().ip.c_str(), &address.sin_addr);
  const std::string bytes = FillHead("", "a:\r\n");
  for (int i = 0; i < 10'000; ++i) {
    ::sendto(fd, bytes.data(), bytes.size() - static_cast<size_t>(i % 1'000), 0,
             reinterpret_cast<const sockaddr*>(&address), sizeof address);
  }
  ::close(fd);
  CheckHost(host);
}

}  // namespace toucanknot::crowd
