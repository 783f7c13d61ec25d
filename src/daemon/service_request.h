#ifndef SRC_DAEMON_SERVICE_REQUEST_H_
#define SRC_DAEMON_SERVICE_REQUEST_H_

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

// A caller's request to a service, parsed and resolved against the routing
// tables.
struct ServiceRequest {
  // The routing tables used until the request ends, even if the configuration
  // changes meanwhile.
  RoutingTablesPtr tables;
  ServiceEntryPtr entry;
  // The request as received, the base of what is forwarded.
  HttpRequest original;
  // The path and query for the backend server.
  std::string server_target;
  Instant deadline;
  bool idempotent = true;
  uint64_t fingerprint = 0;
  // Set when another entry host forwarded the request.
  std::optional<ForwardingToken> forwarding_token;

  // The dispatcher's view of the request, with the item id `id`.
  DispatchRequest ToDispatchRequest(uint64_t id) const;
  // The HTTP request to send to a backend server.
  HttpRequest MakeServerRequest(const Endpoint& server) const;
  // The HTTP request to send to another entry host, without the forwarding
  // token.
  HttpRequest MakeHostRequest(const Endpoint& host) const;
};

using ServiceRequestPtr = std::shared_ptr<const ServiceRequest>;

// The request is invalid; it was not run.
class BadRequestError : public Error {
 public:
  BadRequestError(int status, const std::string& why)
      : Error(why), status_(status) {}
  // The HTTP status of the response.
  int status() const { return status_; }

 private:
  int status_;
};

// Parses a request for "/v1/services/SERVICE/PATH". The deadline is the
// caller's, at most the service's maximum, or else the service's default; it
// counts from `now`. Throws BadRequestError.
ServiceRequestPtr ParseServiceRequest(
    HttpRequest request,
    RoutingTablesPtr tables,
    std::optional<ForwardingToken> forwarding_token,
    Instant now);

// Excludes the server or host of a failed attempt from the next decisions on
// `item`.
void ExcludeTarget(const DispatchDecision& decision, DispatchRequest& item);

inline constexpr std::string_view kServicesPrefix = "/v1/services/";

}  // namespace toucanknot

#endif  // SRC_DAEMON_SERVICE_REQUEST_H_
