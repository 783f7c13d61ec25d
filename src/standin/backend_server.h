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

// What a stand-in of a backend server does wrong; may change while it runs.
struct BackendFaults {
  // Mean of the exponentially distributed time that a request takes.
  Duration service_time{20};
  // Takes no new work and says so in its health.
  bool leaving = false;
  // Its health says idle and well whatever is the case.
  bool misleading = false;
  // Every request is answered 500 without being run.
  bool failing = false;
  // Requests that wait beyond this number are shed with a 503.
  int max_waiting = 64;
  // For this long after the start, service takes four times as long.
  Duration cold_for{0};
  // Connections opened before this instant get no answer any more.
  Instant silent_before;
};

// A backend server as the platform would run it, for tests and trials: runs
// `slots` requests at once and enters every run into the ledger. A request
// names its work in `Work-Id`, the bytes of the answer it wants in
// `Answer-Bytes`; one with `Crash-Server` brings the server down for a while.
class StandinBackendServer
    : public std::enable_shared_from_this<StandinBackendServer> {
 public:
  StandinBackendServer(WorkerPool& workers,
                       BackendServer spec,
                       std::shared_ptr<WorkLedger> ledger,
                       uint64_t seed);

  // Throws when the address cannot be had.
  void Start();
  // Breaks every connection, as a crash does; comes back after `down`.
  void Crash(Duration down);
  // Ends it for good; the workers must have been stopped.
  void Close();
  void SetFaults(const BackendFaults& faults);
  BackendFaults faults() const;

  const BackendServer& spec() const { return spec_; }
  // The most connections and running requests seen at once.
  int64_t peak_connections() const { return peak_connections_; }
  // How often it has crashed.
  int crashes() const { return life_; }
  int peak_running() const;
  int running() const;
  // When the last request arrived.
  Instant last_arrival() const;

 private:
  using Turn = OneShot<bool>;

  boost::asio::awaitable<HttpResponse> Handle(HttpRequest request);
  boost::asio::awaitable<HttpResponse> Work(HttpRequest request, int life);
  std::shared_ptr<HttpServer> server() const;
  HttpResponse Health() const;
  // Waits for a slot; false when the request is shed.
  boost::asio::awaitable<bool> TakeSlot();
  void GiveSlot();
  Duration DrawServiceTime();

  WorkerPool& workers_;
  const BackendServer spec_;
  const std::shared_ptr<WorkLedger> ledger_;
  std::atomic<int64_t> peak_connections_{0};
  // Counts lives: what ran in an earlier one answers nobody.
  std::atomic<int> life_{0};

  mutable std::mutex mutex_;
  std::shared_ptr<HttpServer> server_;
  BackendFaults faults_;
  std::mt19937_64 random_;
  int running_ = 0;
  int peak_running_ = 0;
  Instant started_;
  Instant last_arrival_;
  std::deque<std::shared_ptr<Turn>> waiting_;
};

// The body that a stand-in answers to `work_id` with: starts with the id, and
// its end proves that it is whole.
std::string StandinResponse(const std::string& work_id, size_t bytes);

}  // namespace toucanknot

#endif  // SRC_STANDIN_BACKEND_SERVER_H_
