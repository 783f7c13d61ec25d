#ifndef SRC_ENTRY_REQUEST_RUNNER_H_
#define SRC_ENTRY_REQUEST_RUNNER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "include/entry/entry_settings.h"
#include "include/entry/entry_wire.h"
#include "include/entry/fleet_store.h"
#include "include/health/crash_tracker.h"
#include "include/limits/retry_budget.h"
#include "include/limits/retry_reserve.h"
#include "include/placing/placer.h"
#include "include/routing/route_table.h"
#include "src/entry/entry_metrics.h"
#include "src/entry/placement_queue.h"
#include "src/forward/connection_pool.h"
#include "src/http/http_message.h"

namespace toucanknot {

// Serves callers' requests: finds the route, has a backend server chosen,
// sends the request there, and again where that is allowed, and answers. Used
// on one loop.
class RequestRunner {
 public:
  // What a runner works with; all outlive it.
  struct Parts {
    boost::asio::io_context& loop;
    const EntrySettings& settings;
    const EntryWire& names;
    RouteTable& routes;
    const ServerRegistry& registry;
    PlacementQueue& desk;
    ConnectionPool& connections;
    CrashTracker& crashes;
    EntryMetrics& metrics;
    Placer& placer;
    const FleetStore& store;
  };

  explicit RequestRunner(const Parts& parts);

  boost::asio::awaitable<HttpResponse> Handle(HttpRequest request);

  // Where a request for `target` of `host_name` about `object` would go now,
  // and why, as JSON. Nothing is sent.
  std::string Explain(std::string_view host_name,
                      std::string_view target,
                      std::string_view object);

  // How many hosts share the bound on retries.
  void SetHostCount(int n);
  // Requests that are being worked on.
  int in_flight() const { return in_flight_; }

 private:
  // A request on its way.
  struct Run {
    HttpRequest request;
    // A copy: a newer configuration may come while the request is under way.
    Route route;
    ServiceId service;
    std::string id;
    uint64_t fingerprint = 0;
    PlacementRequest item;
    // Servers that turned it away.
    std::set<ServerId> rejected_by;
    int sent = 0;
    // When a server took it first, and the time that was given to it.
    Instant deadline;
    // It may have run somewhere.
    bool may_have_run = false;
    bool caller_left = false;
    // Its caller was refused before and came back.
    bool returned = false;
    // What the last attempts came to, for the log.
    std::string story;
  };
  // What a service's retries may be, and the part kept for callers that return.
  struct Retries {
    RetryBudget budget;
    RetryReserve reserve;
  };
  // What one attempt at a server came to.
  struct Attempt {
    ServerAttemptEnd end = ServerAttemptEnd::kBroken;
    HttpResponse response;
    std::string error;
  };

  boost::asio::awaitable<HttpResponse> HandleCounted(HttpRequest request);
  boost::asio::awaitable<HttpResponse> Serve(Run& run);
  boost::asio::awaitable<Attempt> Send(Run& run, const Placement& placement);
  // What the placer is asked for a request of `route` that began at `began`.
  PlacementRequest MakeItem(const Route& route,
                            const ServiceId& service,
                            std::string_view object,
                            Instant began) const;
  // How long the caller has waited already, at other attempts: what it says is
  // left falls short of what callers of the route have at first.
  Duration TimeSpent(const Route& route, Duration left);
  HttpRequest ForServer(const Run& run, const ServerId& server) const;
  // Judges what came back.
  ServerAttemptEnd Judge(const ExchangeResult& exchange) const;
  void Report(Run& run,
              const Placement& placement,
              const Attempt& attempt,
              Duration took);
  // Keeps the request away from a server where an attempt ended so.
  static void Avoid(Run& run, const ServerId& server, ServerAttemptEnd end);
  // Whether the request may be sent to another server after `end`.
  bool MayRepeat(Run& run, ServerAttemptEnd end);
  // The answer when no server's answer can be given.
  HttpResponse Refuse(const Run& run,
                      int status,
                      const std::string& why,
                      Duration retry_after);
  HttpResponse Fail(const Run& run,
                    ServerAttemptEnd end,
                    const std::string& why);
  Retries& RetriesOf(const ServiceId& service);
  void LogOutcome(const Run& run, const HttpResponse& response);

  const Parts parts_;
  int in_flight_ = 0;
  int host_count_ = 1;
  std::map<ServiceId, Retries> retries_;
  // The most time that callers of each route had, by its name.
  std::map<std::string, Duration> longest_waits_;
  std::minstd_rand random_;
};

}  // namespace toucanknot

#endif  // SRC_ENTRY_REQUEST_RUNNER_H_
