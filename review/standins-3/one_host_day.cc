// Plays one small day around a real entry host: this process is the platform's
// store, the backend servers and the callers; the host is a child process. See
// the claims of the cases that start it.
//
//   one_host_day CASE PROGRAM FOLDER RECORD
//
// CASE is `trailer`, `moved` or `status`, PROGRAM the entry host; settings and
// the host's log go to FOLDER. Writes the file RECORD and exits with 1 if the
// rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 in
// the environment the disruption is left out.

#include <arpa/inet.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace {

namespace json = boost::json;

constexpr char kHostIp[] = "127.0.44.1";
constexpr char kStoreIp[] = "127.0.44.2";
constexpr char kServerIp[] = "127.0.44.3";
// Of each service.
constexpr int kServers = 4;
constexpr int kSlots = 4;
constexpr int kWorkMs = 12;
// What a request takes at the old service of a route that is moved, and at the
// new one.
constexpr int kOldWorkMs = 1'200;
constexpr int kNewWorkMs = 200;
// Bounds of SYSTEM.md, `haufiku-track`.
constexpr int kConfigApplyMs = 2'500;
constexpr int kSettleMs = 3'000;
constexpr int kRecoverMs = 15'000;
// How long the steady state is measured.
constexpr int kMeasureMs = 15'000;
// The largest doses of `garble` in that site file: share 0.6 of the servers of
// a service, x 0.03 of their answers, for 5 s. Here half of the servers
// and one answer in 34.
constexpr int kAnswersPerSpoilt = 34;
constexpr int kGarbleMs = 5'000;
constexpr int kGarbles = 4;
constexpr size_t kTrailerBytes = 70'000;

int64_t NowMs() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(steady_clock::now().time_since_epoch())
      .count();
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// The record of the run.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}
  void Line(const char* format, ...) {
    char text[512];
    va_list args;
    va_start(args, format);
    std::vsnprintf(text, sizeof text, format, args);
    va_end(args);
    const std::lock_guard lock(mutex_);
    out_ << NowMs() - start_ << " ms  " << text << std::endl;
  }

 private:
  const int64_t start_ = NowMs();
  std::mutex mutex_;
  std::ofstream out_;
};

sockaddr_in AddressOf(const std::string& ip, uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

// Binds to a free port, which it returns in `port`; -1 if that fails.
int BindFree(const std::string& ip, uint16_t& port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = AddressOf(ip, 0);
  socklen_t size = sizeof address;
  if (::bind(socket, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    return -1;
  port = ntohs(address.sin_port);
  return socket;
}

struct Message {
  std::string first_line;
  // Names in lower case.
  std::map<std::string, std::string> fields;
  std::string body;

  std::string Field(const std::string& name) const {
    const auto it = fields.find(name);
    return it == fields.end() ? "" : it->second;
  }
  int status() const {
    return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0;
  }
};

// One side of a connection. Messages have a Content-Length, as those of all
// peers here.
class Connection {
 public:
  explicit Connection(int socket) : socket_(socket) {}
  ~Connection() { ::close(socket_); }

  bool Send(const std::string& text) {
    for (size_t sent = 0; sent < text.size();) {
      const ssize_t n =
          ::send(socket_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      sent += static_cast<size_t>(n);
    }
    return true;
  }
  std::optional<Message> Read() {
    size_t end = std::string::npos;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill())
        return std::nullopt;
    }
    Message out;
    size_t at = buffer_.find("\r\n");
    out.first_line = buffer_.substr(0, at);
    while (at < end) {
      const size_t begin = at + 2;
      at = buffer_.find("\r\n", begin);
      const std::string line = buffer_.substr(begin, at - begin);
      const size_t colon = line.find(':');
      std::string name = line.substr(0, colon);
      for (char& c : name)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
      size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ')
        ++value;
      out.fields[name] = line.substr(std::min(value, line.size()));
    }
    const size_t length =
        static_cast<size_t>(std::atoll(out.Field("content-length").c_str()));
    buffer_.erase(0, end + 4);
    while (buffer_.size() < length) {
      if (!Fill())
        return std::nullopt;
    }
    out.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return out;
  }

 private:
  bool Fill() {
    char bytes[16 << 10];
    const ssize_t n = ::recv(socket_, bytes, sizeof bytes, 0);
    if (n <= 0)
      return false;
    buffer_.append(bytes, static_cast<size_t>(n));
    return true;
  }

  const int socket_;
  std::string buffer_;
};

// Accepts connections and handles each request in a thread of its connection.
class Server {
 public:
  using Handler = std::function<std::string(const Message&)>;

  Server(const std::string& ip, Handler handler)
      : ip_(ip), handler_(std::move(handler)), socket_(BindFree(ip, port_)) {
    if (socket_ < 0 || ::listen(socket_, 128) != 0)
      std::exit(2);
    std::thread([this] {
      for (;;) {
        const int socket = ::accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
          return;
        std::thread([this, socket] {
          Connection connection(socket);
          while (const auto request = connection.Read()) {
            if (!connection.Send(handler_(*request)))
              return;
          }
        }).detach();
      }
    }).detach();
  }
  std::string address() const { return ip_ + ":" + std::to_string(port_); }

 private:
  const std::string ip_;
  const Handler handler_;
  uint16_t port_ = 0;
  const int socket_;
};

std::string Response(int status,
                     const std::string& fields,
                     const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Base64(const std::string& in) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < in.size(); i += 3) {
    const auto byte = [&](size_t k) {
      return k < in.size() ? static_cast<unsigned char>(in[k]) : 0u;
    };
    const unsigned n = byte(i) << 16 | byte(i + 1) << 8 | byte(i + 2);
    out += kDigits[n >> 18];
    out += kDigits[n >> 12 & 63];
    out += i + 1 < in.size() ? kDigits[n >> 6 & 63] : '=';
    out += i + 2 < in.size() ? kDigits[n & 63] : '=';
  }
  return out;
}

// The platform's store, as far as an entry host uses it. Keys under a lease are
// kept: no lease ends during the day.
class Store {
 public:
  Store() : server_(kStoreIp, [this](const Message& m) { return Handle(m); }) {}
  std::string address() const { return server_.address(); }

  void Put(const std::string& key, const std::string& base64) {
    const std::lock_guard lock(mutex_);
    items_[key] = {base64, ++revision_};
    changed_.notify_all();
  }

 private:
  struct Item {
    std::string base64;
    int64_t revision = 0;
  };

  static std::string Value(const std::string& target, const std::string& key) {
    const size_t at = target.find(key + "=");
    if (at == std::string::npos)
      return "";
    const size_t begin = at + key.size() + 1;
    std::string raw = target.substr(begin, target.find('&', begin) - begin);
    std::string out;
    for (size_t i = 0; i < raw.size(); ++i) {
      if (raw[i] == '%' && i + 2 < raw.size()) {
        out += static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
        i += 2;
      } else {
        out += raw[i];
      }
    }
    return out;
  }
  json::array ItemsAfter(const std::string& prefix, int64_t revision) const {
    json::array out;
    for (const auto& [key, it] : items_) {
      if (key.starts_with(prefix) && it.revision > revision) {
        out.push_back({{"key", key},
                       {"value", it.base64},
                       {"revision", it.revision},
                       {"created_rev", it.revision},
                       {"lease", 0}});
      }
    }
    return out;
  }
  std::string Handle(const Message& request) {
    const std::string& line = request.first_line;
    const std::string target =
        line.substr(line.find(' ') + 1, line.rfind(' ') - line.find(' ') - 1);
    std::unique_lock lock(mutex_);
    json::object out;
    if (target.starts_with("/v1/kv-range")) {
      out["items"] = ItemsAfter(Value(target, "prefix"), 0);
      out["truncated"] = false;
      out["store_revision"] = revision_;
    } else if (target.starts_with("/v1/kv-watch")) {
      const int64_t after = std::atoll(Value(target, "after").c_str());
      const std::string prefix = Value(target, "prefix");
      changed_.wait_for(lock,
                        std::chrono::milliseconds(
                            std::atoll(Value(target, "wait_ms").c_str())),
                        [&] { return !ItemsAfter(prefix, after).empty(); });
      out["events"] = ItemsAfter(prefix, after);
      out["store_revision"] = revision_;
    } else if (target == "/v1/kv-lease") {
      out = {{"lease", 7}, {"ttl_time", "4000ms"}};
    } else if (target.starts_with("/v1/kv-keep/")) {
      out = {{"ttl_time", "4000ms"}};
    } else if (target == "/v1/kv-txn") {
      const json::value body = json::parse(request.body);
      for (const json::value& it : body.at("puts").as_array()) {
        items_[std::string(it.at("key").as_string())] = {
            std::string(it.at("value").as_string()), ++revision_};
      }
      changed_.notify_all();
      out["revision"] = revision_;
    }
    return Response(200, "Content-Type: application/json\r\n",
                    json::serialize(out));
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  int64_t revision_ = 10;
  Server server_;
};

json::object RouteOf(const std::string& host,
                     const std::string& prefix,
                     const std::string& service,
                     const std::string& timeout) {
  return {{"host", host},
          {"prefix", prefix},
          {"kind", "safe"},
          {"timeout", timeout},
          {"target_latency", "600ms"},
          {"priority", 2},
          {"service", service},
          {"attempts", 2},
          {"sticky_sessions", false},
          {"allowed_regions", json::array()}};
}

struct Config {
  int version = 1;
  // Host of the route that is added, if any, and what it has.
  std::string added_host;
  std::string added_service = "dispatch";
  std::string added_timeout = "1500ms";

  std::string Text() const {
    json::object routes{
        {"r-1", RouteOf("jobs.example", "/lookup/", "tracker", "1500ms")}};
    if (!added_host.empty())
      routes["r-2"] =
          RouteOf(added_host, "/added/", added_service, added_timeout);
    const json::object service{
        {"health_path", "/healthz"}, {"max_connections", 330},
        {"protocol", "h1"},          {"tls", false},
        {"cold_start", "3s"},        {"cold_per_s", 4.1}};
    return json::serialize(
        json::value{{"version", "r" + std::to_string(version)},
                    {"routes", routes},
                    {"services", {{"tracker", service}, {"dispatch", service}}},
                    {"limits",
                     {{"max_header_bytes", 16'384},
                      {"max_body_bytes", 67'108'864},
                      {"header_timeout", "3000ms"},
                      {"idle_timeout", "15000ms"}}}});
  }
};

struct Answer {
  int status = 0;
  bool stamped = false;
};

// What a backend server does wrong for some time.
enum class Trouble {
  kNone,
  // A share of the answers ends in wrong bytes: one long field behind the last
  // chunk of the body.
  kTrailer,
  // A share of the answers has the status 000.
  kStatus,
};

class BackendServer {
 public:
  BackendServer(int number, std::string service, Record& record)
      : id_("i-" + std::to_string(7'000 + number)),
        service_(std::move(service)),
        record_(record),
        server_(kServerIp, [this](const Message& m) { return Handle(m); }) {}

  void set_trouble(Trouble trouble) { trouble_ = trouble; }
  void set_work(int ms) { work_ms_ = ms; }
  const std::string& id() const { return id_; }
  int spoilt() const { return spoilt_; }
  std::string Entry(int sequence) const {
    return json::serialize(json::value{{"service", service_},
                                       {"address", server_.address()},
                                       {"zone", "khomas-a"},
                                       {"version", "v1"},
                                       {"slots", kSlots},
                                       {"state", "ready"},
                                       {"cold_left", "0ms"},
                                       {"sequence", sequence},
                                       {"born", 1'790'000'000'000}});
  }

 private:
  std::string Handle(const Message& request) {
    const std::string request_id = request.Field("toucanknot-attempt-id");
    std::string fields = "Toucanknot-Attempt-Id: " + request_id + "\r\n";
    if (request.Field("toucanknot-target-instance") != id_)
      return Response(421, fields, "");
    const int running = ++running_;
    SleepMs(work_ms_);
    --running_;
    const Trouble trouble = trouble_;
    const bool spoil =
        (trouble == Trouble::kTrailer || trouble == Trouble::kStatus) &&
        ++answers_ % kAnswersPerSpoilt == 0;
    record_.Line("server %s ran %s%s", id_.c_str(), request_id.c_str(),
                 spoil ? ", its answer is spoilt" : "");
    fields += "Toucanknot-Response-Stamp: s." + id_ +
              "\r\nToucanknot-Server-Load: " + std::to_string(running - 1) +
              ",0," + std::to_string(kSlots) + "\r\n";
    if (!spoil)
      return Response(200, fields, "found");
    ++spoilt_;
    if (trouble == Trouble::kStatus) {
      return "HTTP/1.1 000 X\r\n" + fields + "Content-Length: 5\r\n\r\nfound";
    }
    return "HTTP/1.1 200 X\r\n" + fields +
           "Transfer-Encoding: chunked\r\n\r\n5\r\nfound\r\n0\r\nx: " +
           std::string(kTrailerBytes, 'x') + "\r\n\r\n";
  }

  const std::string id_;
  const std::string service_;
  Record& record_;
  std::atomic<Trouble> trouble_{Trouble::kNone};
  std::atomic<int> work_ms_{kWorkMs};
  std::atomic<int> running_{0};
  std::atomic<int> answers_{0};
  std::atomic<int> spoilt_{0};
  // Last, since its threads use the others.
  Server server_;
};

class Day {
 public:
  Day(const char* program,
      const std::string& folder,
      const std::string& record,
      bool trouble)
      : folder_(folder), trouble_(trouble), record_(record) {
    for (int i = 0; i < 2 * kServers; ++i) {
      servers_.push_back(std::make_unique<BackendServer>(
          i, i < kServers ? "tracker" : "dispatch", record_));
    }
    // The servers check in every 1.5 s.
    std::thread([this] {
      for (int sequence = 1;; ++sequence) {
        for (const auto& it : servers_)
          store_.Put("servers/" + it->id(), Base64(it->Entry(sequence)));
        SleepMs(1'500);
      }
    }).detach();
    Acknowledge();
    StartHost(program);
  }

  int Trailer();
  int Moved();
  int Status();
  // Ends the day.
  [[noreturn]] void End(int code) {
    int status = 0;
    if (::waitpid(host_, &status, WNOHANG) != 0) {
      record_.Line("the host ended by itself");
      code = 2;
    } else {
      ::kill(host_, SIGKILL);
      ::waitpid(host_, nullptr, 0);
    }
    record_.Line("exit %d", code);
    std::_Exit(code);
  }

 private:
  // Requests of one route and how many of them were served.
  struct Counts {
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
  };

  void Acknowledge() {
    store_.Put("op/config", Base64(config_.Text()));
    record_.Line("r%d is acknowledged: added host '%s', service %s, timeout %s",
                 config_.version, config_.added_host.c_str(),
                 config_.added_service.c_str(), config_.added_timeout.c_str());
  }
  void StartHost(const char* program);
  // Calm: until the host serves, and for settle_window after that.
  void AwaitService() {
    const int64_t start = NowMs();
    while (Ask("jobs.example", "/lookup/0").status != 200) {
      if (NowMs() - start > 15'000)
        End(2);
      SleepMs(200);
    }
    SleepMs(kSettleMs);
  }
  // A request on a connection of its own.
  Answer Ask(const std::string& name, const std::string& path) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    Connection connection(socket);
    const timeval limit{4, 0};
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    const sockaddr_in address = AddressOf(kHostIp, ports_[0]);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0)
      return {};
    return Ask(connection, name, path);
  }
  Answer Ask(Connection& connection,
             const std::string& name,
             const std::string& path) {
    char id[17];
    std::snprintf(id, sizeof id, "%016x", ++number_);
    std::string head = "GET " + path + " HTTP/1.1\r\nHost: " + name +
                       "\r\nToucanknot-Attempt-Id: " + id +
                       "\r\nToucanknot-Deadline-Ms: 4000\r\n";
    Answer answer;
    if (connection.Send(head + "\r\n")) {
      if (const auto response = connection.Read()) {
        answer = {response->status(),
                  !response->Field("toucanknot-response-stamp").empty()};
        if (answer.status < 100 || answer.status > 599)
          ++no_status_;
      }
    }
    record_.Line("request %s for %s%s: %d%s", id, name.c_str(), path.c_str(),
                 answer.status, answer.stamped ? " from a server" : "");
    return answer;
  }
  // Sets what half of the servers of the added route's service do: those with
  // even numbers for 0, the others for 1.
  void SetTrouble(int part, Trouble trouble);
  int Spoilt() const;
  // Adds a route to the other service, in calm.
  void AddRoute();
  // Returns 1 if the added route is served less than a quarter as often as the
  // first one.
  int JudgeAdded(const Counts& first, const Counts& added);
  // One caller: sends a request each `every_ms` until `until`.
  void Call(const std::string& name,
            const std::string& prefix,
            int every_ms,
            int64_t until,
            Counts* counts);

  const std::string folder_;
  const bool trouble_;
  Record record_;
  Store store_;
  std::vector<std::unique_ptr<BackendServer>> servers_;
  Config config_;
  std::vector<uint16_t> ports_{0, 0, 0, 0, 0};
  std::atomic<int> number_{0};
  std::atomic<bool> measured_{false};
  // Answers whose status is none of HTTP.
  std::atomic<int> no_status_{0};
  pid_t host_ = 0;
};

void Day::StartHost(const char* program) {
  // The ports are free when they are chosen.
  std::vector<int> sockets;
  for (uint16_t& it : ports_)
    sockets.push_back(BindFree(kHostIp, it));
  for (const int it : sockets)
    ::close(it);
  const auto at = [&](int i) {
    return std::string(kHostIp) + ":" + std::to_string(ports_[i]);
  };
  const std::string settings = folder_ + "/host.json";
  std::ofstream(settings) << json::serialize(json::value{
      {"host", "front-khomas-a-1"}, {"zone", "khomas-a"},
      {"region", "khomas"},         {"regions", {{"khomas-a", "khomas"}}},
      {"callers", at(0)},           {"readiness", at(1)},
      {"directory", at(2)},         {"store", store_.address()},
      {"peer_port", ports_[3]},     {"metrics_port", ports_[4]},
      {"news_within", "2500ms"},    {"server_heartbeat", "1500ms"},
      {"memory_mb", 260},           {"link_mbps", 1000.0},
      {"cpu_share", 0.2},           {"stop_within", "6s"},
      {"lookup_lifetime", "5s"},    {"max_descriptors", 4100},
      {"retry_ratio", 0.2},         {"retry_slack", 58},
      {"retry_window", "10s"}});
  host_ = ::fork();
  if (host_ == 0) {
    // Ends with this process, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::setenv("TOUCANKNOT_BOOT", settings.c_str(), 1);
    if (std::freopen((folder_ + "/host.log").c_str(), "w", stdout) == nullptr)
      std::_Exit(2);
    ::execl(program, program, nullptr);
    std::_Exit(2);
  }
}

void Day::Call(const std::string& name,
               const std::string& prefix,
               int every_ms,
               int64_t until,
               Counts* counts) {
  std::unique_ptr<Connection> connection;
  for (int i = 0; NowMs() < until; ++i) {
    const int64_t next = NowMs() + every_ms;
    if (!connection) {
      const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      connection = std::make_unique<Connection>(socket);
      const timeval limit{4, 0};
      ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
      const sockaddr_in address = AddressOf(kHostIp, ports_[0]);
      ::connect(socket, reinterpret_cast<const sockaddr*>(&address),
                sizeof address);
    }
    const bool measured = measured_;
    const Answer answer =
        Ask(*connection, name, prefix + std::to_string(i % 40));
    if (answer.status == 0)
      connection.reset();
    if (measured) {
      ++counts->sent;
      counts->served += answer.status == 200 ? 1 : 0;
    }
    SleepMs(std::max<int64_t>(next - NowMs(), 0));
  }
}

void Day::SetTrouble(int part, Trouble trouble) {
  for (int k = part; k < kServers; k += 2)
    servers_[kServers + k]->set_trouble(trouble_ ? trouble : Trouble::kNone);
}

int Day::Spoilt() const {
  int n = 0;
  for (const auto& it : servers_)
    n += it->spoilt();
  return n;
}

void Day::AddRoute() {
  config_.added_host = "release.example";
  config_.version = 2;
  Acknowledge();
  SleepMs(kConfigApplyMs + kSettleMs);
}

int Day::JudgeAdded(const Counts& first, const Counts& added) {
  const double first_share = 1.0 * first.served / std::max(1, +first.sent);
  const double added_share = 1.0 * added.served / std::max(1, +added.sent);
  record_.Line(
      "answers spoilt %d; in steady state: first "
      "route %d sent, %d served; added route %d sent, %d served",
      Spoilt(), +first.sent, +first.served, +added.sent, +added.served);
  if (first_share < 0.9 || added.sent < 20)
    return 2;
  return added_share < first_share / 4 ? 1 : 0;
}

int Day::Trailer() {
  AwaitService();
  AddRoute();
  const int64_t until = NowMs() + kSettleMs + kGarbles * (kGarbleMs + 1'000) +
                        kRecoverMs + kMeasureMs;
  Counts first;
  Counts added;
  std::vector<std::thread> callers;
  for (int i = 0; i < 4; ++i) {
    callers.emplace_back(
        [&] { Call("jobs.example", "/lookup/", 100, until, &first); });
  }
  for (int i = 0; i < 12; ++i) {
    callers.emplace_back(
        [&] { Call("release.example", "/added/", 40, until, &added); });
  }
  SleepMs(kSettleMs);
  for (int i = 0; i < kGarbles; ++i) {
    // Half of the servers of the added route's service at a time.
    record_.Line("garble %d begins", i + 1);
    SetTrouble(i % 2, Trouble::kTrailer);
    SleepMs(kGarbleMs);
    SetTrouble(i % 2, Trouble::kNone);
    record_.Line("garble %d is over", i + 1);
    SleepMs(1'000);
  }
  SleepMs(kRecoverMs);
  record_.Line("steady state");
  measured_ = true;
  for (std::thread& it : callers)
    it.join();
  return JudgeAdded(first, added);
}

int Day::Moved() {
  for (int i = 0; i < 2 * kServers; ++i)
    servers_[i]->set_work(i < kServers ? kNewWorkMs : kOldWorkMs);
  AwaitService();
  config_.added_timeout = "3000ms";
  AddRoute();
  constexpr int kBeforeMs = 15'000;
  const int64_t until =
      NowMs() + kBeforeMs + kConfigApplyMs + kRecoverMs + kMeasureMs;
  Counts first;
  Counts added;
  std::vector<std::thread> callers;
  for (int i = 0; i < 2; ++i) {
    callers.emplace_back(
        [&] { Call("jobs.example", "/lookup/", 400, until, &first); });
    callers.emplace_back(
        [&] { Call("release.example", "/added/", 400, until, &added); });
  }
  SleepMs(kBeforeMs);
  config_.version = 3;
  config_.added_service = "tracker";
  if (trouble_)
    config_.added_timeout = "900ms";
  Acknowledge();
  SleepMs(kConfigApplyMs + kRecoverMs);
  record_.Line("steady state");
  measured_ = true;
  for (std::thread& it : callers)
    it.join();
  return JudgeAdded(first, added);
}

int Day::Status() {
  AwaitService();
  AddRoute();
  const int64_t until = NowMs() + kSettleMs + kGarbleMs + kSettleMs;
  Counts added;
  std::vector<std::thread> callers;
  for (int i = 0; i < 4; ++i) {
    callers.emplace_back(
        [&] { Call("release.example", "/added/", 50, until, &added); });
  }
  SleepMs(kSettleMs);
  record_.Line("garble begins");
  SetTrouble(0, Trouble::kStatus);
  SleepMs(kGarbleMs);
  SetTrouble(0, Trouble::kNone);
  record_.Line("garble is over");
  for (std::thread& it : callers)
    it.join();
  record_.Line("answers spoilt %d; answers with no status of HTTP %d", Spoilt(),
               +no_status_);
  if (trouble_ && Spoilt() == 0)
    return 2;
  return no_status_ > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5)
    return 2;
  signal(SIGPIPE, SIG_IGN);
  const char* trouble = std::getenv("TROUBLE");
  const std::string name = argv[1];
  // Its threads use it until the process ends.
  auto* day = new Day(argv[2], argv[3], argv[4],
                      trouble == nullptr || std::string(trouble) != "0");
  if (name == "trailer")
    day->End(day->Trailer());
  if (name == "moved")
    day->End(day->Moved());
  if (name == "status")
    day->End(day->Status());
  day->End(2);
}
