#ifndef SRC_DAEMON_CALLER_HANDLER_H_
#define SRC_DAEMON_CALLER_HANDLER_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

#include "include/peer/fleet_keys.h"
#include "src/daemon/host_metrics.h"
#include "src/daemon/host_tables.h"
#include "src/daemon/idempotent_runner.h"
#include "src/daemon/lookup_table.h"
#include "src/daemon/once_runner.h"
#include "src/http/planned_stop.h"

namespace toucanknot {

// Handles HTTP requests from callers and other entry hosts: look-ups and
// requests to services.
class CallerHandler {
 public:
  struct Dependencies {
    HostId self;
    std::shared_ptr<const FleetKeys> keys;
    const HostTables* tables = nullptr;
    const std::atomic<LookupTablePtr>* lookups = nullptr;
    IdempotentRunner* idempotent = nullptr;
    OnceRunner* once = nullptr;
    SharedTicketRecords* tickets = nullptr;
    HostMetrics* metrics = nullptr;
    const PlannedStop* stop = nullptr;
  };

  explicit CallerHandler(Dependencies dependencies);

  boost::asio::awaitable<HttpResponse> Handle(HttpRequest request);

  // While the host stops: when the body of a request must have been read for
  // the request to be served, and the response to one that is later.
  Instant BodyCompleteBy(const HttpRequest& head) const;
  HttpResponse RefuseBody(const HttpRequest& head);

 private:
  HttpResponse Lookup(const HttpRequest& request);
  boost::asio::awaitable<HttpResponse> Serve(HttpRequest request);
  boost::asio::awaitable<HttpResponse> Dispatch(
      ServiceRequestPtr service_request);

  // The request without its body, received at `now`; null if it is no request
  // to a service.
  ServiceRequestPtr ParseHead(const HttpRequest& head, Instant now) const;
  boost::asio::awaitable<HttpResponse> ServeIdempotent(
      ServiceRequestPtr service_request);
  void Count(const HttpResponse& response, Duration took);

  const Dependencies dependencies_;
  std::atomic<uint64_t> next_rotation_{0};
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_CALLER_HANDLER_H_
