#ifndef TESTS_CROWD_CROWD_HOST_H_
#define TESTS_CROWD_CROWD_HOST_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "include/entry/entry_wire.h"
#include "soak/host_process.h"
#include "src/http/http_server.h"
#include "src/http/worker_pool.h"
#include "tests/platform/store_standin.h"

namespace toucanknot::crowd {

// A process of toucanknot-entry on loopback with lowered limits, the stand-in
// of the store, and one backend server; requests below /faulty/ go to
// `faulty_servers`. The environment variable
// TOUCANKNOT_ENTRY names another program than the one that was built.
class CrowdHost {
 public:
  // Bounds of the process, also stated in its settings.
  static constexpr int64_t kMemoryMb = 64;
  static constexpr int64_t kMaxDescriptors = 1'000;
  // `stop_within` of the process, and the service time of paths that begin with
  // "/once/slow". "/once/" is not idempotent.
  static constexpr Duration kGrace{6'000};
  static constexpr Duration kSlow{900};
  static constexpr Duration kTimeout{4'000};

  explicit CrowdHost(const std::vector<Endpoint>& faulty_servers = {});
  ~CrowdHost();

  const Endpoint& callers() const { return callers_; }
  const Endpoint& peers() const { return peers_; }
  platform::StoreStandin& store() { return store_; }
  bool Lives();
  // Sends SIGTERM.
  void BeginStop();
  // Requests with `path` that reached the backend server.
  int Arrivals(const std::string& path) const;
  // Largest resident memory since the start.
  int64_t PeakMemoryKb() const;
  int64_t OpenDescriptors() const;
  // The head of an ordinary request, without the empty line at its end.
  std::string RequestHead(const std::string& method,
                          const std::string& path) const;
  // Sends one ordinary request. Returns what arrives.
  std::string ExchangeOrdinaryRequest() const;
  // Whether one ordinary request gets a 200, in one of a few attempts. The
  // host may refuse some of them.
  bool AnswersOrdinaryRequest() const;

 private:
  boost::asio::awaitable<HttpResponse> Respond(HttpRequest request);
  void WriteStore(const std::vector<Endpoint>& faulty_servers);
  void WriteServer(const std::string& id,
                   const std::string& service,
                   const Endpoint& server);
  void WriteSettings();
  void AwaitReady();

  const EntryWire names_;
  mutable std::mutex mutex_;
  std::map<std::string, int> arrivals_;
  platform::StoreStandin store_;
  WorkerPool workers_{1};
  HttpServer server_;
  const Endpoint server_endpoint_;
  const std::string folder_;
  Endpoint callers_;
  Endpoint readiness_;
  Endpoint peers_;
  std::unique_ptr<soak::HostProcess> process_;
};

}  // namespace toucanknot::crowd

#endif  // TESTS_CROWD_CROWD_HOST_H_
