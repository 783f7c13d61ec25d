#include "src/daemon/sender.h"

#include <mutex>
#include <utility>

#include "include/health/quarantine.h"
#include "src/http/headers.h"
#include "src/http/one_shot.h"

namespace toucanknot {
namespace {

// What a whole answer of a backend server says about the attempt.
AttemptEnd JudgeStatus(const ServiceEntry& entry, int status) {
  if (status == 503 || status == 429)
    return AttemptEnd::kShed;
  if (status >= 500 || entry.PromisesNotRun(status))
    return AttemptEnd::kFailed;
  return AttemptEnd::kAnswered;
}

SendResult FromExchange(ExchangeResult exchange) {
  SendResult result;
  result.end = exchange.end;
  result.took = exchange.took;
  result.error = std::move(exchange.error);
  result.has_answer = exchange.end == AttemptEnd::kAnswered;
  result.response = std::move(exchange.response);
  const bool unsent = exchange.end == AttemptEnd::kNotSent;
  result.verdict = unsent ? Verdict::kNotRun : Verdict::kUnknown;
  return result;
}

// Reads the verdict of another entry host.
void JudgePassed(SendResult& result) {
  if (!result.has_answer)
    return;
  const auto verdict =
      kVerdictNames.Parse(result.response.fields.Get(kVerdictHeader));
  result.verdict = verdict.value_or(Verdict::kUnknown);
  if (result.verdict == Verdict::kNotRun)
    result.end = AttemptEnd::kShed;
  if (result.verdict == Verdict::kUnknown)
    result.end = AttemptEnd::kBroken;
}

}  // namespace

// Counts the connections to each endpoint over all workers. The lock is a
// leaf.
class Sender::ConnectionLimits {
 public:
  bool Change(const Endpoint& endpoint, int change) {
    const std::lock_guard lock(mutex_);
    int& open = open_[endpoint.ToString()];
    const auto limit = limits_.find(endpoint.ToString());
    if (change > 0 && limit != limits_.end() && open >= limit->second)
      return false;
    open += change;
    return true;
  }
  int Open(const Endpoint& endpoint) const {
    const std::lock_guard lock(mutex_);
    const auto it = open_.find(endpoint.ToString());
    return it == open_.end() ? 0 : it->second;
  }
  void Set(std::unordered_map<std::string, int> limits) {
    const std::lock_guard lock(mutex_);
    limits_ = std::move(limits);
  }

 private:
  mutable std::mutex mutex_;
  std::unordered_map<std::string, int> open_;
  std::unordered_map<std::string, int> limits_;
};

Sender::Sender(WorkerPool& workers,
               HostIncarnation self,
               std::shared_ptr<const FleetKeys> keys)
    : self_(std::move(self)),
      keys_(std::move(keys)),
      limits_(std::make_shared<ConnectionLimits>()) {
  for (int i = 0; i < workers.size(); ++i) {
    pools_.push_back(std::make_unique<ConnectionPool>(workers.loop(i)));
    pools_.back()->set_connection_limit(
        [limits = limits_](const Endpoint& endpoint, int change) {
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

ConnectionPool& Sender::Pool() const {
  return *pools_[WorkerPool::Current()];
}

ExchangeOptions Sender::OptionsFor(const Call& call) const {
  ExchangeOptions options;
  options.deadline = call.deadline;
  options.silent_after = call.entry->tunables.silent_after;
  options.max_answer_bytes =
      static_cast<uint64_t>(call.entry->tunables.max_answer_bytes);
  if (!call.idempotent)
    options.fresh_for = call.entry->tunables.fresh_for;
  return options;
}

boost::asio::awaitable<SendResult> Sender::Send(const Call& call,
                                                DispatchDecision decision,
                                                HandOver hand_over) {
  SendResult result;
  if (decision.step == Step::kSend && send_observer_)
    send_observer_(call, decision.server);
  if (decision.step == Step::kSend)
    result = co_await SendToServer(call, decision, std::move(hand_over));
  else
    result = co_await ForwardToHost(call, decision, std::move(hand_over));
  Report(call, decision, result);
  // The caller's repeat must not overtake what the peers are told.
  if (decision.step == Step::kSend && result.end == AttemptEnd::kBroken)
    co_await SleepFor(Quarantine::kNoticeLead);
  co_return result;
}

boost::asio::awaitable<ExchangeResult> Sender::ExchangeFor(
    const Call& call,
    Endpoint endpoint,
    HttpRequest request,
    ExchangeOptions options) {
  if (!call.idempotent)
    co_return co_await Pool().Exchange(endpoint, std::move(request),
                                       std::move(options));
  ExchangeResult result = co_await Pool().Exchange(endpoint, request, options);
  const bool closed_unseen = result.end == AttemptEnd::kBroken &&
                             result.reused && !result.answer_started;
  if (!closed_unseen)
    co_return result;
  options.new_connection = true;
  result = co_await Pool().Exchange(endpoint, std::move(request),
                                    std::move(options));
  // The first sending may have run.
  if (result.end == AttemptEnd::kNotSent)
    result.end = AttemptEnd::kBroken;
  co_return result;
}

boost::asio::awaitable<SendResult> Sender::SendToServer(
    const Call& call,
    const DispatchDecision& decision,
    HandOver hand_over) {
  const auto server = call.entry->servers.find(decision.server);
  if (server == call.entry->servers.end()) {
    SendResult result;
    result.error = "the backend server is not in the configuration";
    co_return result;
  }
  ExchangeOptions options = OptionsFor(call);
  if (hand_over) {
    options.before_first_byte = [&hand_over] {
      return hand_over().has_value();
    };
  }
  SendResult result = FromExchange(
      co_await ExchangeFor(call, server->second, call.ForServer(server->second),
                           std::move(options)));
  if (!result.has_answer)
    co_return result;
  const int status = result.response.status;
  result.end = JudgeStatus(*call.entry, status);
  result.verdict =
      call.entry->PromisesNotRun(status) ? Verdict::kNotRun : Verdict::kRan;
  co_return result;
}

boost::asio::awaitable<SendResult> Sender::ForwardToHost(
    const Call& call,
    const DispatchDecision& decision,
    HandOver hand_over) {
  const auto host = call.tables->hosts.find(decision.host);
  if (host == call.tables->hosts.end()) {
    SendResult result;
    result.error = "the entry host is not in the configuration";
    co_return result;
  }
  ForwardingToken mark;
  mark.sender = self_;
  mark.hop = decision.hop;
  ExchangeOptions options = OptionsFor(call);
  if (hand_over) {
    // The mark names the attempt, so it is opened before the connection is
    // sought; a connection that cannot be had takes it back.
    const auto attempt = hand_over();
    if (!attempt) {
      SendResult result;
      result.end = AttemptEnd::kCancelled;
      co_return result;
    }
    mark.kind = ForwardingKind::kRunOnce;
    mark.attempt = *attempt;
  }
  HttpRequest request = call.ForHost(host->second.address);
  SignForwardingToken(mark, decision.host, *keys_, request);
  SendResult result = FromExchange(co_await ExchangeFor(
      call, host->second.address, std::move(request), std::move(options)));
  JudgePassed(result);
  co_return result;
}

boost::asio::awaitable<SendResult> Sender::AskOwner(const Call& call,
                                                    HostId owner,
                                                    Instant until) {
  SendResult result;
  const auto host = call.tables->hosts.find(owner);
  if (host == call.tables->hosts.end()) {
    result.verdict = Verdict::kUnknown;
    co_return result;
  }
  ForwardingToken mark;
  mark.kind = ForwardingKind::kAskOwner;
  mark.sender = self_;
  HttpRequest request = call.ForHost(host->second.address);
  SignForwardingToken(mark, owner, *keys_, request);
  ExchangeOptions options = OptionsFor(call);
  options.deadline = until;
  result = FromExchange(co_await Pool().Exchange(
      host->second.address, std::move(request), std::move(options)));
  JudgePassed(result);
  // That the question was not sent says nothing about the request.
  if (!result.has_answer)
    result.verdict = Verdict::kUnknown;
  co_return result;
}

void Sender::Report(const Call& call,
                    const DispatchDecision& decision,
                    const SendResult& result) const {
  AttemptResult attempt;
  attempt.request_id = decision.request_id;
  attempt.server = decision.server;
  attempt.host = decision.host;
  attempt.end = result.end;
  attempt.took = result.took;
  attempt.response_bytes = static_cast<int64_t>(result.response.body.size());
  attempt.fingerprint = call.fingerprint;
  if (observer_)
    observer_(call, attempt);
  call.entry->desk->Finish(attempt);
}

boost::asio::awaitable<ExchangeResult> Sender::Exchange(
    Endpoint endpoint,
    HttpRequest request,
    ExchangeOptions options) {
  return Pool().Exchange(std::move(endpoint), std::move(request),
                         std::move(options));
}

int Sender::OpenTo(const Endpoint& endpoint) const {
  return limits_->Open(endpoint);
}

void Sender::SetConnectionLimits(std::unordered_map<std::string, int> limits) {
  limits_->Set(std::move(limits));
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
  }
  return sum;
}

}  // namespace toucanknot
