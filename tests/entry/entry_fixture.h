#ifndef TESTS_ENTRY_ENTRY_FIXTURE_H_
#define TESTS_ENTRY_ENTRY_FIXTURE_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "include/entry/entry_daemon.h"
#include "src/http/http_server.h"
#include "src/http/worker_pool.h"

namespace toucanknot {

// A store whose callbacks are called by the test.
class FakeStore : public FleetStore {
 public:
  explicit FakeStore(boost::asio::io_context& loop) : loop_(loop) {}

  void Start(FleetStoreListener listener) override {
    this->listener = std::move(listener);
  }
  void Publish(const HostRecord&) override { published = true; }
  void Withdraw() override { published = false; }
  FleetStoreCounts counts() const override { return counts_; }
  // When the store was last read, on BootNow()'s clock.
  void SetProof(Instant at) {
    Run([this, at] { counts_.proven_at = at; });
  }

  // Runs `fn` on the host's loop and waits for it.
  void Run(const std::function<void()>& fn) {
    std::promise<void> done;
    boost::asio::post(loop_, [&] {
      fn();
      done.set_value();
    });
    done.get_future().wait();
  }

  FleetStoreListener listener;
  std::atomic<bool> published{false};

 private:
  boost::asio::io_context& loop_;
  FleetStoreCounts counts_;
};

inline EntryWire TestHeaders() {
  EntryWire names;
  names.request_id = "X-Id";
  names.deadline_ms = "X-Deadline";
  names.object = "X-Object";
  names.target_server = "X-Server";
  names.stamp = "X-Stamp";
  names.not_run = "X-Not-Run";
  names.load = "X-Load";
  names.api_key = "X-Key";
  names.workspace = "X-Workspace";
  names.read_notice = [](int status, const FieldReader& field) {
    ServerNotice notice;
    notice.leaving = field("X-Leaving") == "1";
    if (status == 503 && !field("Retry-After").empty())
      notice.pause = Duration(std::stoll(std::string(field("Retry-After"))));
    return notice;
  };
  names.lookup_path = "/hosts";
  names.lookup_region = "region";
  names.lookup_zone = "zone";
  names.write_hosts = [](const std::vector<Endpoint>& hosts, Duration) {
    std::string out = "hosts";
    for (const Endpoint& it : hosts)
      out += " " + it.ToString();
    return out;
  };
  return names;
}

// An entry host on loopback with a FakeStore.
class EntryFixture {
 public:
  explicit EntryFixture(std::optional<Duration> revoke_within = {},
                        Duration stop_within = Duration(1'500)) {
    EntrySettings settings;
    settings.revoke_within = revoke_within;
    settings.host = HostId("h");
    settings.zone = ZoneId("z");
    settings.region = RegionId("r");
    settings.regions = {{ZoneId("z"), RegionId("r")}};
    for (Endpoint* it : {&settings.callers, &settings.readiness,
                         &settings.directory, &settings.peers}) {
      *it = {"127.0.0.1", 0};
    }
    settings.metrics = Endpoint{"127.0.0.1", 0};
    settings.retry_slack = 20;
    settings.stop_within = stop_within;
    daemon = std::make_unique<EntryDaemon>(
        settings, TestHeaders(),
        [this](boost::asio::io_context& loop, const EntrySettings&) {
          auto made = std::make_unique<FakeStore>(loop);
          store = made.get();
          return made;
        });
    daemon->Start();
    store->Run([] {});
  }

  // Two routes: "/safe/" with two attempts, "/once/" non-idempotent; both to
  // service "s".
  void Configure(uint64_t version = 1,
                 Duration timeout = Duration(1'000),
                 Duration target_latency = Duration(300)) {
    auto config = std::make_shared<RouteConfig>();
    config->version = version;
    for (const char* prefix : {"/safe/", "/once/"}) {
      Route route;
      route.name = prefix;
      route.host_name = "x";
      route.prefix = prefix;
      route.kind = std::string(prefix) == "/safe/"
                       ? RequestKind::kIdempotent
                       : RequestKind::kNonIdempotent;
      route.timeout = timeout;
      route.target_latency = target_latency;
      route.attempts = 2;
      route.targets = {{ServiceId("s"), 1}};
      config->routes.push_back(std::move(route));
    }
    store->Run([&] {
      store->listener.config(config);
      store->listener.servers_listed({});
    });
  }

  void AddServer(const std::string& id, const Endpoint& endpoint) {
    ServerEntry entry;
    entry.id = ServerId(id);
    entry.service = ServiceId("s");
    entry.endpoint = endpoint;
    entry.zone = ZoneId("z");
    entry.slots = 4;
    entry.incarnation = 1;
    store->Run([&] { store->listener.server(entry); });
  }

  // Sends `bytes` on a new connection from the address `from` and returns
  // everything received.
  static std::string Send(const Endpoint& to,
                          const std::string& bytes,
                          const std::string& from = "127.0.0.1") {
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io, boost::asio::ip::tcp::v4());
    socket.bind({boost::asio::ip::make_address(from), 0});
    socket.connect({boost::asio::ip::make_address(to.ip), to.port});
    boost::system::error_code ec;
    boost::asio::write(socket, boost::asio::buffer(bytes), ec);
    std::string out;
    boost::asio::read(socket, boost::asio::dynamic_buffer(out), ec);
    return out;
  }

  static std::string RequestText(const std::string& path) {
    return "GET " + path +
           " HTTP/1.1\r\nHost: x\r\nX-Id: 42\r\nConnection: close\r\n\r\n";
  }

  std::string Fetch(const std::string& path) {
    return Send(daemon->callers(), RequestText(path));
  }
  std::string FetchReadiness() {
    return Send(daemon->readiness(), RequestText("/ready"));
  }

  FakeStore* store = nullptr;
  std::unique_ptr<EntryDaemon> daemon;
};

// A backend server with a handler given by the test.
class TestServer {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  explicit TestServer(Handler handler)
      : server_(
            workers_,
            {},
            [](std::string_view) { return uint64_t{1} << 20; },
            [this, handler = std::move(handler)](
                HttpRequest request) -> boost::asio::awaitable<HttpResponse> {
              ++arrivals;
              co_return handler(request);
            }),
        endpoint_(server_.Listen({"127.0.0.1", 0})) {}
  ~TestServer() { workers_.Stop(); }

  const Endpoint& endpoint() const { return endpoint_; }

  // A response of a server that ran the request.
  static HttpResponse Ran(const HttpRequest& request, std::string body) {
    HttpResponse response = TextResponse(200, std::move(body));
    response.fields.Add("X-Id", std::string(request.fields.Get("X-Id")));
    response.fields.Add("X-Stamp", "s");
    return response;
  }
  static HttpResponse NotRun(const HttpRequest& request) {
    HttpResponse response = TextResponse(503, "full");
    response.fields.Add("X-Id", std::string(request.fields.Get("X-Id")));
    response.fields.Add("X-Not-Run", "1");
    return response;
  }

  std::atomic<int> arrivals{0};

 private:
  WorkerPool workers_{1};
  HttpServer server_;
  Endpoint endpoint_;
};

}  // namespace toucanknot

#endif  // TESTS_ENTRY_ENTRY_FIXTURE_H_
