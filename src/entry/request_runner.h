#ifndef SRC_ENTRY_REQUEST_RUNNER_H_
#define SRC_ENTRY_REQUEST_RUNNER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "include/entry/entry_settings.h"
#include "include/entry/entry_wire.h"
#include "include/entry/explain_query.h"
#include "include/entry/fleet_store.h"
#include "include/health/crash_tracker.h"
#include "include/limits/retry_budget.h"
#include "include/limits/retry_reserve.h"
#include "include/placing/placer.h"
#include "include/routing/route_table.h"
#include "include/workspaces/access_control.h"
#include "src/entry/caller_budget.h"
#include "src/entry/entry_metrics.h"
#include "src/entry/placement_queue.h"
#include "src/forward/connection_pool.h"
#include "src/http/http_message.h"
#include "src/http/planned_stop.h"

namespace toucanknot {

// Serves callers' requests: finds the route, has the placer choose a backend
// server, sends the request there, retries where that is allowed, and responds.
// Used on one loop.
class RequestRunner {
 public:
  // Dependencies of a runner; all must outlive it.
  struct Parts {
    boost::asio::io_context& loop;
    const EntrySettings& settings;
    const EntryWire& names;
    RouteTable& routes;
    ServerRegistry& registry;
    PlacementQueue& placements;
    ConnectionPool& connections;
    CrashTracker& crashes;
    EntryMetrics& metrics;
    Placer& placer;
    const FleetStore& store;
    AccessControl& access;
    const PlannedStop& stop;
  };

  explicit RequestRunner(const Parts& parts);

  boost::asio::awaitable<HttpResponse> Handle(HttpRequest request);

  // Where a request would go now, and the figures behind that decision, as
  // JSON. Sends nothing, and changes no state that decisions use.
  std::string Explain(const ExplainQuery& query);

  // Drops what is kept for routes and services that no longer exist.
  void OnConfig(const RouteConfig& config);
  // Sets the number of hosts that share the retry limit.
  void SetHostCount(int n);
  // Number of requests in progress.
  int in_flight() const { return static_cast<int>(running_->size()); }

  // While the host stops: when the body of a request must have been read for
  // the request to be served, and the response to one that is later.
  Instant BodyCompleteBy(const HttpRequest& head);
  HttpResponse RefuseBody(const HttpRequest& head);
  // Number of requests refused since the host stops.
  uint64_t refused_stopping() const { return refused_stopping_; }
  // Logs the requests in progress, which end with the process.
  void LogCut() const;

 private:
  // A request in progress.
  struct Run {
    // Without its body, which all attempts share.
    HttpRequest request;
    std::shared_ptr<const std::string> body;
    // A copy, since the configuration may change while the request runs.
    Route route;
    ServiceId service;
    std::string id;
    uint64_t fingerprint = 0;
    PlacementRequest placement_request;
    // Servers that rejected it.
    std::set<ServerId> rejected_by;
    int sent = 0;
    AccessControl::Decision access;
    // Time by which the caller needs the response.
    Instant deadline;
    // Whether it may have run on some server.
    bool may_have_run = false;
    // Whether any byte of it was sent to a server.
    bool passed_on = false;
    bool caller_left = false;
    // Whether this is a retry of the caller after a refusal.
    bool caller_retried = false;
    // Summary of the attempts, for the log.
    std::string attempt_summary;
  };
  // Retry budget of a service, and the part of it reserved for callers that
  // retry.
  struct Retries {
    RetryBudget budget;
    RetryReserve reserve;
  };
  // Result of one attempt at a server.
  struct Attempt {
    ServerAttemptEnd end = ServerAttemptEnd::kBroken;
    HttpResponse response;
    // As in PlacedAttemptResult.
    Duration connect_took;
    // As in ExchangeResult.
    std::optional<int> earlier_requests;
    int other_responses = 0;
    std::string error;
    // Nothing was sent, since the host stops too soon.
    bool too_late = false;
  };

  boost::asio::awaitable<HttpResponse> HandleCounted(Run& run,
                                                     HttpRequest request);
  // Waits for the first configuration if the host has just started.
  boost::asio::awaitable<void> AwaitConfiguration(const HttpRequest& request);
  // Sets `run.access`, and returns the response if the request may not be
  // served.
  std::optional<HttpResponse> CheckAccess(Run& run);
  // Whether the request may be sent now.
  bool MayStillRun(const Run& run) const;
  std::string_view KeyOf(const Run& run) const {
    return run.request.fields.Get(parts_.names.api_key);
  }
  boost::asio::awaitable<HttpResponse> Serve(Run& run);
  // When a request of `route` ends at the latest; sets `budget` to the time
  // that the caller states, if it does.
  Instant DeadlineOf(const HttpRequest& request,
                     const Route& route,
                     std::optional<Duration>& budget) const;
  // What the host's stop has to leave time for. `expected` is the time to the
  // response if it is known for a server.
  PlannedStop::Work WorkOf(const Run& run, Duration expected = {}) const;
  // The response to a request that can't be answered before the host stops.
  HttpResponse RefuseStopping(Run& run);
  // Withdraws a decision to send the request.
  void Unplace(const Placement& placement);
  boost::asio::awaitable<Attempt> Send(Run& run, const Placement& placement);
  // Builds the placement request for a request of `route` that arrived at
  // `began`.
  PlacementRequest MakePlacementRequest(const Route& route,
                                        const ServiceId& service,
                                        std::string_view object,
                                        Instant began) const;
  // Sets what follows from the workspace of the request.
  static void ApplyAccess(const AccessControl::Decision& access,
                          PlacementRequest& request);
  // The key with which a request of the query would come; empty if unknown.
  std::string KeyFor(const ExplainQuery& query) const;
  // The head of the request as it is sent to `server`.
  HttpRequest ForServer(const Run& run, const ServerId& server) const;
  // Records and logs that a connection to `server` broke while it carried the
  // request.
  void RecordCrash(const Run& run,
                   const ServerId& server,
                   Incarnation incarnation);
  // Classifies the result of an exchange.
  ServerAttemptEnd Classify(const ExchangeResult& exchange) const;
  void Report(Run& run,
              const Placement& placement,
              Incarnation incarnation,
              const Attempt& attempt,
              Duration took);
  // What tells in the log whether a response can belong to an earlier request.
  static std::string ConnectionSummary(const Attempt& attempt);
  // Logs the limit that the server names if it is not `before`.
  void LogLimitChange(const ServerId& server,
                      std::optional<double> before) const;
  // What the server stated in its response, if it sent one.
  std::optional<ServerNotice> NoticeOf(const Run& run,
                                       const Attempt& attempt) const;
  // Excludes a server from further attempts, depending on how the attempt
  // ended.
  static void Avoid(Run& run, const ServerId& server, ServerAttemptEnd end);
  // Whether the request may be sent to another server after `end`.
  bool MayRetry(Run& run, ServerAttemptEnd end);
  // The response when no server's response can be given: `status`, which
  // promises that the request did not run, or that of Fail() if it may have
  // run.
  HttpResponse Refuse(const Run& run,
                      int status,
                      const std::string& why,
                      Duration retry_after);
  // The response to a request whose key was removed while it waited.
  HttpResponse RefuseRevoked(Run& run, const Placement& placement);
  HttpResponse Fail(const Run& run,
                    ServerAttemptEnd end,
                    const std::string& why);
  Retries& RetriesOf(const ServiceId& service);
  void LogOutcome(const Run& run, const HttpResponse& response);

  // Retry-After while this host has no configuration.
  static constexpr Duration kUnconfiguredRetryAfter{300};

  const Parts parts_;
  const Instant started_at_ = SteadyNow();
  const std::shared_ptr<std::set<const Run*>> running_ =
      std::make_shared<std::set<const Run*>>();
  uint64_t refused_stopping_ = 0;
  int host_count_ = 1;
  std::map<ServiceId, Retries> retries_;
  // By the route's name.
  std::map<std::string, CallerBudget> caller_budgets_;
  std::minstd_rand random_;
};

}  // namespace toucanknot

#endif  // SRC_ENTRY_REQUEST_RUNNER_H_
