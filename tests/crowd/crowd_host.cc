#include "tests/crowd/crowd_host.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include "include/base/error.h"
#include "include/routing/route_config.h"
#include "platform/wire_decoder.h"
#include "src/http/one_shot.h"
#include "tests/crowd/crowd.h"
#include "tests/platform/platform_texts.h"

#ifndef TOUCANKNOT_ENTRY_PROGRAM
#define TOUCANKNOT_ENTRY_PROGRAM "build/toucanknot-entry"
#endif

namespace toucanknot::crowd {
namespace {

constexpr char kIp[] = "127.0.0.1";
constexpr char kHostName[] = "crowd.example";
constexpr int kSlots = 64;
constexpr size_t kLargeBytes = 400'000;
// Fields of a hostile response: 10 kB, well below the limit of a head.
constexpr int kManyFields = 2'500;
constexpr int kOrdinaryAttempts = 20;
constexpr int kReadyAttempts = 200;

Endpoint FreeAddress(int type) {
  const int fd = ::socket(AF_INET, type, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  ::inet_pton(AF_INET, kIp, &address.sin_addr);
  ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(fd);
  return {kIp, ntohs(address.sin_port)};
}

std::string MakeFolder() {
  std::string path =
      (std::filesystem::temp_directory_path() / "crowd-XXXXXX").string();
  return ::mkdtemp(path.data());
}

std::string ProgramPath() {
  const char* other = std::getenv("TOUCANKNOT_ENTRY");
  return other != nullptr ? other : TOUCANKNOT_ENTRY_PROGRAM;
}

void Sleep(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

}  // namespace

CrowdHost::CrowdHost(const std::vector<Endpoint>& faulty_servers)
    : names_(platform::PlatformWire()),
      server_(
          workers_,
          {},
          [](std::string_view) { return uint64_t{1} << 20; },
          [this](HttpRequest request) { return Respond(std::move(request)); }),
      server_endpoint_(server_.Listen({kIp, 0})),
      folder_(MakeFolder()),
      callers_(FreeAddress(SOCK_STREAM)),
      readiness_(FreeAddress(SOCK_STREAM)),
      peers_(FreeAddress(SOCK_DGRAM)) {
  WriteStore(faulty_servers);
  WriteSettings();
  process_ = std::make_unique<soak::HostProcess>(
      ProgramPath(), folder_ + "/host.json", folder_ + "/host.log");
  process_->Start();
  AwaitReady();
}

CrowdHost::~CrowdHost() {
  process_.reset();
  workers_.Stop();
  std::filesystem::remove_all(folder_);
}

boost::asio::awaitable<HttpResponse> CrowdHost::Respond(HttpRequest request) {
  {
    const std::lock_guard lock(mutex_);
    ++arrivals_[request.target];
  }
  if (request.target.starts_with("/once/slow"))
    co_await SleepFor(kSlow);
  const bool large = request.target.starts_with("/large");
  HttpResponse response =
      TextResponse(200, large ? std::string(kLargeBytes, 'x') : "ran");
  response.fields.Add(names_.request_id,
                      std::string(request.fields.Get(names_.request_id)));
  response.fields.Add(names_.stamp, "s");
  if (request.target.starts_with("/fields")) {
    for (int i = 0; i < kManyFields; ++i)
      response.fields.Add("a", "");
  }
  co_return response;
}

void CrowdHost::WriteStore(const std::vector<Endpoint>& faulty_servers) {
  RouteConfig config;
  config.version = 1;
  config.services[ServiceId("s")] = {};
  config.services[ServiceId("faulty")] = {};
  Route route;
  route.name = "faulty";
  route.host_name = kHostName;
  route.prefix = "/faulty/";
  route.kind = RequestKind::kIdempotent;
  route.timeout = kTimeout;
  route.target_latency = Duration(1'000);
  route.attempts = 2;
  route.targets = {{ServiceId("faulty"), 1}};
  config.routes.push_back(route);
  route.name = "all";
  route.prefix = "/";
  route.targets = {{ServiceId("s"), 1}};
  config.routes.push_back(route);
  route.name = "once";
  route.prefix = "/once/";
  route.kind = RequestKind::kNonIdempotent;
  config.routes.push_back(route);
  store_.Put(platform::ConfigKey(), platform::EncodeConfig(config));
  WriteServer("server-0", "s", server_endpoint_);
  int n = 0;
  for (const Endpoint& it : faulty_servers)
    WriteServer("faulty-" + std::to_string(n++), "faulty", it);
}

void CrowdHost::WriteServer(const std::string& id,
                            const std::string& service,
                            const Endpoint& server) {
  ServerEntry entry;
  entry.id = ServerId(id);
  entry.service = ServiceId(service);
  entry.endpoint = server;
  entry.zone = ZoneId("z");
  entry.slots = kSlots;
  entry.incarnation = 1;
  store_.Put(platform::ServerKeyInStore(entry.id),
             platform::EncodeServer(entry));
}

void CrowdHost::WriteSettings() {
  std::ofstream(folder_ + "/host.json") << boost::json::serialize(
      boost::json::value{{"host", "host-0"},
                         {"zone", "z"},
                         {"region", "r"},
                         {"regions", boost::json::object{{"z", "r"}}},
                         {"callers", callers_.ToString()},
                         {"directory", FreeAddress(SOCK_STREAM).ToString()},
                         {"readiness", readiness_.ToString()},
                         {"peer_port", peers_.port},
                         {"store", store_.endpoint().ToString()},
                         {"memory_mb", kMemoryMb},
                         {"max_descriptors", kMaxDescriptors}});
}

void CrowdHost::AwaitReady() {
  for (int i = 0; i < kReadyAttempts; ++i) {
    const std::string reply = Exchange(
        readiness_,
        "GET /v1/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    if (reply.starts_with("HTTP/1.1 200"))
      return;
    if (!Lives())
      break;
    Sleep(50);
  }
  throw Error("the host is not ready");
}

void CrowdHost::BeginStop() {
  process_->Signal(SIGTERM);
}

int CrowdHost::Arrivals(const std::string& path) const {
  const std::lock_guard lock(mutex_);
  const auto it = arrivals_.find(path);
  return it == arrivals_.end() ? 0 : it->second;
}

bool CrowdHost::Lives() {
  return !process_->Reap() && process_->running();
}

int64_t CrowdHost::PeakMemoryKb() const {
  std::ifstream in("/proc/" + std::to_string(process_->pid()) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("VmHWM:"))
      return std::atoll(line.c_str() + 6);
  }
  return 0;
}

int64_t CrowdHost::OpenDescriptors() const {
  std::error_code ec;
  int64_t n = 0;
  for (const auto& it : std::filesystem::directory_iterator(
           "/proc/" + std::to_string(process_->pid()) + "/fd", ec)) {
    static_cast<void>(it);
    ++n;
  }
  return n;
}

std::string CrowdHost::RequestHead(const std::string& method,
                                   const std::string& path) const {
  return method + " " + path + " HTTP/1.1\r\nHost: " + kHostName + "\r\n" +
         names_.request_id + ": 42\r\n";
}

std::string CrowdHost::ExchangeOrdinaryRequest() const {
  return Exchange(
      callers_, RequestHead("GET", "/ordinary") + "Connection: close\r\n\r\n");
}

bool CrowdHost::AnswersOrdinaryRequest() const {
  for (int i = 0; i < kOrdinaryAttempts; ++i) {
    if (ExchangeOrdinaryRequest().starts_with("HTTP/1.1 200"))
      return true;
    Sleep(100);
  }
  return false;
}

}  // namespace toucanknot::crowd
