#ifndef SOAK_SOAK_SERVER_H_
#define SOAK_SOAK_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "include/entry/entry_wire.h"
#include "include/placing/server_entry.h"
#include "soak/backend_server.h"
#include "soak/fault_proxy.h"
#include "soak/invariant_checker.h"
#include "src/http/http_server.h"

namespace toucanknot::soak {

// Digest of the parts of a request that a server must receive unchanged.
uint64_t RequestDigest(const std::string& method,
                       const std::string& target,
                       const std::string& body);

// The body of a server's response to a request, and the stamp that is sent with
// it. With them a caller recognizes the complete response to its own request.
std::string ResponseBody(const std::string& id, size_t bytes);
std::string ResponseStamp(const std::string& server, const std::string& body);

// What a faulty server responds to a request that it has run.
inline constexpr int kRefusalStatuses[] = {408, 429, 503};

// A request for a target that contains this crashes the servers that run it.
inline constexpr std::string_view kCrashingTarget = "/crashes-servers-";

// A backend server behind a proxy. It has slots and a short queue, and marks
// the requests that it rejects as not run. Used on the loop of `workers` only.
class SoakServer : public BackendServer {
 public:
  struct Options {
    ServerEntry entry;
    // Mean time to run a request.
    Duration mean_run_time{120};
    int queue_limit = 8;
    uint64_t seed = 1;
  };
  // Called for each request that reached the server, before it accepts or
  // rejects it.
  using ArrivalHook =
      std::function<void(const std::string& server, const std::string& id)>;

  SoakServer(WorkerPool& workers,
             const EntryWire& names,
             InvariantChecker& checker,
             ArrivalHook on_arrival,
             Options options);

  // The entry that it registers in the store, with the address of the proxy.
  const ServerEntry& entry() const override { return options_.entry; }
  FaultProxy& link() { return *link_; }
  bool up() const override { return up_; }

  void MarkLost() override;
  void Crash() override;
  void Restart(const ServerId& id, const ServiceId& service) override;
  void SetLeaving() override { options_.entry.leaving = true; }
  // Requests take this many times as long.
  void SetSlowdown(int64_t factor) { slowdown_ = factor; }
  // Names this limit in its responses, or none.
  void SetLimit(std::optional<double> limit) { limit_ = limit; }
  // Rejects all requests until then, and asks the hosts for a pause as long.
  void SetPausedUntil(Instant until) { paused_until_ = until; }
  std::optional<double> limit() const { return limit_; }
  // Called when a request that crashes servers begins to run. Returns whether
  // the server crashes.
  using CrashHook =
      std::function<bool(const std::string& target, const std::string& id)>;
  void set_on_crashing_request(CrashHook hook) {
    on_crashing_request_ = std::move(hook);
  }
  // Share of the requests, 0 to 1, that are rejected though slots are free.
  void SetShedRate(double rate) { shed_rate_ = rate; }
  // Share of the requests that are run but get a response with 408, 429 or 503,
  // which does not state that they weren't.
  void SetRunThenRefuseRate(double rate) { run_then_refuse_rate_ = rate; }
  // Share of the requests, 0 to 1, that are run but get an error response.
  void SetFailureRate(double rate) { failure_rate_ = rate; }

 private:
  boost::asio::awaitable<HttpResponse> HandleRequest(HttpRequest request);
  // Returns whether a slot became free in time.
  boost::asio::awaitable<bool> WaitForSlot(const HttpRequest& request,
                                           Instant deadline);
  HttpResponse NotRunResponse(int status, const std::string& id) const;
  // Status of the response to a request that was run.
  int DrawStatus();
  bool Draw(double rate) {
    return std::uniform_real_distribution<double>()(random_) < rate;
  }
  // Adds what the server states about itself.
  void AddNotices(HttpResponse& response) const;

  const EntryWire& names_;
  InvariantChecker& checker_;
  const ArrivalHook on_arrival_;
  Options options_;
  std::mt19937_64 random_;
  bool up_ = true;
  int64_t slowdown_ = 1;
  double failure_rate_ = 0;
  double shed_rate_ = 0;
  double run_then_refuse_rate_ = 0;
  std::optional<double> limit_;
  Instant paused_until_;
  CrashHook on_crashing_request_;
  int running_ = 0;
  int waiting_ = 0;
  HttpServer server_;
  std::unique_ptr<FaultProxy> link_;
};

}  // namespace toucanknot::soak

#endif  // SOAK_SOAK_SERVER_H_
