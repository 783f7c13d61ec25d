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
#include "src/daemon/call.h"
#include "src/forward/connection_pool.h"
#include "src/http/worker_pool.h"

namespace toucanknot {

// What one attempt of a request came to.
struct SendResult {
  AttemptEnd end = AttemptEnd::kNotSent;
  // Whether the request may have run by this attempt.
  Verdict verdict = Verdict::kNotRun;
  // Whole when `has_answer`.
  bool has_answer = false;
  HttpResponse response;
  Duration took;
  // What went wrong, for people.
  std::string error;
};

// Carries out the dispatcher's decisions: sends a request to a backend server
// or passes it to another entry host, judges what came of it, and tells the
// dispatcher. One for all workers; each has connections of its own.
class Sender {
 public:
  // Told of every attempt at a backend server, for its health.
  using Observer = std::function<void(const Call&, const AttemptResult&)>;

  Sender(WorkerPool& workers,
         HostIncarnation self,
         std::shared_ptr<const FleetKeys> keys);
  ~Sender();

  void set_observer(Observer observer);
  // Told before each attempt at a backend server.
  using SendObserver = std::function<void(const Call&, const ServerId&)>;
  void set_send_observer(SendObserver observer);

  // For run-once requests: called before the first byte leaves. Gives the
  // attempt under which it may, or nothing when no byte may leave.
  using HandOver = std::function<std::optional<RunAttempt>()>;

  // Carries out `decision` (kSend or kForward). To be called on a worker.
  boost::asio::awaitable<SendResult> Send(const Call& call,
                                          DispatchDecision decision,
                                          HandOver hand_over);

  // Repeats `call` at the owner of its ticket, which does not run it.
  boost::asio::awaitable<SendResult> AskOwner(const Call& call,
                                              HostId owner,
                                              Instant until);

  // One plain exchange, for probes.
  boost::asio::awaitable<ExchangeResult> Exchange(Endpoint endpoint,
                                                  HttpRequest request,
                                                  ExchangeOptions options);

  // Connections open to `endpoint`, over all workers.
  int OpenTo(const Endpoint& endpoint) const;
  // Sets how many this host may have open to an endpoint; no entry, no limit.
  void SetConnectionLimits(std::unordered_map<std::string, int> limits);
  // Sum over the workers; to be read when they rest or for metrics.
  ConnectionPoolCounts Counts() const;

 private:
  class ConnectionLimits;

  ConnectionPool& Pool() const;
  ExchangeOptions OptionsFor(const Call& call) const;
  // An exchange for `call`. When a connection that had been idle breaks before
  // any byte of an answer, most likely the other side closed it unseen: a
  // request that may run twice is then sent once more over a new one.
  boost::asio::awaitable<ExchangeResult> ExchangeFor(const Call& call,
                                                     Endpoint endpoint,
                                                     HttpRequest request,
                                                     ExchangeOptions options);
  boost::asio::awaitable<SendResult> SendToServer(
      const Call& call,
      const DispatchDecision& decision,
      HandOver hand_over);
  boost::asio::awaitable<SendResult> ForwardToHost(
      const Call& call,
      const DispatchDecision& decision,
      HandOver hand_over);
  void Report(const Call& call,
              const DispatchDecision& decision,
              const SendResult& result) const;

  const HostIncarnation self_;
  const std::shared_ptr<const FleetKeys> keys_;
  Observer observer_;
  SendObserver send_observer_;
  std::shared_ptr<ConnectionLimits> limits_;
  std::vector<std::unique_ptr<ConnectionPool>> pools_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_SENDER_H_
