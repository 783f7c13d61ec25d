#ifndef SRC_DAEMON_CALL_H_
#define SRC_DAEMON_CALL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "include/base/clock.h"
#include "include/base/error.h"
#include "include/steering/dispatcher.h"
#include "src/daemon/forwarding_token.h"
#include "src/daemon/routing_tables.h"
#include "src/http/http_message.h"

namespace toucanknot {

// A caller's request to a service, understood.
struct Call {
  // The configuration that it is served under, to its end.
  RoutingTablesPtr tables;
  ServiceEntryPtr entry;
  // As it came, for passing it on.
  HttpRequest original;
  // The path and query at the backend server.
  std::string server_target;
  Instant deadline;
  bool idempotent = true;
  uint64_t fingerprint = 0;
  // Set when another entry host passed it here.
  std::optional<ForwardingToken> pass;

  // For the dispatcher, under a new id.
  DispatchRequest ToDispatchRequest(uint64_t id) const;
  // What is sent to a backend server.
  HttpRequest ForServer(const Endpoint& server) const;
  // What is sent to another entry host, but for the mark.
  HttpRequest ForHost(const Endpoint& host) const;
};

using ServiceRequestPtr = std::shared_ptr<const Call>;

// The request cannot be understood; nothing was run.
class BadRequestError : public Error {
 public:
  BadRequestError(int status, const std::string& why)
      : Error(why), status_(status) {}
  // The HTTP status that says so.
  int status() const { return status_; }

 private:
  int status_;
};

// Reads a request for "/v1/services/SERVICE/PATH". The deadline is the
// caller's, or the service's default, counted from `now`. Throws
// BadRequestError.
ServiceRequestPtr ParseServiceRequest(HttpRequest request,
                                      RoutingTablesPtr tables,
                                      std::optional<ForwardingToken> pass,
                                      Instant now);

// After an attempt that came to nothing: what `item` must not go to again.
void Avoid(const DispatchDecision& decision, DispatchRequest& item);

inline constexpr std::string_view kServicesPrefix = "/v1/services/";

}  // namespace toucanknot

#endif  // SRC_DAEMON_CALL_H_
