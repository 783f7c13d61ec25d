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
  };

  explicit CallerHandler(Dependencies dependencies);

  boost::asio::awaitable<HttpResponse> Handle(HttpRequest request);

 private:
  HttpResponse Lookup(const HttpRequest& request);
  boost::asio::awaitable<HttpResponse> Serve(HttpRequest request);
  boost::asio::awaitable<HttpResponse> Dispatch(
      ServiceRequestPtr service_request);

  const Dependencies dependencies_;
  std::atomic<uint64_t> next_rotation_{0};
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_CALLER_HANDLER_H_
