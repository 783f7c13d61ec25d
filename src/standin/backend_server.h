#ifndef SRC_STANDIN_BACKEND_SERVER_H_
#define SRC_STANDIN_BACKEND_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <random>
#include <string>

#include "include/base/clock.h"
#include "include/config/fleet_config.h"
#include "src/http/http_server.h"
#include "src/http/one_shot.h"
#include "src/standin/work_ledger.h"

namespace toucanknot {

// The simulated faults and load limits of a stand-in backend server. Can be
// changed while it runs.
struct BackendFaults {
  // Mean of the exponentially distributed service time.
  Duration service_time{20};
  // Reports in its health that it is leaving; still serves requests.
  bool leaving = false;
  // Always reports healthy and idle.
  bool misleading = false;
  // Responds to every request with 500 without running it.
  bool failing = false;
  // Limit on waiting requests; further ones are shed with a 503.
  int max_waiting = 64;
  // For this long after the start, the service time is four times as long.
  Duration cold_for{0};
  // Connections opened before this instant no longer get responses.
  Instant silent_before;
};

// A stand-in for a backend server, for tests and trials: runs up to `slots`
// requests concurrently and records every run in the ledger. Request headers:
// `Work-Id` identifies the work item, `Answer-Bytes` is the size of the
// response, `Crash-Server` crashes the server for a while.
class StandinBackendServer
    : public std::enable_shared_from_this<StandinBackendServer> {
 public:
  StandinBackendServer(WorkerPool& workers,
                       BackendServer spec,
                       std::shared_ptr<WorkLedger> ledger,
                       uint64_t seed);

  // Throws when the address cannot be bound.
  void Start();
  // Breaks every connection, as a crash does; restarts after `down`.
  void Crash(Duration down);
  // Stops permanently; the workers must have been stopped before.
  void Close();
  void SetFaults(const BackendFaults& faults);
  BackendFaults faults() const;

  const BackendServer& spec() const { return spec_; }
  // The maximum number of concurrent connections.
  int64_t peak_connections() const { return peak_connections_; }
  // The number of crashes.
  int crashes() const { return crashes_; }
  // The maximum number of concurrently running requests.
  int peak_running() const;
  int running() const;
  // When the last request arrived.
  Instant last_arrival() const;

 private:
  using SlotWaiter = OneShot<bool>;

  boost::asio::awaitable<HttpResponse> Handle(HttpRequest request);
  boost::asio::awaitable<HttpResponse> ServeWork(HttpRequest request,
                                                 int incarnation);
  std::shared_ptr<HttpServer> server() const;
  HttpResponse Health() const;
  // Waits for a slot; false when the request is shed.
  boost::asio::awaitable<bool> AcquireSlot();
  void ReleaseSlot();
  Duration RandomServiceTime();

  WorkerPool& workers_;
  const BackendServer spec_;
  const std::shared_ptr<WorkLedger> ledger_;
  std::atomic<int64_t> peak_connections_{0};
  // Incremented on each crash; requests of an earlier incarnation get no
  // response.
  std::atomic<int> crashes_{0};

  mutable std::mutex mutex_;
  std::shared_ptr<HttpServer> server_;
  BackendFaults faults_;
  std::mt19937_64 random_;
  int running_ = 0;
  int peak_running_ = 0;
  Instant started_;
  Instant last_arrival_;
  std::deque<std::shared_ptr<SlotWaiter>> waiting_;
};

// The response body for `work_id`: starts with the id and ends with a hash of
// the preceding bytes, which proves that it is complete.
std::string StandinResponse(const std::string& work_id, size_t bytes);

}  // namespace toucanknot

#endif  // SRC_STANDIN_BACKEND_SERVER_H_
