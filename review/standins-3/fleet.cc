#include "fleet.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/json/src.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <random>
#include <sstream>

namespace review {
namespace {

namespace json = boost::json;

const auto kStart = std::chrono::steady_clock::now();
std::mutex record_mutex;
std::ofstream record_file;

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
  return out;
}

constexpr char kBase64[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string EncodeBase64(const std::string& in) {
  std::string out;
  for (size_t i = 0; i < in.size(); i += 3) {
    uint32_t n = 0;
    const size_t left = std::min<size_t>(3, in.size() - i);
    for (size_t k = 0; k < 3; ++k)
      n = n << 8 | (k < left ? static_cast<unsigned char>(in[i + k]) : 0);
    for (size_t k = 0; k < 4; ++k)
      out += k <= left ? kBase64[n >> (18 - 6 * k) & 63] : '=';
  }
  return out;
}

std::string DecodeBase64(const std::string& in) {
  std::string out;
  uint32_t n = 0;
  int bits = 0;
  for (const char c : in) {
    const char* at = std::strchr(kBase64, c);
    if (c == '=' || at == nullptr)
      break;
    n = n << 6 | static_cast<uint32_t>(at - kBase64);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>(n >> bits & 255);
    }
  }
  return out;
}

std::string DecodePercent(const std::string& in) {
  std::string out;
  for (size_t i = 0; i < in.size(); ++i) {
    if (in[i] == '%' && i + 2 < in.size()) {
      out += static_cast<char>(std::stoi(in.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += in[i];
    }
  }
  return out;
}

std::string Query(const std::string& target, const std::string& key) {
  std::stringstream in(
      target.substr(std::min(target.size(), target.find('?') + 1)));
  std::string part;
  while (std::getline(in, part, '&')) {
    if (part.rfind(key + "=", 0) == 0)
      return DecodePercent(part.substr(key.size() + 1));
  }
  return {};
}

std::string ToText(const Message& message) {
  std::string out =
      message.status == 0
          ? message.method + " " + message.target + " HTTP/1.1\r\n"
          : "HTTP/1.1 " + std::to_string(message.status) + " Status\r\n";
  for (const auto& [name, value] : message.fields)
    out += name + ": " + value + "\r\n";
  out += "content-length: " + std::to_string(message.body.size()) + "\r\n\r\n";
  return out + message.body;
}

Message JsonMessage(int status, const json::value& value) {
  Message out;
  out.status = status;
  out.fields["content-type"] = "application/json";
  out.body = json::serialize(value);
  return out;
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

int64_t ParseMs(const std::string& text) {
  const double n = std::stod(text);
  return static_cast<int64_t>(
      text.size() > 2 && text.substr(text.size() - 2) == "ms" ? n : n * 1000);
}

// Ports for listeners, below those of outgoing connections.
constexpr int kFirstPort = 12'000;
constexpr int kPorts = 16'000;

std::atomic<int> next_port{kFirstPort};

// A port that is free at `ip` now.
int FreePort(const std::string& ip, int type = SOCK_STREAM) {
  for (int tries = 0; tries < kPorts; ++tries) {
    const int port = kFirstPort + next_port++ % kPorts;
    const int fd = socket(AF_INET, type, 0);
    sockaddr_in address = Address(ip, port);
    const bool free =
        bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    close(fd);
    if (free)
      return port;
  }
  End(kNotRun, "no free port");
}

}  // namespace

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - kStart)
      .count();
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(
      std::chrono::milliseconds(std::max<int64_t>(ms, 0)));
}

void OpenRecord(const std::string& path) {
  record_file.open(path, std::ios::trunc);
}

void Record(const std::string& line) {
  const std::lock_guard lock(record_mutex);
  record_file << NowMs() << " " << line << "\n";
  record_file.flush();
}

std::string Message::Get(const std::string& name) const {
  const auto it = fields.find(name);
  return it == fields.end() ? std::string() : it->second;
}

Connection::~Connection() {
  if (fd_ >= 0)
    close(fd_);
}

ssize_t Connection::ReadSome(std::string& out, size_t max, int64_t until_ms) {
  pollfd it{fd_, POLLIN, 0};
  const int wait =
      until_ms == 0
          ? -1
          : static_cast<int>(std::max<int64_t>(until_ms - NowMs(), 0));
  if (poll(&it, 1, wait) <= 0)
    return -1;
  std::string buf(max, '\0');
  const ssize_t n = recv(fd_, buf.data(), max, 0);
  if (n > 0)
    out.append(buf.data(), static_cast<size_t>(n));
  return n;
}

bool Connection::Fill(int64_t until_ms) {
  return ReadSome(buffer_, 64 << 10, until_ms) > 0;
}

bool Connection::Read(Message& out, int64_t until_ms) {
  size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill(until_ms))
      return false;
  }
  std::stringstream head(buffer_.substr(0, end));
  buffer_.erase(0, end + 4);
  std::string line;
  std::getline(head, line);
  out = Message();
  std::stringstream first(line);
  if (line.rfind("HTTP/", 0) == 0) {
    std::string version;
    first >> version >> out.status;
  } else {
    first >> out.method >> out.target;
  }
  while (std::getline(head, line)) {
    while (!line.empty() && line.back() == '\r')
      line.pop_back();
    const size_t at = line.find(':');
    if (at == std::string::npos)
      continue;
    const size_t value = line.find_first_not_of(' ', at + 1);
    out.fields[Lower(line.substr(0, at))] =
        value == std::string::npos ? "" : line.substr(value);
  }
  const size_t length =
      std::strtoull(out.Get("content-length").c_str(), nullptr, 10);
  while (buffer_.size() < length) {
    if (!Fill(until_ms))
      return false;
  }
  out.body = buffer_.substr(0, length);
  buffer_.erase(0, length);
  return true;
}

bool Connection::Write(const std::string& bytes) {
  for (size_t at = 0; at < bytes.size();) {
    const ssize_t n =
        send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    at += static_cast<size_t>(n);
  }
  return true;
}

void Connection::Reset() {
  const linger hard{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
}

std::unique_ptr<Connection> Connect(const std::string& ip,
                                    int port,
                                    int64_t limit_ms,
                                    int receive_buffer) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof receive_buffer);
  }
  sockaddr_in address = Address(ip, port);
  connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
  pollfd it{fd, POLLOUT, 0};
  int error = 1;
  socklen_t size = sizeof error;
  if (poll(&it, 1, static_cast<int>(limit_ms)) == 1)
    getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0) {
    close(fd);
    return nullptr;
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return std::make_unique<Connection>(fd);
}

struct Listener::State {
  int fd = -1;
  std::atomic<bool> stopped{false};
  std::mutex mutex;
  std::set<Connection*> open;
  std::atomic<int> threads{0};
};

int Listener::Start(int port) {
  state_ = std::make_shared<State>();
  port_ = port != 0 ? port : FreePort(ip_);
  state_->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(state_->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = Address(ip_, port_);
  if (bind(state_->fd, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
          0 ||
      listen(state_->fd, 512) != 0) {
    End(kNotRun, "cannot listen on " + std::to_string(port_));
  }
  std::thread([state = state_, serve = serve_] {
    while (!state->stopped) {
      const int fd = accept4(state->fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        break;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      ++state->threads;
      std::thread([state, serve, fd] {
        Connection connection(fd);
        {
          const std::lock_guard lock(state->mutex);
          state->open.insert(&connection);
        }
        if (!state->stopped)
          serve(connection);
        {
          const std::lock_guard lock(state->mutex);
          state->open.erase(&connection);
        }
        if (state->stopped)
          connection.Reset();
        --state->threads;
      }).detach();
    }
  }).detach();
  return port_;
}

void Listener::Stop() {
  if (!state_)
    return;
  state_->stopped = true;
  shutdown(state_->fd, SHUT_RDWR);
  close(state_->fd);
  {
    const std::lock_guard lock(state_->mutex);
    for (Connection* it : state_->open) {
      it->Reset();
      shutdown(it->fd(), SHUT_RD);
    }
  }
  state_.reset();
}

Store::Store() : listener_("127.0.0.1", [this](Connection& c) { Serve(c); }) {
  listener_.Start();
  expiry_ = std::thread([this] { ExpireLeases(); });
}

Store::~Store() {
  ended_ = true;
  changed_.notify_all();
  expiry_.join();
  listener_.Stop();
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  PutLocked(key, value, 0);
}

void Store::Delete(const std::string& key) {
  const std::lock_guard lock(mutex_);
  DeleteLocked(key);
}

void Store::PutLocked(const std::string& key,
                      const std::string& value,
                      uint64_t lease) {
  Item& item = items_[key];
  item.revision = ++revision_;
  item.created = item.created == 0 ? item.revision : item.created;
  item.value = value;
  item.lease = lease;
  events_.push_back({key, item, false});
  changed_.notify_all();
}

void Store::DeleteLocked(const std::string& key) {
  if (items_.erase(key) == 0)
    return;
  Event event;
  event.key = key;
  event.item.revision = ++revision_;
  event.removed = true;
  events_.push_back(event);
  changed_.notify_all();
}

void Store::ExpireLeases() {
  while (!ended_) {
    SleepMs(20);
    const std::lock_guard lock(mutex_);
    for (auto it = leases_.begin(); it != leases_.end();) {
      if (NowMs() < it->second.until_ms) {
        ++it;
        continue;
      }
      std::vector<std::string> keys;
      for (const auto& [key, item] : items_) {
        if (item.lease == it->first)
          keys.push_back(key);
      }
      for (const std::string& key : keys)
        DeleteLocked(key);
      it = leases_.erase(it);
    }
  }
}

void Store::Serve(Connection& connection) {
  Message request;
  while (connection.Read(request)) {
    if (!connection.Write(ToText(Handle(request))))
      return;
  }
}

Message Store::Handle(const Message& request) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  if (path == "/v1/kv-range")
    return Range(request);
  if (path == "/v1/kv-watch")
    return Watch(request);
  if (path == "/v1/kv-txn")
    return Transact(request);
  if (path == "/v1/kv-lease")
    return Grant(request);
  const auto id_at = [&](const std::string& prefix) -> uint64_t {
    return path.rfind(prefix, 0) == 0
               ? std::strtoull(path.c_str() + prefix.size(), nullptr, 10)
               : 0;
  };
  const std::lock_guard lock(mutex_);
  if (const uint64_t id = id_at("/v1/kv-keep/")) {
    const auto it = leases_.find(id);
    if (it == leases_.end())
      return JsonMessage(404, json::object());
    it->second.until_ms = NowMs() + it->second.ttl_ms;
    return JsonMessage(
        200, {{"ttl_time", std::to_string(it->second.ttl_ms) + "ms"}});
  }
  if (const uint64_t id = id_at("/v1/kv-lease-end/")) {
    const auto it = leases_.find(id);
    if (it == leases_.end())
      return JsonMessage(404, json::object());
    it->second.until_ms = 0;
    return JsonMessage(200, json::object());
  }
  return JsonMessage(404, json::object());
}

Message Store::Range(const Message& request) {
  const std::string prefix = Query(request.target, "prefix");
  const std::string after = Query(request.target, "after");
  const std::lock_guard lock(mutex_);
  json::array items;
  for (const auto& [key, item] : items_) {
    if (key.rfind(prefix, 0) != 0 || (!after.empty() && key <= after))
      continue;
    items.push_back({{"key", key},
                     {"value", EncodeBase64(item.value)},
                     {"revision", item.revision},
                     {"created_rev", item.created},
                     {"lease", item.lease}});
  }
  return JsonMessage(
      200,
      {{"items", items}, {"truncated", false}, {"store_revision", revision_}});
}

Message Store::Watch(const Message& request) {
  const std::string prefix = Query(request.target, "prefix");
  const uint64_t after =
      std::strtoull(Query(request.target, "after").c_str(), nullptr, 10);
  const int64_t until =
      NowMs() + std::atoll(Query(request.target, "wait_ms").c_str());
  std::unique_lock lock(mutex_);
  for (;;) {
    json::array events;
    for (const Event& it : events_) {
      if (it.item.revision <= after || it.key.rfind(prefix, 0) != 0)
        continue;
      if (it.removed) {
        events.push_back({{"key", it.key},
                          {"revision", it.item.revision},
                          {"tombstone", true}});
      } else {
        events.push_back({{"key", it.key},
                          {"value", EncodeBase64(it.item.value)},
                          {"revision", it.item.revision},
                          {"created_rev", it.item.created},
                          {"lease", it.item.lease}});
      }
    }
    if (!events.empty() || NowMs() >= until || ended_) {
      return JsonMessage(200,
                         {{"events", events}, {"store_revision", revision_}});
    }
    changed_.wait_for(lock, std::chrono::milliseconds(
                                std::clamp<int64_t>(until - NowMs(), 1, 50)));
  }
}

Message Store::Transact(const Message& request) {
  const json::value in = json::parse(request.body);
  const std::lock_guard lock(mutex_);
  if (const auto* puts = in.as_object().if_contains("puts")) {
    for (const json::value& it : puts->as_array()) {
      uint64_t lease = 0;
      if (const auto* id = it.as_object().if_contains("lease"))
        lease = id->to_number<uint64_t>();
      if (lease != 0 && leases_.count(lease) == 0)
        return JsonMessage(404, json::object());
      PutLocked(std::string(it.at("key").as_string()),
                DecodeBase64(std::string(it.at("value").as_string())), lease);
    }
  }
  return JsonMessage(200, {{"revision", revision_}});
}

Message Store::Grant(const Message& request) {
  const json::value in = json::parse(request.body);
  const int64_t ttl = ParseMs(std::string(in.at("ttl_time").as_string()));
  const std::lock_guard lock(mutex_);
  leases_[++last_lease_] = {ttl, NowMs() + ttl};
  return JsonMessage(
      200, {{"lease", last_lease_}, {"ttl_time", std::to_string(ttl) + "ms"}});
}

void Ledger::Ran(const std::string& id) {
  const std::lock_guard lock(mutex_);
  ++runs_[id];
}

int Ledger::RunsOf(const std::string& id) const {
  const std::lock_guard lock(mutex_);
  const auto it = runs_.find(id);
  return it == runs_.end() ? 0 : it->second;
}

Server::Server(Store& store, Ledger& ledger, Options options)
    : store_(store),
      ledger_(ledger),
      options_(std::move(options)),
      listener_("127.0.0.1", [this](Connection& c) { Serve(c); }) {}

Server::~Server() {
  ++boot_;
  listener_.Stop();
}

void Server::Start(bool cold) {
  port_ = listener_.Start(port_);
  ++boot_;
  {
    const std::lock_guard lock(mutex_);
    running_ = 0;
  }
  born_ = UnixMs();
  sequence_ = 0;
  cold_until_ms_ = cold ? NowMs() + options_.cold_ms : 0;
  WriteEntry();
  Record("server " + options_.id + " starts" + (cold ? " cold" : ""));
}

void Server::Crash() {
  ++boot_;
  listener_.Stop();
  freed_.notify_all();
  Record("server " + options_.id + " crashes");
}

void Server::WriteEntry() {
  const int64_t cold = std::max<int64_t>(cold_until_ms_ - NowMs(), 0);
  store_.Put("servers/" + options_.id,
             json::serialize(
                 json::value{{"service", options_.service},
                             {"address", "127.0.0.1:" + std::to_string(port_)},
                             {"zone", options_.zone},
                             {"version", "v1"},
                             {"slots", options_.slots},
                             {"state", "ready"},
                             {"cold_left", std::to_string(cold) + "ms"},
                             {"sequence", ++sequence_},
                             {"born", born_}}));
}

void Server::Expire() {
  store_.Delete("servers/" + options_.id);
}

void Server::Serve(Connection& connection) {
  const int boot = boot_;
  Message request;
  while (connection.Read(request)) {
    const std::string id = request.Get("toucanknot-attempt-id");
    Message response;
    response.fields["toucanknot-attempt-id"] = id;
    const bool cold = NowMs() < cold_until_ms_;
    if (request.target == "/healthz") {
      response.fields.clear();
      response.status = 200;
      response.fields["toucanknot-instance-id"] = options_.id;
      if (cold) {
        response.fields["toucanknot-cold-remaining-ms"] =
            std::to_string(cold_until_ms_ - NowMs());
      }
    } else if (request.Get("toucanknot-target-instance") != options_.id) {
      response.status = 421;
      response.fields["toucanknot-instance-id"] = options_.id;
    } else {
      bool runs = false;
      {
        std::unique_lock lock(mutex_);
        runs = freed_.wait_for(lock, std::chrono::milliseconds(1000), [&] {
          return running_ < options_.slots || boot != boot_;
        }) && boot == boot_;
        running_ += runs ? 1 : 0;
      }
      if (boot != boot_)
        return;
      if (!runs) {
        response.status = 503;
        response.fields["toucanknot-not-executed"] = "1";
      } else {
        ledger_.Ran(id);
        Record("run " + id + " at " + options_.id + (cold ? " cold" : ""));
        SleepMs(options_.work_ms * (cold ? 2 : 1));
        if (boot != boot_)
          return;
        {
          const std::lock_guard lock(mutex_);
          --running_;
        }
        freed_.notify_one();
        response.status = 200;
        response.fields["toucanknot-response-stamp"] = "stamp-" + id;
        response.body = id + std::string(options_.response_bytes, '.');
      }
    }
    if (boot != boot_ || !connection.Write(ToText(response)))
      return;
  }
}

Host::Host(Options options) : options_(std::move(options)) {}

Host::~Host() {
  Kill();
}

void Host::Kill() {
  if (pid_ <= 0)
    return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

void Host::Start() {
  if (port_ == 0) {
    port_ = FreePort(options_.ip);
    ready_port_ = FreePort(options_.ip);
  }
  const auto address = [&](int port) {
    return options_.ip + ":" + std::to_string(port);
  };
  const std::string path = options_.folder + "/" + options_.name + ".json";
  std::ofstream(path) << json::serialize(
      json::value{{"host", options_.name},
                  {"zone", options_.zone},
                  {"region", "region-1"},
                  {"regions", {{"zone-a", "region-1"}, {"zone-b", "region-1"}}},
                  {"callers", address(port_)},
                  {"readiness", address(ready_port_)},
                  {"directory", address(FreePort(options_.ip))},
                  {"store", "127.0.0.1:" + std::to_string(options_.store_port)},
                  {"peer_port", options_.peer_port != 0
                                    ? options_.peer_port
                                    : FreePort(options_.ip, SOCK_DGRAM)},
                  {"metrics_port", 0},
                  {"news_within", "3000ms"},
                  {"server_heartbeat", "1500ms"},
                  {"memory_mb", options_.memory_mb},
                  {"link_mbps", 200.0},
                  {"cpu_share", 0.23},
                  {"stop_within", "6s"},
                  {"lookup_lifetime", "5s"},
                  {"max_descriptors", 8192},
                  {"retry_ratio", 0.2},
                  {"retry_slack", 160},
                  {"retry_window", "10s"}});
  const std::string log = options_.folder + "/" + options_.name + ".log";
  pid_ = fork();
  if (pid_ == 0) {
    const int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(fd, 1);
    dup2(fd, 2);
    setenv("TOUCANKNOT_BOOT", path.c_str(), 1);
    execl(options_.program.c_str(), options_.program.c_str(),
          static_cast<char*>(nullptr));
    _exit(127);
  }
  Record("host " + options_.name + " starts");
}

bool Host::AwaitReady(int64_t limit_ms) {
  const int64_t until = NowMs() + limit_ms;
  while (NowMs() < until) {
    if (const auto connection = Connect(options_.ip, ready_port_, 200)) {
      Message response;
      connection->Write("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
      if (connection->Read(response, NowMs() + 500) && response.status == 200)
        return true;
    }
    SleepMs(50);
  }
  return false;
}

bool Host::Runs() {
  if (pid_ <= 0)
    return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) == 0)
    return true;
  pid_ = 0;
  Record("host " + options_.name + " ended, " +
         (WIFSIGNALED(status)
              ? "signal " + std::to_string(WTERMSIG(status))
              : "exit code " + std::to_string(WEXITSTATUS(status))));
  return false;
}

std::string MakeConfig(const ConfigOptions& options) {
  const auto route = [&](const char* prefix, const char* kind, int priority,
                         const char* service) {
    return json::object{{"host", "work.example"},
                        {"prefix", prefix},
                        {"kind", kind},
                        {"timeout", std::to_string(options.timeout_ms) + "ms"},
                        {"target_latency", "1000ms"},
                        {"priority", priority},
                        {"service", service},
                        {"attempts", 2},
                        {"sticky_sessions", false},
                        {"allowed_regions", json::array()}};
  };
  const json::object service{
      {"health_path", "/healthz"},
      {"max_connections", 330},
      {"protocol", "h1"},
      {"tls", false},
      {"cold_start", std::to_string(options.cold_ms) + "ms"},
      {"cold_per_s", options.cold_rate}};
  return json::serialize(
      json::value{{"version", "r" + std::to_string(options.version)},
                  {"routes",
                   {{"read", route("/read/", "safe", 1, "work")},
                    {"write", route("/write/", "unsafe", 0, "work")},
                    {"report", route("/report/", "safe", 2, "report")}}},
                  {"services", {{"work", service}, {"report", service}}},
                  {"limits",
                   {{"max_header_bytes", 16384},
                    {"max_body_bytes", 67108864},
                    {"header_timeout", "3000ms"},
                    {"idle_timeout", "15000ms"}}}});
}

std::string MakeRequest(const std::string& method,
                        const std::string& target,
                        const std::string& id,
                        int64_t deadline_ms,
                        const std::string& body,
                        const std::string& more_fields) {
  std::string out =
      method + " " + target +
      " HTTP/1.1\r\nHost: work.example\r\n"
      "Toucanknot-Attempt-Id: " +
      id + "\r\nToucanknot-Deadline-Ms: " + std::to_string(deadline_ms) +
      "\r\n" + more_fields;
  if (!body.empty() || method != "GET")
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return out + "\r\n" + body;
}

std::string NewId() {
  static std::atomic<uint64_t> last{std::random_device()()};
  char text[20];
  std::snprintf(
      text, sizeof text, "%016llx",
      static_cast<unsigned long long>(++last * 0x9e3779b97f4a7c15ull));
  return text;
}

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void End(Verdict verdict, const std::string& why) {
  const char* const names[] = {"held", "BROKEN", "could not run"};
  Record(std::string(names[verdict]) + ": " + why);
  std::printf("%s: %s\n", names[verdict], why.c_str());
  std::fflush(stdout);
  _exit(verdict);
}

}  // namespace review
