#include "loopback.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <stdexcept>
#include <utility>

namespace review {
namespace {

const Clock::time_point kStart = Clock::now();

sockaddr_in AddressOf(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  if (::inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1 ||
      ip.rfind("127.", 0) != 0) {
    throw std::runtime_error("not a loopback address: " + ip);
  }
  return address;
}

int Bind(const std::string& ip, uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = AddressOf(ip, port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
      0) {
    ::close(fd);
    throw std::runtime_error("cannot bind " + ip + ": " + std::strerror(errno));
  }
  return fd;
}

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

Message ParseHead(const std::string& head) {
  Message out;
  size_t at = head.find("\r\n");
  out.start = head.substr(0, at);
  while (at + 2 < head.size()) {
    const size_t begin = at + 2;
    at = head.find("\r\n", begin);
    if (at == std::string::npos || at == begin)
      break;
    const std::string line = head.substr(begin, at - begin);
    const size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ')
      ++value;
    out.fields[LowerCase(line.substr(0, colon))] = line.substr(value);
  }
  return out;
}

}  // namespace

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                               kStart)
      .count();
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void LimitRunTime(int64_t ms) {
  std::thread([ms] {
    SleepMs(ms);
    std::fprintf(stderr, "the case took too long\n");
    // The children get a signal when their parent ends.
    ::_exit(2);
  }).detach();
}

Record::Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
  if (file_ == nullptr)
    throw std::runtime_error("cannot write " + path);
}

Record::~Record() {
  std::fclose(file_);
}

void Record::Add(const std::string& line) {
  const std::lock_guard lock(mutex_);
  std::fprintf(file_, "%7lld ms  %s\n", static_cast<long long>(NowMs()),
               line.c_str());
  std::fflush(file_);
}

uint16_t FreePort(const std::string& ip) {
  const int fd = Bind(ip, 0);
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(fd);
  return ntohs(address.sin_port);
}

Connection::~Connection() {
  if (fd_ >= 0)
    ::close(fd_);
}

std::shared_ptr<Connection> Connection::Open(const std::string& ip,
                                             uint16_t port,
                                             int receive_bytes) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto connection = std::make_shared<Connection>(fd);
  if (receive_bytes > 0) {
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                 sizeof receive_bytes);
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const sockaddr_in address = AddressOf(ip, port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0)
    return nullptr;
  return connection;
}

bool Connection::Send(const std::string& bytes) {
  for (size_t sent = 0; sent < bytes.size();) {
    const ssize_t n =
        ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR)
      continue;
    if (n <= 0)
      return false;
    sent += static_cast<size_t>(n);
  }
  return true;
}

int Connection::Receive(std::string& to, int64_t wait_ms, size_t max_bytes) {
  pollfd poll{fd_, POLLIN, 0};
  const int ready =
      ::poll(&poll, 1, static_cast<int>(std::max<int64_t>(wait_ms, 0)));
  if (ready == 0)
    return -2;
  std::string bytes(max_bytes, '\0');
  const ssize_t n = ::recv(fd_, bytes.data(), bytes.size(), 0);
  if (n < 0) {
    error_ = std::strerror(errno);
    return -1;
  }
  to.append(bytes, 0, static_cast<size_t>(n));
  return static_cast<int>(n);
}

void Connection::Reset() {
  const linger now{1, 0};
  ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  ::close(fd_);
  fd_ = -1;
}

void Connection::Shutdown() {
  ::shutdown(fd_, SHUT_RDWR);
}

std::string Message::Field(const std::string& name) const {
  const auto it = fields.find(name);
  return it == fields.end() ? "" : it->second;
}

int Message::status() const {
  const size_t at = start.find(' ');
  return at == std::string::npos ? 0 : std::atoi(start.c_str() + at + 1);
}

std::string Message::method() const {
  return start.substr(0, start.find(' '));
}

std::string Message::target() const {
  const size_t begin = start.find(' ') + 1;
  return start.substr(begin, start.find(' ', begin) - begin);
}

MessageReader::End MessageReader::Read(Message& out, int64_t until_ms) {
  size_t need = 0;
  bool parsed = false;
  for (;;) {
    const size_t end = buffer_.find("\r\n\r\n");
    if (!parsed && end != std::string::npos) {
      out = ParseHead(buffer_.substr(0, end + 4));
      buffer_.erase(0, end + 4);
      need =
          static_cast<size_t>(std::atoll(out.Field("content-length").c_str()));
      parsed = true;
    }
    if (parsed && buffer_.size() >= need) {
      out.body = buffer_.substr(0, need);
      buffer_.erase(0, need);
      return End::kMessage;
    }
    const int n = connection_.Receive(buffer_, until_ms - NowMs());
    if (n == -2)
      return End::kTimedOut;
    if (n == 0)
      return End::kClosed;
    if (n < 0)
      return End::kBroken;
  }
}

Listener::Listener(const std::string& ip,
                   uint16_t port,
                   Serve serve,
                   int receive_bytes)
    : fd_(Bind(ip, port)) {
  // Connections take it over when they are accepted.
  if (receive_bytes > 0) {
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                 sizeof receive_bytes);
  }
  ::listen(fd_, 1024);
  std::thread([fd = fd_, serve = std::move(serve)] {
    for (;;) {
      const int accepted = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        SleepMs(10);
        continue;
      }
      const int on = 1;
      ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([serve, it = std::make_shared<Connection>(accepted)] {
        serve(it);
      }).detach();
    }
  }).detach();
}

Process::Process(const std::string& path,
                 const std::vector<std::string>& environment,
                 const std::string& log) {
  const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
  std::vector<char*> variables;
  for (const std::string& it : environment)
    variables.push_back(const_cast<char*>(it.c_str()));
  variables.push_back(nullptr);
  char* const arguments[] = {const_cast<char*>(path.c_str()), nullptr};
  pid_ = ::fork();
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    ::execve(path.c_str(), arguments, variables.data());
    ::_exit(127);
  }
  ::close(out);
  if (pid_ < 0)
    throw std::runtime_error("cannot start " + path);
}

Process::~Process() {
  if (Ended())
    return;
  ::kill(pid_, SIGCONT);
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, &status_, 0);
}

void Process::Signal(int signal) {
  if (!Ended())
    ::kill(pid_, signal);
}

bool Process::Ended() {
  if (!ended_)
    ended_ = ::waitpid(pid_, &status_, WNOHANG) == pid_;
  return ended_;
}

bool Process::Wait(int64_t ms) {
  const int64_t until_ms = NowMs() + ms;
  while (!Ended()) {
    if (NowMs() >= until_ms)
      return false;
    SleepMs(5);
  }
  return true;
}

}  // namespace review
