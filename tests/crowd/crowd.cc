#include "tests/crowd/crowd.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

namespace toucanknot::crowd {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kMaxPlay{20'000};
// How long the host gets to work on what was sent last.
constexpr milliseconds kSettle{1'500};
constexpr int kSmallReceiveBuffer = 4 << 10;
constexpr int kReplySeconds = 5;

int Connect(const Endpoint& host, int receive_buffer) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) {
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof receive_buffer);
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(host.port);
  ::inet_pton(AF_INET, host.ip.c_str(), &address.sin_addr);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof address) == 0) {
    return fd;
  }
  ::close(fd);
  return -1;
}

}  // namespace

Crowd::Crowd(const Endpoint& host, int clients, Script script)
    : script_(std::move(script)) {
  for (int i = 0; i < clients; ++i) {
    Client client;
    client.fd = Connect(host, script_.reads ? 0 : kSmallReceiveBuffer);
    client.closed = client.fd < 0;
    clients_.push_back(client);
  }
}

Crowd::~Crowd() {
  for (const Client& it : clients_) {
    if (it.fd >= 0)
      ::close(it.fd);
  }
}

bool Crowd::Receive(Client& client) {
  char sink[4096];
  const ssize_t n = ::recv(client.fd, sink, sizeof sink, MSG_DONTWAIT);
  client.closed = n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  return n > 0;
}

void Crowd::Step(Client& client) {
  if (client.closed)
    return;
  if (script_.reads) {
    while (Receive(client)) {
    }
  }
  const bool trickles = client.sent >= script_.bytes.size();
  const std::string& from = trickles ? script_.trickled : script_.bytes;
  const size_t at = trickles ? client.sent - script_.bytes.size() : client.sent;
  const size_t n =
      trickles ? std::min<size_t>(from.size() - at, 1) : from.size() - at;
  if (n == 0 || client.closed)
    return;
  const ssize_t sent =
      ::send(client.fd, from.data() + at, n, MSG_DONTWAIT | MSG_NOSIGNAL);
  if (sent > 0)
    client.sent += static_cast<size_t>(sent);
  else if (errno != EAGAIN && errno != EWOULDBLOCK)
    client.closed = true;
}

bool Crowd::Done() const {
  const size_t all = script_.bytes.size() + script_.trickled.size();
  return std::all_of(clients_.begin(), clients_.end(), [all](const Client& it) {
    return it.closed || it.sent == all;
  });
}

void Crowd::Play() {
  const auto end = steady_clock::now() + kMaxPlay;
  auto settled = steady_clock::time_point::max();
  while (steady_clock::now() < std::min(end, settled)) {
    for (Client& it : clients_)
      Step(it);
    if (settled == steady_clock::time_point::max() && Done())
      settled = steady_clock::now() + kSettle;
    std::this_thread::sleep_for(milliseconds(1));
  }
}

std::string Exchange(const Endpoint& host, const std::string& bytes) {
  const int fd = Connect(host, 0);
  if (fd < 0)
    return {};
  const timeval limit{kReplySeconds, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  std::string out;
  char part[4096];
  for (ssize_t n = 0; (n = ::recv(fd, part, sizeof part, 0)) > 0;)
    out.append(part, static_cast<size_t>(n));
  ::close(fd);
  return out;
}

}  // namespace toucanknot::crowd
