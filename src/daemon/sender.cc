#include "src/daemon/sender.h"

#include <boost/asio/post.hpp>
#include <mutex>
#include <utility>

#include "include/health/quarantine.h"
#include "src/http/headers.h"
#include "src/http/one_shot.h"

namespace toucanknot {
namespace {

// Idle connections to peers that state no limit are closed after this time.
constexpr Duration kMaxIdle{60'000};

// Classifies an attempt by the status of the backend server's response.
AttemptEnd AttemptEndForStatus(const ServiceEntry& entry, int status) {
  if (status == 503 || status == 429)
    return AttemptEnd::kShed;
  if (status >= 500 || entry.GuaranteesNotRun(status))
    return AttemptEnd::kFailed;
  return AttemptEnd::kAnswered;
}

AttemptResponse ToAttemptResponse(ExchangeResult exchange) {
  AttemptResponse result;
  result.end = exchange.end;
  result.took = exchange.took;
  result.error = std::move(exchange.error);
  result.has_response = exchange.end == AttemptEnd::kAnswered;
  result.response = std::move(exchange.response);
  const bool not_sent = exchange.end == AttemptEnd::kNotSent;
  result.verdict = not_sent ? Verdict::kNotRun : Verdict::kUnknown;
  return result;
}

// Applies the verdict in the response of another entry host.
void ApplyForwardedVerdict(AttemptResponse& result) {
  if (!result.has_response)
    return;
  const auto verdict =
      kVerdictNames.Parse(result.response.fields.Get(kVerdictHeader));
  result.verdict = verdict.value_or(Verdict::kUnknown);
  if (result.verdict == Verdict::kNotRun)
    result.end = AttemptEnd::kShed;
  if (result.verdict == Verdict::kUnknown)
    result.end = AttemptEnd::kBroken;
}

// Whether a response of a backend server of `entry` refuses a request or health
// probe.
std::function<bool(const HttpResponse&)> IsRefusal(ServiceEntryPtr entry) {
  return [entry = std::move(entry)](const HttpResponse& response) {
    return entry->GuaranteesNotRun(response.status);
  };
}

}  // namespace

// Counts and limits the connections to each endpoint over all workers.
// Thread-safe; no other lock is taken while its lock is held.
class Sender::ConnectionLimits {
 public:
  bool Change(const Endpoint& endpoint, int change) {
    const std::lock_guard lock(mutex_);
    const std::string key = endpoint.ToString();
    int& open = open_[key];
    const auto limit = connection_limits_.find(key);
    if (change > 0 && limit != connection_limits_.end() &&
        open >= limit->second) {
      if (open == 0)
        open_.erase(key);
      return false;
    }
    open += change;
    if (open == 0)
      open_.erase(key);
    return true;
  }
  int Open(const Endpoint& endpoint) const {
    const std::lock_guard lock(mutex_);
    const auto it = open_.find(endpoint.ToString());
    return it == open_.end() ? 0 : it->second;
  }
  void Set(std::unordered_map<std::string, int> limits) {
    const std::lock_guard lock(mutex_);
    connection_limits_ = std::move(limits);
  }

 private:
  mutable std::mutex mutex_;
  std::unordered_map<std::string, int> open_;
  std::unordered_map<std::string, int> connection_limits_;
};

Sender::Sender(WorkerPool& workers,
               HostIncarnation self,
               std::shared_ptr<const FleetKeys> keys)
    : workers_(workers),
      self_(std::move(self)),
      keys_(std::move(keys)),
      connection_limits_(std::make_shared<ConnectionLimits>()) {
  for (int i = 0; i < workers.size(); ++i) {
    pools_.push_back(std::make_unique<ConnectionPool>(workers.loop(i)));
    pools_.back()->set_connection_limit(
        [limits = connection_limits_](const Endpoint& endpoint, int change) {
          return limits->Change(endpoint, change);
        });
  }
}

Sender::~Sender() = default;

void Sender::set_observer(Observer observer) {
  observer_ = std::move(observer);
}

void Sender::set_send_observer(SendObserver observer) {
  send_observer_ = std::move(observer);
}

ConnectionPool& Sender::CurrentPool() const {
  return *pools_[WorkerPool::CurrentWorker()];
}

ExchangeOptions Sender::OptionsFor(
    const ServiceRequest& service_request) const {
  ExchangeOptions options;
  options.deadline = service_request.deadline;
  options.silent_after = service_request.entry->tunables.silent_after;
  options.max_answer_bytes =
      static_cast<uint64_t>(service_request.entry->tunables.max_answer_bytes);
  if (!service_request.idempotent)
    options.fresh_for = service_request.entry->tunables.fresh_for;
  return options;
}

boost::asio::awaitable<AttemptResponse> Sender::Send(
    const ServiceRequest& service_request,
    DispatchDecision decision,
    HandOver hand_over) {
  AttemptResponse result;
  if (decision.step == Step::kSend && send_observer_)
    send_observer_(service_request, decision.server);
  if (decision.step == Step::kSend)
    result =
        co_await SendToServer(service_request, decision, std::move(hand_over));
  else
    result =
        co_await ForwardToHost(service_request, decision, std::move(hand_over));
  Report(service_request, decision, result);
  // The crash notice must reach the peers before the caller can repeat the
  // request there.
  if (decision.step == Step::kSend && result.end == AttemptEnd::kBroken)
    co_await SleepFor(Quarantine::kNoticeAckTimeout);
  co_return result;
}

boost::asio::awaitable<ExchangeResult> Sender::ExchangeFor(
    const ServiceRequest& service_request,
    Endpoint endpoint,
    HttpRequest request,
    ExchangeOptions options) {
  if (!service_request.idempotent)
    co_return co_await CurrentPool().Exchange(endpoint, std::move(request),
                                              std::move(options));
  ExchangeResult result =
      co_await CurrentPool().Exchange(endpoint, request, options);
  const bool closed_while_idle = result.end == AttemptEnd::kBroken &&
                                 result.reused() && !result.response_started;
  if (!closed_while_idle)
    co_return result;
  options.new_connection = true;
  result = co_await CurrentPool().Exchange(endpoint, std::move(request),
                                           std::move(options));
  // The first transmission may have run.
  if (result.end == AttemptEnd::kNotSent)
    result.end = AttemptEnd::kBroken;
  co_return result;
}

boost::asio::awaitable<AttemptResponse> Sender::SendToServer(
    const ServiceRequest& service_request,
    const DispatchDecision& decision,
    HandOver hand_over) {
  const auto server = service_request.entry->servers.find(decision.server);
  if (server == service_request.entry->servers.end()) {
    AttemptResponse result;
    result.error = "the backend server is not in the configuration";
    co_return result;
  }
  ExchangeOptions options = OptionsFor(service_request);
  options.is_refusal = IsRefusal(service_request.entry);
  if (hand_over) {
    options.before_first_byte = [&hand_over] {
      return hand_over().has_value();
    };
  }
  AttemptResponse result = ToAttemptResponse(co_await ExchangeFor(
      service_request, server->second,
      service_request.MakeServerRequest(server->second), std::move(options)));
  if (!result.has_response)
    co_return result;
  const int status = result.response.status;
  result.end = AttemptEndForStatus(*service_request.entry, status);
  result.verdict = service_request.entry->GuaranteesNotRun(status)
                       ? Verdict::kNotRun
                       : Verdict::kRan;
  co_return result;
}

boost::asio::awaitable<AttemptResponse> Sender::ForwardToHost(
    const ServiceRequest& service_request,
    const DispatchDecision& decision,
    HandOver hand_over) {
  const auto host = service_request.tables->hosts.find(decision.host);
  if (host == service_request.tables->hosts.end()) {
    AttemptResponse result;
    result.error = "the entry host is not in the configuration";
    co_return result;
  }
  ForwardingToken token;
  token.sender = self_;
  token.hop = decision.hop;
  ExchangeOptions options = OptionsFor(service_request);
  if (hand_over) {
    // The signed token contains the attempt, so the attempt is opened before
    // the connection; if no connection can be opened, the runner withdraws it.
    const auto attempt = hand_over();
    if (!attempt) {
      AttemptResponse result;
      result.end = AttemptEnd::kCancelled;
      co_return result;
    }
    token.kind = ForwardingKind::kRunOnce;
    token.attempt = *attempt;
  }
  HttpRequest request = service_request.MakeHostRequest(host->second.address);
  SignForwardingToken(token, decision.host, *keys_, request);
  AttemptResponse result = ToAttemptResponse(
      co_await ExchangeFor(service_request, host->second.address,
                           std::move(request), std::move(options)));
  ApplyForwardedVerdict(result);
  co_return result;
}

boost::asio::awaitable<AttemptResponse> Sender::QueryOwner(
    const ServiceRequest& service_request,
    HostId owner,
    Instant until) {
  AttemptResponse result;
  const auto host = service_request.tables->hosts.find(owner);
  if (host == service_request.tables->hosts.end()) {
    result.verdict = Verdict::kUnknown;
    co_return result;
  }
  ForwardingToken token;
  token.kind = ForwardingKind::kAskOwner;
  token.sender = self_;
  HttpRequest request = service_request.MakeHostRequest(host->second.address);
  SignForwardingToken(token, owner, *keys_, request);
  ExchangeOptions options = OptionsFor(service_request);
  options.deadline = until;
  result = ToAttemptResponse(co_await CurrentPool().Exchange(
      host->second.address, std::move(request), std::move(options)));
  ApplyForwardedVerdict(result);
  // A query that failed or was rejected gives no information about the request
  // itself. Only a reply from the records of the owner names the ticket.
  result.has_response = result.has_response &&
                        result.response.fields.Get(kTicketHeader) ==
                            service_request.original.fields.Get(kTicketHeader);
  if (!result.has_response)
    result.verdict = Verdict::kUnknown;
  result.response.fields.Remove(kTicketHeader);
  co_return result;
}

void Sender::Report(const ServiceRequest& service_request,
                    const DispatchDecision& decision,
                    const AttemptResponse& result) const {
  AttemptResult attempt;
  attempt.request_id = decision.request_id;
  attempt.server = decision.server;
  attempt.host = decision.host;
  attempt.end = result.end;
  attempt.took = result.took;
  attempt.response_bytes = static_cast<int64_t>(result.response.body.size());
  attempt.fingerprint = service_request.fingerprint;
  if (observer_)
    observer_(service_request, attempt);
  service_request.entry->dispatcher->Finish(attempt);
}

boost::asio::awaitable<ExchangeResult> Sender::Probe(ServiceEntryPtr entry,
                                                     Endpoint endpoint,
                                                     HttpRequest request,
                                                     ExchangeOptions options) {
  options.is_refusal = IsRefusal(std::move(entry));
  return CurrentPool().Exchange(std::move(endpoint), std::move(request),
                                std::move(options));
}

int Sender::OpenConnections(const Endpoint& endpoint) const {
  return connection_limits_->Open(endpoint);
}

void Sender::SetConnectionLimits(std::unordered_map<std::string, int> limits) {
  connection_limits_->Set(std::move(limits));
}

ConnectionPoolCounts Sender::Counts() const {
  ConnectionPoolCounts sum;
  for (const auto& it : pools_) {
    const ConnectionPoolCounts counts = it->counts();
    sum.opened += counts.opened;
    sum.reused += counts.reused;
    sum.discarded += counts.discarded;
    sum.connect_failed += counts.connect_failed;
    sum.surplus_bytes += counts.surplus_bytes;
    sum.endless += counts.endless;
    sum.mixed_heads += counts.mixed_heads;
    sum.other_responses += counts.other_responses;
    sum.evicted += counts.evicted;
    sum.buffered_bytes += counts.buffered_bytes;
    sum.idle += counts.idle;
  }
  return sum;
}

void Sender::CloseIdle() {
  for (size_t i = 0; i < pools_.size(); ++i) {
    boost::asio::post(workers_.loop(static_cast<int>(i)),
                      [&pool = *pools_[i]] { pool.CloseIdle(kMaxIdle); });
  }
}

}  // namespace toucanknot
