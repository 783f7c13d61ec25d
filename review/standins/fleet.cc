#include "review/standins/fleet.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>

#include "tests/platform/platform_texts.h"

namespace toucanknot::review {
namespace {

constexpr size_t kReadBytes = 64 << 10;
constexpr int kBacklog = 512;
constexpr int64_t kIdleMs = 10'000;
constexpr int64_t kHeartbeatMs = 1'500;

sockaddr_in AddressOf(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

// Returns a listening or a merely bound socket; `port` 0 selects a free one.
int Bind(const std::string& ip, uint16_t port, int type, uint16_t& bound) {
  const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = AddressOf(ip, port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  bound = ntohs(address.sin_port);
  return fd;
}

uint16_t FreePort(const std::string& ip, int type) {
  uint16_t port = 0;
  const int fd = Bind(ip, 0, type, port);
  if (fd >= 0)
    ::close(fd);
  return port;
}

}  // namespace

int64_t NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

bool Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

Record::Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
  if (file_ == nullptr)
    std::exit(2);
}

Record::~Record() {
  std::fclose(file_);
}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  std::fprintf(file_, "%8lld ms  %s\n", static_cast<long long>(NowMs()),
               text.c_str());
  std::fflush(file_);
}

Host::Host(HostOptions options) : options_(std::move(options)) {
  front_port_ = FreePort(options_.ip, SOCK_STREAM);
  ready_port_ = FreePort(options_.ip, SOCK_STREAM);
  directory_port_ = FreePort(options_.ip, SOCK_STREAM);
  const uint16_t peer_port = FreePort(options_.ip, SOCK_DGRAM);
  const auto address = [&](uint16_t port) {
    return "\"" + options_.ip + ":" + std::to_string(port) + "\"";
  };
  std::ofstream out(options_.folder + "/" + options_.name + ".json");
  out << "{\n  \"host\": \"" << options_.name << "\",\n"
      << "  \"zone\": \"a\",\n  \"region\": \"r\",\n"
      << "  \"regions\": {\"a\":\"r\"},\n"
      << "  \"callers\": " << address(front_port_) << ",\n"
      << "  \"readiness\": " << address(ready_port_) << ",\n"
      << "  \"directory\": " << address(directory_port_) << ",\n"
      << "  \"store\": \"" << options_.store << "\",\n"
      << "  \"peer_port\": " << peer_port << ",\n"
      << "  \"news_within\": \"2500ms\",\n"
      << "  \"server_heartbeat\": \"1500ms\",\n"
      << "  \"memory_mb\": " << options_.memory_mb << ",\n"
      << "  \"link_mbps\": 1000.0,\n  \"cpu_share\": 0.2,\n"
      << "  \"stop_within\": \"" << options_.grace << "\",\n"
      << "  \"lookup_lifetime\": \"5s\",\n  \"retry_ratio\": 0.2,\n"
      << "  \"retry_slack\": 62,\n  \"retry_window\": \"10s\"\n}\n";
}

Host::~Host() {
  if (pid_ <= 0)
    return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
}

void Host::Start() {
  const std::string settings = options_.folder + "/" + options_.name + ".json";
  const std::string log = options_.folder + "/" + options_.name + ".log";
  const pid_t pid = ::fork();
  if (pid < 0)
    std::exit(2);
  if (pid == 0) {
    // The host must not outlive a case that was ended.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(fd, STDOUT_FILENO);
    ::dup2(fd, STDERR_FILENO);
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    // The descriptors of a process are limited, 200 of them are for files.
    const rlimit limit{static_cast<rlim_t>(options_.max_fds - 200),
                       static_cast<rlim_t>(options_.max_fds - 200)};
    ::setrlimit(RLIMIT_NOFILE, &limit);
    ::setenv("TOUCANKNOT_BOOT", settings.c_str(), 1);
    ::execl("target/toucanknot-entry", "target/toucanknot-entry", nullptr);
    ::_exit(127);
  }
  pid_ = pid;
}

void Host::Signal(int signal) {
  if (pid_ > 0)
    ::kill(pid_, signal);
}

bool Host::Running() {
  if (pid_ <= 0)
    return false;
  if (::waitpid(pid_, &wait_status_, WNOHANG) == pid_)
    pid_ = 0;
  return pid_ > 0;
}

bool Host::WaitReady(int64_t limit_ms) {
  const int64_t end = NowMs() + limit_ms;
  while (NowMs() < end && Running()) {
    if (const auto wire = Wire::Connect(options_.ip, ready_port_, 500)) {
      wire->Send("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
      if (ReadAnswer(*wire, 500).status == 200)
        return true;
    }
    SleepMs(50);
  }
  return false;
}

int Host::OpenDescriptors() const {
  const std::string folder = "/proc/" + std::to_string(pid_) + "/fd";
  DIR* dir = ::opendir(folder.c_str());
  if (dir == nullptr)
    return -1;
  int n = 0;
  while (::readdir(dir) != nullptr)
    ++n;
  ::closedir(dir);
  return n - 2;
}

int64_t Host::PeakKb() const {
  std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("VmHWM:"))
      return std::atoll(line.c_str() + 6);
  }
  return 0;
}

std::string Head::Get(const std::string& name) const {
  const auto it = fields.find(name);
  return it == fields.end() ? "" : it->second;
}

int64_t Head::Length() const {
  const std::string text = Get("content-length");
  return text.empty() ? -1 : std::atoll(text.c_str());
}

Wire::~Wire() {
  if (fd_ >= 0)
    ::close(fd_);
}

std::unique_ptr<Wire> Wire::Connect(const std::string& ip,
                                    uint16_t port,
                                    int64_t limit_ms) {
  const int fd =
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (fd < 0)
    return nullptr;
  auto wire = std::make_unique<Wire>(fd);
  const sockaddr_in address = AddressOf(ip, port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0) {
    if (errno != EINPROGRESS)
      return nullptr;
    pollfd poll_fd{fd, POLLOUT, 0};
    if (::poll(&poll_fd, 1, static_cast<int>(limit_ms)) != 1)
      return nullptr;
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0)
      return nullptr;
  }
  ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return wire;
}

bool Wire::Send(const std::string& bytes) {
  for (size_t at = 0; at < bytes.size();) {
    const ssize_t n =
        ::send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    at += static_cast<size_t>(n);
  }
  return true;
}

bool Wire::Fill(int64_t limit_ms) {
  pollfd poll_fd{fd_, POLLIN, 0};
  error = 0;
  timed_out = false;
  if (limit_ms <= 0 || ::poll(&poll_fd, 1, static_cast<int>(limit_ms)) != 1) {
    timed_out = true;
    return false;
  }
  std::string part(kReadBytes, '\0');
  const ssize_t n = ::recv(fd_, part.data(), part.size(), 0);
  if (n <= 0) {
    error = n < 0 ? errno : 0;
    return false;
  }
  buffer.append(part, 0, static_cast<size_t>(n));
  return true;
}

std::optional<Head> Wire::ReadHead(int64_t limit_ms) {
  const int64_t end = NowMs() + limit_ms;
  size_t at = 0;
  while ((at = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(end - NowMs()))
      return std::nullopt;
  }
  std::istringstream lines(buffer.substr(0, at + 2));
  buffer.erase(0, at + 4);
  Head head;
  std::string line;
  std::getline(lines, line);
  std::istringstream(line) >> head.first >> head.second;
  while (std::getline(lines, line)) {
    const size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    value.erase(value.find_last_not_of(" \r") + 1);
    head.fields.emplace(name, value);
  }
  return head;
}

std::optional<std::string> Wire::ReadBody(int64_t bytes, int64_t limit_ms) {
  const int64_t end = NowMs() + limit_ms;
  while (static_cast<int64_t>(buffer.size()) < bytes) {
    if (!Fill(end - NowMs()))
      return std::nullopt;
  }
  std::string body = buffer.substr(0, static_cast<size_t>(bytes));
  buffer.erase(0, static_cast<size_t>(bytes));
  return body;
}

void Wire::Reset() {
  const linger now{1, 0};
  ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  ::close(fd_);
  fd_ = -1;
}

bool Wire::OtherSideClosed() {
  char byte = 0;
  const ssize_t n = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::string RequestText(const Call& call) {
  std::string text =
      call.method + " " + call.target + " HTTP/1.1\r\nHost: " + kHostName +
      "\r\nToucanknot-Attempt-Id: " + call.id +
      "\r\nToucanknot-Deadline-Ms: " + std::to_string(call.deadline_ms) +
      "\r\n";
  if (call.method != "GET")
    text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
  return text + "\r\n" + call.body;
}

Answer ReadAnswer(Wire& wire, int64_t wait_ms) {
  Answer answer;
  const auto head = wire.ReadHead(wait_ms);
  if (!head) {
    answer.error = wire.timed_out    ? "no answer in time"
                   : wire.error != 0 ? std::strerror(wire.error)
                                     : "closed without an answer";
    answer.ended_ms = NowMs();
    return answer;
  }
  answer.head = *head;
  answer.status = std::atoi(head->second.c_str());
  const int64_t length = head->Length();
  if (length >= 0) {
    const auto body = wire.ReadBody(length, wait_ms);
    answer.complete = body.has_value();
    answer.body = body.value_or(wire.buffer);
  }
  if (!answer.complete)
    answer.error = "the body is not complete";
  answer.ended_ms = NowMs();
  return answer;
}

Answer SendOn(Wire& wire, const Call& call) {
  const int64_t sent_ms = NowMs();
  wire.Send(RequestText(call));
  Answer answer = ReadAnswer(wire, call.wait_ms);
  answer.sent_ms = sent_ms;
  return answer;
}

Answer Send(const Host& host, const Call& call) {
  const int64_t sent_ms = NowMs();
  const auto wire =
      Wire::Connect(host.ip(), host.front_port(), call.connect_ms);
  if (!wire) {
    Answer answer;
    answer.sent_ms = sent_ms;
    answer.ended_ms = NowMs();
    answer.error = "cannot connect";
    return answer;
  }
  return SendOn(*wire, call);
}

Server::Server(ServerEntry e, Handler handler)
    : entry(std::move(e)), handler_(std::move(handler)) {
  if (entry.endpoint.ip.empty())
    entry.endpoint.ip = "127.0.0.1";
  uint16_t port = 0;
  listener_ = Bind(entry.endpoint.ip, entry.endpoint.port, SOCK_STREAM, port);
  if (listener_ < 0 || ::listen(listener_, kBacklog) != 0) {
    std::fprintf(stderr, "cannot listen on %s\n", entry.endpoint.ip.c_str());
    std::exit(2);
  }
  entry.endpoint.port = port;
  accept_thread_ = std::thread([this] { Accept(); });
}

Server::~Server() {
  Stop();
}

std::string Server::NextEntry() {
  ++entry.sequence;
  return platform::EncodeServer(entry);
}

void Server::Stop() {
  if (stopping_.exchange(true))
    return;
  ::shutdown(listener_, SHUT_RDWR);
  accept_thread_.join();
  ::close(listener_);
  {
    const std::lock_guard lock(mutex_);
    for (const int it : open_) {
      const linger now{1, 0};
      ::setsockopt(it, SOL_SOCKET, SO_LINGER, &now, sizeof now);
      ::shutdown(it, SHUT_RDWR);
    }
  }
  while (threads_ > 0)
    SleepMs(5);
}

void Server::Accept() {
  for (;;) {
    const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      if (stopping_)
        return;
      SleepMs(1);
      continue;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ++threads_;
    {
      const std::lock_guard lock(mutex_);
      open_.push_back(fd);
    }
    std::thread([this, fd] { Serve(fd); }).detach();
  }
}

void Server::Serve(int fd) {
  {
    Wire wire(fd);
    while (!stopping_) {
      const auto head = wire.ReadHead(kIdleMs);
      if (!head || stopping_ || !handler_(wire, *head))
        break;
    }
    const std::lock_guard lock(mutex_);
    std::erase(open_, fd);
  }
  --threads_;
}

std::string ServerAnswer(int status,
                         const std::string& id,
                         const std::string& body,
                         const std::string& more_fields) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nToucanknot-Attempt-Id: " + id +
         "\r\nToucanknot-Response-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
         "Keep-Alive: timeout=10\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n" + more_fields + "\r\n" + body;
}

std::string MisdirectedAnswer(const std::string& id) {
  return "HTTP/1.1 421 Misdirected Request\r\nToucanknot-Attempt-Id: " + id +
         "\r\nToucanknot-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

Platform::Platform() : beats_([this] { Beat(); }) {}

Platform::~Platform() {
  stopping_ = true;
  beats_.join();
}

void Platform::WriteConfig(const std::vector<Route>& routes,
                           const std::vector<std::string>& services) {
  RouteConfig config;
  config.version = ++version_;
  config.routes = routes;
  for (const std::string& it : services) {
    ServiceOptions options;
    options.health_path = "/healthz";
    options.max_connections = 390;
    options.cold_start = Duration(3'000);
    options.cold_rate = 6.4;
    config.services[ServiceId(it)] = options;
  }
  config.limits.header_timeout = Duration(3'000);
  config.limits.idle_timeout = Duration(15'000);
  store.Put(platform::ConfigKey(), platform::EncodeConfig(config));
}

void Platform::Register(Server& server) {
  const std::lock_guard lock(mutex_);
  store.Put(platform::ServerKeyInStore(server.entry.id), server.NextEntry());
  servers_.push_back(&server);
}

void Platform::Drain(Server& server) {
  const std::lock_guard lock(mutex_);
  server.entry.leaving = true;
  store.Put(platform::ServerKeyInStore(server.entry.id), server.NextEntry());
}

void Platform::Unregister(Server& server) {
  const std::lock_guard lock(mutex_);
  std::erase(servers_, &server);
  store.Remove(platform::ServerKeyInStore(server.entry.id));
}

void Platform::Beat() {
  int64_t next = NowMs() + kHeartbeatMs;
  while (!stopping_) {
    SleepMs(20);
    if (NowMs() < next)
      continue;
    next += kHeartbeatMs;
    const std::lock_guard lock(mutex_);
    for (Server* it : servers_)
      store.Put(platform::ServerKeyInStore(it->entry.id), it->NextEntry());
  }
}

Route MakeRoute(const std::string& prefix,
                RequestKind kind,
                const std::string& service,
                int64_t timeout_ms) {
  Route route;
  route.name = "r" + std::to_string(std::hash<std::string>()(prefix) % 100'000);
  route.host_name = kHostName;
  route.prefix = prefix;
  route.kind = kind;
  route.timeout = Duration(timeout_ms);
  route.target_latency = Duration(timeout_ms / 2);
  route.priority = 1;
  route.attempts = 2;
  route.targets.push_back({ServiceId(service), 1});
  return route;
}

}  // namespace toucanknot::review
