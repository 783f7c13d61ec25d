#ifndef SRC_DAEMON_SENDER_H_
#define SRC_DAEMON_SENDER_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "include/base/verdict.h"
#include "include/peer/fleet_keys.h"
#include "src/daemon/service_request.h"
#include "src/forward/connection_pool.h"
#include "src/http/worker_pool.h"

namespace toucanknot {

// The result of one attempt of a request.
struct AttemptResponse {
  AttemptEnd end = AttemptEnd::kNotSent;
  // Whether the request ran, or may have run, in this attempt.
  Verdict verdict = Verdict::kNotRun;
  // Complete if `has_response`, otherwise not to be used.
  bool has_response = false;
  HttpResponse response;
  Duration took;
  // Human-readable error; empty if none.
  std::string error;
};

// Executes the dispatcher's decisions: sends a request to a backend server or
// forwards it to another entry host, classifies the result and reports it to
// the dispatcher. Shared by all workers, each with its own connection pool.
class Sender {
 public:
  // Called after every attempt with its result.
  using Observer =
      std::function<void(const ServiceRequest&, const AttemptResult&)>;

  Sender(WorkerPool& workers,
         HostIncarnation self,
         std::shared_ptr<const FleetKeys> keys);
  ~Sender();

  void set_observer(Observer observer);
  // Called before each attempt at a backend server.
  using SendObserver =
      std::function<void(const ServiceRequest&, const ServerId&)>;
  void set_send_observer(SendObserver observer);

  // For run-once requests: called before the first byte is sent. Returns the
  // attempt to send it under, or empty if nothing may be sent.
  using HandOver = std::function<std::optional<RunAttempt>()>;

  // Executes `decision`, a send to a server or a forwarding to a host. Must be
  // called on a worker.
  boost::asio::awaitable<AttemptResponse> Send(
      const ServiceRequest& service_request,
      DispatchDecision decision,
      HandOver hand_over);

  // Sends `service_request` as a query to the owner of its ticket, which does
  // not run it. The result has a response only if the owner replied from its
  // records.
  boost::asio::awaitable<AttemptResponse> QueryOwner(
      const ServiceRequest& service_request,
      HostId owner,
      Instant until);

  // Sends a health probe to a backend server of `entry`, without retries or
  // reporting.
  boost::asio::awaitable<ExchangeResult> Probe(ServiceEntryPtr entry,
                                               Endpoint endpoint,
                                               HttpRequest request,
                                               ExchangeOptions options);

  // The number of open connections to `endpoint`, over all workers.
  int OpenConnections(const Endpoint& endpoint) const;
  // Sets the limit of open connections for each endpoint; endpoints without an
  // entry are unlimited.
  void SetConnectionLimits(std::unordered_map<std::string, int> limits);
  // Closes connections that have been idle for long, on all workers, which must
  // be stopped before this object is destroyed. Call about once a second.
  void CloseIdle();
  // Sum over the workers; exact only while they are idle, otherwise for
  // metrics.
  ConnectionPoolCounts Counts() const;

 private:
  class ConnectionLimits;

  ConnectionPool& CurrentPool() const;
  ExchangeOptions OptionsFor(const ServiceRequest& service_request) const;
  // Sends `request`. If a reused connection breaks before any byte of a
  // response was received, the other side most likely closed it while it was
  // idle: an idempotent request is then sent once more over a new connection.
  boost::asio::awaitable<ExchangeResult> ExchangeFor(
      const ServiceRequest& service_request,
      Endpoint endpoint,
      HttpRequest request,
      ExchangeOptions options);
  boost::asio::awaitable<AttemptResponse> SendToServer(
      const ServiceRequest& service_request,
      const DispatchDecision& decision,
      HandOver hand_over);
  boost::asio::awaitable<AttemptResponse> ForwardToHost(
      const ServiceRequest& service_request,
      const DispatchDecision& decision,
      HandOver hand_over);
  void Report(const ServiceRequest& service_request,
              const DispatchDecision& decision,
              const AttemptResponse& result) const;

  WorkerPool& workers_;
  const HostIncarnation self_;
  const std::shared_ptr<const FleetKeys> keys_;
  Observer observer_;
  SendObserver send_observer_;
  std::shared_ptr<ConnectionLimits> connection_limits_;
  std::vector<std::unique_ptr<ConnectionPool>> pools_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_SENDER_H_
