#include "review/standins-4/net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <thread>

namespace review {
namespace {

const Clock::time_point kStart = Clock::now();
constexpr size_t kReadBytes = 64 << 10;

sockaddr_in AddressOf(const Endpoint& endpoint) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.ip.c_str(), &out.sin_addr);
  return out;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

void NoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               kStart)
      .count();
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(
      std::chrono::milliseconds(std::max<int64_t>(ms, 0)));
}

std::string Message::Get(const std::string& name) const {
  const auto it = fields.find(name);
  return it == fields.end() ? std::string() : it->second;
}

std::string Message::Query(const std::string& name) const {
  size_t at = target.find('?');
  while (at != std::string::npos) {
    const size_t begin = at + 1;
    at = target.find('&', begin);
    const std::string part = target.substr(
        begin, at == std::string::npos ? std::string::npos : at - begin);
    const size_t equals = part.find('=');
    if (part.substr(0, equals) != name || equals == std::string::npos)
      continue;
    std::string out;
    for (size_t i = equals + 1; i < part.size(); ++i) {
      if (part[i] == '%' && i + 2 < part.size()) {
        out += static_cast<char>(
            std::strtol(part.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        out += part[i];
      }
    }
    return out;
  }
  return {};
}

Connection::~Connection() {
  if (fd_ >= 0)
    close(fd_);
}

bool Connection::Fill(int64_t until_ms) {
  pollfd it{fd_, POLLIN, 0};
  const int64_t left = until_ms - NowMs();
  if (left <= 0 || poll(&it, 1, static_cast<int>(left)) <= 0)
    return false;
  char chunk[kReadBytes];
  const ssize_t n = recv(fd_, chunk, sizeof chunk, 0);
  if (n <= 0)
    return false;
  buf_.append(chunk, static_cast<size_t>(n));
  return true;
}

std::optional<Message> Connection::Read(int64_t until_ms) {
  size_t end;
  while ((end = buf_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(until_ms))
      return std::nullopt;
  }
  Message out;
  size_t at = buf_.find("\r\n");
  const std::string first = buf_.substr(0, at);
  if (first.rfind("HTTP/", 0) == 0) {
    out.status = std::atoi(first.substr(first.find(' ') + 1).c_str());
  } else {
    const size_t space = first.find(' ');
    out.method = first.substr(0, space);
    out.target = first.substr(space + 1, first.rfind(' ') - space - 1);
  }
  while (at < end) {
    const size_t begin = at + 2;
    at = buf_.find("\r\n", begin);
    const std::string line = buf_.substr(begin, at - begin);
    const size_t colon = line.find(':');
    const size_t value = line.find_first_not_of(' ', colon + 1);
    out.fields.emplace(Lower(line.substr(0, colon)),
                       value == std::string::npos ? "" : line.substr(value));
  }
  const size_t size =
      std::strtoul(out.Get("content-length").c_str(), nullptr, 10);
  const size_t body = end + 4;
  while (buf_.size() < body + size) {
    if (!Fill(until_ms))
      return std::nullopt;
  }
  out.body = buf_.substr(body, size);
  buf_.erase(0, body + size);
  return out;
}

bool Connection::Write(const std::string& bytes) {
  size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t n =
        send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    done += static_cast<size_t>(n);
  }
  return true;
}

void Connection::Reset() {
  const linger on{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &on, sizeof on);
  close(fd_);
  fd_ = -1;
}

std::string Connection::Peek(int64_t until_ms) {
  pollfd it{fd_, POLLIN, 0};
  const int64_t left = until_ms - NowMs();
  if (!buf_.empty() || left <= 0 || poll(&it, 1, static_cast<int>(left)) <= 0)
    return buf_;
  char chunk[kReadBytes];
  const ssize_t n = recv(fd_, chunk, sizeof chunk, MSG_PEEK);
  return n <= 0 ? std::string() : std::string(chunk, static_cast<size_t>(n));
}

int Listen(Endpoint& at, int receive_buffer) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof receive_buffer);
  }
  sockaddr_in address = AddressOf(at);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, 1024) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  at.port = ntohs(address.sin_port);
  return fd;
}

int Connect(const Endpoint& to, int64_t limit_ms) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  fcntl(fd, F_SETFL, O_NONBLOCK);
  const sockaddr_in address = AddressOf(to);
  connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  pollfd it{fd, POLLOUT, 0};
  int error = 1;
  socklen_t size = sizeof error;
  if (poll(&it, 1, static_cast<int>(limit_ms)) > 0)
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    close(fd);
    return -1;
  }
  fcntl(fd, F_SETFL, 0);
  NoDelay(fd);
  return fd;
}

uint16_t FreePort(const std::string& ip) {
  for (;;) {
    Endpoint at{ip, 0};
    const int tcp = Listen(at);
    const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = AddressOf(at);
    const bool free = bind(udp, reinterpret_cast<const sockaddr*>(&address),
                           sizeof address) == 0;
    close(tcp);
    close(udp);
    if (free)
      return at.port;
  }
}

void Serve(int listener, std::function<void(Connection&)> serve) {
  std::thread([listener, serve = std::move(serve)] {
    for (;;) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        SleepMs(10);
        continue;
      }
      NoDelay(fd);
      std::thread([fd, serve] {
        Connection connection(fd);
        serve(connection);
      }).detach();
    }
  }).detach();
}

std::string ResponseText(int status,
                         const std::string& fields,
                         const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace review
