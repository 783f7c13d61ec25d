#include "review/standins-4/fleet.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>

namespace review {
namespace {

constexpr int64_t kIdleMs = 10'000;
constexpr int64_t kConnectMs = 1'000;
constexpr char kHostName[] = "review.example";

std::string FieldOf(const std::string& head, const std::string& name) {
  const size_t at = head.find(name + ": ");
  if (at == std::string::npos)
    return {};
  const size_t begin = at + name.size() + 2;
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

}  // namespace

void Record::Line(const std::string& text) {
  const std::lock_guard lock(mutex_);
  out_ << NowMs() << " ms  " << text << std::endl;
}

Server::Server(std::string id,
               const std::string& ip,
               int64_t work_ms,
               Record& record)
    : Server(std::move(id), ip, work_ms, record, {}) {}

Server::Server(std::string id,
               const std::string& ip,
               int64_t work_ms,
               Record& record,
               const Reading& reading)
    : id_(std::move(id)),
      work_ms_(work_ms),
      reading_(reading),
      record_(record),
      born_ms_(std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count()),
      endpoint_{ip, 0} {
  Serve(Listen(endpoint_, reading.receive_buffer),
        [this](Connection& it) { ServeConnection(it); });
}

std::string Server::Entry(const std::string& service,
                          const std::string& zone,
                          const std::string& state) {
  const std::lock_guard lock(mutex_);
  return "{\"service\":\"" + service + "\",\"address\":\"" +
         endpoint_.ToString() + "\",\"zone\":\"" + zone +
         "\",\"version\":\"v1\",\"slots\":4,\"state\":\"" + state +
         "\",\"cold_left\":\"0ms\",\"sequence\":" +
         std::to_string(++sequence_) + ",\"born\":" + std::to_string(born_ms_) +
         "}";
}

std::map<std::string, int64_t> Server::busy_until() {
  const std::lock_guard lock(mutex_);
  return busy_until_;
}

std::vector<Server::Run> Server::runs() {
  const std::lock_guard lock(mutex_);
  return runs_;
}

void Server::ServeConnection(Connection& connection) {
  for (;;) {
    if (reading_.pause_ms > 0) {
      // The first part of a request with a body is there: the server works at
      // it, and reads on later.
      const std::string head = connection.Peek(NowMs() + kIdleMs);
      const bool has_body = head.rfind("POST", 0) == 0;
      if (has_body) {
        const std::string attempt = FieldOf(head, "Toucanknot-Attempt-Id");
        record_.Line("server " + id_ + " works at the first part of " +
                     attempt);
        {
          const std::lock_guard lock(mutex_);
          busy_until_[attempt] = NowMs() + reading_.pause_ms;
        }
        SleepMs(reading_.pause_ms);
      }
    }
    const auto request = connection.Read(NowMs() + kIdleMs);
    if (!request)
      return;
    const std::string attempt = request->Get("toucanknot-attempt-id");
    std::string fields = "Toucanknot-Attempt-Id: " + attempt + "\r\n";
    if (request->target == "/healthz") {
      if (!connection.Write(ResponseText(
              200, "Toucanknot-Instance-Id: " + id_ + "\r\n", "well")))
        return;
      continue;
    }
    const std::string wanted = request->Get("toucanknot-target-instance");
    if (!wanted.empty() && wanted != id_) {
      fields += "Toucanknot-Instance-Id: " + id_ + "\r\n";
      if (!connection.Write(ResponseText(421, fields, "")))
        return;
      continue;
    }
    const Run run{attempt, NowMs(), request->Get("toucanknot-tenant"),
                  request->Get("api-key")};
    {
      const std::lock_guard lock(mutex_);
      runs_.push_back(run);
    }
    record_.Line("server " + id_ + " runs " + attempt + " (" + request->method +
                 " " + request->target + "), tenant '" + run.tenant +
                 "', key '" + run.key + "'");
    SleepMs(work_ms_);
    fields += "Toucanknot-Response-Stamp: " + id_ + "." + attempt +
              "\r\nKeep-Alive: timeout=10\r\n";
    if (!connection.Write(ResponseText(200, fields, "answer to " + attempt)))
      return;
  }
}

std::string Route(const std::string& name, const std::string& prefix) {
  const bool safe = prefix != "/order/";
  return "\"" + name + "\":{\"host\":\"review.example\",\"prefix\":\"" +
         prefix + "\",\"kind\":\"" + (safe ? "safe" : "unsafe") +
         "\",\"timeout\":\"2000ms\",\"target_latency\":\"500ms\","
         "\"priority\":1,\"service\":\"shop\",\"attempts\":2,"
         "\"public\":false,\"sticky_sessions\":true,"
         "\"allowed_regions\":[]}";
}

std::string Config(int version,
                   const char* tenants,
                   const std::string& more_routes) {
  std::string out = "{\"version\":\"r" + std::to_string(version) +
                    "\",\"routes\":{" + Route("r-read", "/read/") + "," +
                    Route("r-order", "/order/");
  if (!more_routes.empty())
    out += "," + more_routes;
  out +=
      "},\"services\":{\"shop\":{\"health_path\":\"/healthz\","
      "\"max_connections\":330,\"protocol\":\"h1\",\"tls\":false,"
      "\"cold_start\":\"3s\",\"cold_per_s\":4.4}},\"limits\":{"
      "\"max_header_bytes\":16384,\"max_body_bytes\":67108864,"
      "\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}";
  if (tenants != nullptr)
    out += std::string(",\"tenants\":{") + tenants + "}";
  return out + "}";
}

std::string Tenant(const std::string& name, const std::string& key) {
  return "\"" + name + "\":{\"api_keys\":[\"" + key +
         "\"],\"priority\":1,\"rate_per_s\":100,\"burst\":100,"
         "\"allowed_regions\":[]}";
}

Host::Host(Options options) : options_(std::move(options)) {
  const std::string& ip = options_.ip;
  callers_ = {ip, FreePort(ip)};
  readiness_ = {ip, FreePort(ip)};
  const Endpoint directory{ip, FreePort(ip)};
  settings_ = options_.folder + "/" + options_.name + ".json";
  std::ofstream(settings_)
      << "{\"host\": \"" << options_.name << "\", \"zone\": \"" << options_.zone
      << "\", \"region\": \"north\", \"regions\": {" << options_.regions
      << "}, \"callers\": \"" << callers_.ToString() << "\", \"readiness\": \""
      << readiness_.ToString() << "\", \"directory\": \""
      << directory.ToString() << "\", \"store\": \""
      << options_.store.ToString() << "\", \"peer_port\": " << FreePort(ip)
      << ", \"metrics_port\": " << FreePort(ip)
      << ", \"news_within\": \"2500ms\", \"server_heartbeat\": \"1500ms\","
      << " \"memory_mb\": 260, \"link_mbps\": 1000.0, \"cpu_share\": 0.2,"
      << " \"stop_within\": \"6s\", \"lookup_lifetime\": \"5s\", "
      << options_.more << " \"max_descriptors\": 4100, \"retry_ratio\": 0.2,"
      << " \"retry_slack\": 58, \"retry_window\": \"10s\"}";
}

Host::~Host() {
  if (pid_ <= 0)
    return;
  kill(pid_, SIGKILL);
  kill(pid_, SIGCONT);
  waitpid(pid_, nullptr, 0);
}

void Host::Start() {
  const std::string log = options_.folder + "/" + options_.name + ".log";
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ != 0)
    return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent)
    _exit(2);
  const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  setenv("TOUCANKNOT_BOOT", settings_.c_str(), 1);
  execl(options_.program.c_str(), options_.program.c_str(), nullptr);
  _exit(2);
}

void Host::Signal(int signal) {
  kill(pid_, signal);
}

bool Host::AwaitEnd(int64_t limit_ms) {
  const int64_t until = NowMs() + limit_ms;
  while (NowMs() < until) {
    if (waitpid(pid_, nullptr, WNOHANG) == pid_) {
      pid_ = -1;
      return true;
    }
    SleepMs(20);
  }
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
  return false;
}

bool Host::AwaitReady(int64_t limit_ms) {
  const int64_t until = NowMs() + limit_ms;
  while (NowMs() < until) {
    const int fd = Connect(readiness_, 100);
    if (fd >= 0) {
      Connection connection(fd);
      connection.Write("GET /v1/ready HTTP/1.1\r\nHost: " +
                       readiness_.ToString() + "\r\n\r\n");
      const auto response = connection.Read(NowMs() + 500);
      if (response && response->status == 200)
        return true;
    }
    SleepMs(20);
  }
  return false;
}

int Send(const Host& host,
         const Call& call,
         Record& record,
         int64_t* ended_at_ms) {
  record.Line("client sends " + call.attempt + " (" + call.method + " " +
              call.target + ") to " + host.name() + ", key '" + call.key + "'");
  const int fd = Connect(host.callers(), kConnectMs);
  int status = 0;
  if (fd >= 0) {
    Connection connection(fd);
    std::string text =
        call.method + " " + call.target + " HTTP/1.1\r\nHost: " + kHostName +
        "\r\nToucanknot-Attempt-Id: " + call.attempt +
        "\r\nToucanknot-Deadline-Ms: " + std::to_string(call.budget_ms) +
        "\r\n" + call.more_fields;
    if (!call.key.empty())
      text += "Api-Key: " + call.key + "\r\n";
    if (call.method != "GET")
      text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
    connection.Write(text + "\r\n" + call.body);
    if (const auto response = connection.Read(NowMs() + call.budget_ms))
      status = response->status;
  }
  if (ended_at_ms != nullptr)
    *ended_at_ms = NowMs();
  record.Line("client gets " + std::to_string(status) + " to " + call.attempt);
  return status;
}

}  // namespace review
