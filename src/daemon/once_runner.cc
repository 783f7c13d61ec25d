#include "src/daemon/once_runner.h"

#include <algorithm>
#include <utility>

#include "include/once/owner_query.h"
#include "src/daemon/responses.h"
#include "src/http/headers.h"

namespace toucanknot {
namespace {

// Limit on the servers or hosts tried for one run-once request; the next one is
// tried only if the ones before cannot have run it.
constexpr int kMaxTargets = 4;

constexpr char kTicketHint[] =
    "; repeat it with the Idempotency-Key of this response";

}  // namespace

class OnceRunner::Record {
 public:
  Record(SharedTicketRecords& tickets, Ticket ticket)
      : tickets_(tickets), run_(ticket.sequence), ticket_(std::move(ticket)) {}
  Record(SharedTicketRecords& tickets, ForwardedRunId forwarded_run)
      : tickets_(tickets),
        run_(ForwardedRunTable::Key(forwarded_run.attempt)),
        forwarded_run_(forwarded_run) {}
  // Ends a run that was left open, for example by an exception.
  ~Record() {
    if (ended_)
      return;
    if (handed_over())
      RecordBroken();
    else
      Void();
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  std::optional<RunAttempt> HandOver() {
    WithRecords([this](RunRecords& runs) { attempt_ = runs.HandOver(run_); });
    return attempt_;
  }
  // Withdraws an attempt that certainly did not and will not run. Returns
  // whether the request may be sent to another target.
  bool Withdraw() {
    bool may_choose_again = false;
    WithRecords([&](RunRecords& runs) {
      may_choose_again =
          attempt_ ? runs.TakeBack(*attempt_) : runs.MayChooseAgain(run_);
    });
    attempt_.reset();
    return may_choose_again;
  }
  RunEnd RecordResponse(CachedResponsePtr response) {
    return EndRun([&](RunRecords& runs, Instant now) {
      return runs.RecordResponse(*attempt_, std::move(response), now);
    });
  }
  // Records a response by which the backend server guarantees that it did not
  // run the request.
  RunEnd RecordRefusal(CachedResponsePtr response) {
    return EndRun([&](RunRecords& runs, Instant now) {
      return runs.RecordNotRun(*attempt_, std::move(response), now);
    });
  }
  RunEnd RecordBroken() {
    return EndRun([&](RunRecords& runs, Instant now) {
      return runs.RecordBroken(*attempt_, now);
    });
  }
  RunEnd Void() {
    ended_ = true;
    return forwarded_run_ ? tickets_.VoidForwarded(*forwarded_run_)
                          : tickets_.VoidTicket(*ticket_);
  }
  bool handed_over() const { return attempt_.has_value(); }

 private:
  void WithRecords(const std::function<void(RunRecords&)>& fn) {
    if (forwarded_run_)
      tickets_.WithForwarded(forwarded_run_->owner, fn);
    else
      tickets_.WithRecords(fn);
  }
  RunEnd EndRun(const SharedTicketRecords::EndFn& fn) {
    ended_ = true;
    return forwarded_run_ ? tickets_.EndForwarded(forwarded_run_->owner, fn)
                          : tickets_.EndRun(fn);
  }

  SharedTicketRecords& tickets_;
  const uint64_t run_;
  const std::optional<Ticket> ticket_;
  const std::optional<ForwardedRunId> forwarded_run_;
  std::optional<RunAttempt> attempt_;
  bool ended_ = false;
};

OnceRunner::OnceRunner(WorkerPool& workers,
                       Sender& sender,
                       SharedTicketRecords& tickets,
                       CrashAdmission& crash_admission,
                       std::atomic<uint64_t>& next_item,
                       const PlannedStop& stop)
    : workers_(workers),
      sender_(sender),
      tickets_(tickets),
      crash_admission_(crash_admission),
      next_item_(next_item),
      stop_(stop) {}

SharedTicketRecords::WaiterPtr OnceRunner::NewWaiter() const {
  return std::make_shared<SharedTicketRecords::Waiter>(
      workers_.loop(WorkerPool::CurrentWorker()));
}

boost::asio::awaitable<HttpResponse> OnceRunner::Serve(
    ServiceRequestPtr service_request) {
  const std::string ticket(service_request->original.fields.Get(kTicketHeader));
  if (ticket.empty()) {
    HttpResponse response = HostResponse(
        428, Verdict::kNotRun, "ticket-required",
        std::string("this request runs at most once and needs a ticket") +
            kTicketHint);
    AddTicket(*service_request, response);
    co_return response;
  }
  const auto waiter = NewWaiter();
  const TicketReply reply =
      tickets_.BeginRun(ticket, service_request->fingerprint, waiter);
  if (reply.step == TicketStep::kStart) {
    co_return co_await Run(service_request,
                           std::make_shared<Record>(tickets_, *reply.ticket));
  }
  if (reply.step == TicketStep::kJoin)
    co_return co_await AwaitRun(waiter, service_request);
  if (reply.step == TicketStep::kNotMine)
    co_return co_await QueryOwner(service_request, *reply.ticket);
  co_return ResponseFor(reply, *service_request);
}

boost::asio::awaitable<HttpResponse> OnceRunner::ServeForwarded(
    ServiceRequestPtr service_request) {
  const ForwardedRunId forwarded_run{
      service_request->forwarding_token->sender,
      service_request->forwarding_token->attempt};
  const auto waiter = NewWaiter();
  const TicketReply reply = tickets_.BeginForwarded(
      forwarded_run, service_request->fingerprint, waiter);
  if (reply.step == TicketStep::kStart)
    co_return co_await Run(service_request,
                           std::make_shared<Record>(tickets_, forwarded_run));
  if (reply.step == TicketStep::kJoin)
    co_return co_await AwaitRun(waiter, service_request);
  co_return ResponseFor(reply, *service_request);
}

boost::asio::awaitable<HttpResponse> OnceRunner::ServeOwnerQuery(
    ServiceRequestPtr service_request) {
  const std::string ticket(service_request->original.fields.Get(kTicketHeader));
  const auto waiter = NewWaiter();
  const TicketReply reply =
      tickets_.QueryTicket(ticket, service_request->fingerprint, waiter);
  HttpResponse response;
  if (reply.step == TicketStep::kJoin)
    response = co_await AwaitRun(waiter, service_request);
  else
    response = ResponseFor(reply, *service_request);
  response.fields.Set(kTicketHeader, ticket);
  co_return response;
}

boost::asio::awaitable<HttpResponse> OnceRunner::Run(
    ServiceRequestPtr service_request,
    std::shared_ptr<Record> record) {
  const auto hand_over = [record] { return record->HandOver(); };
  DispatchRequest item = service_request->ToDispatchRequest(0);
  Refusal refusal = Refusal::kNoServer;
  for (int i = 0; i < kMaxTargets; ++i) {
    if (!stop_.MaySend({service_request->deadline, {}, false})) {
      refusal = Refusal::kHostLeaving;
      break;
    }
    item.id = next_item_.fetch_add(1);
    const DispatchDecision decision =
        co_await crash_admission_.Decide(service_request, item);
    if (decision.step == Step::kRefuse) {
      refusal = decision.refusal;
      break;
    }
    AttemptResponse result =
        co_await sender_.Send(*service_request, decision, hand_over);
    if (result.verdict == Verdict::kRan) {
      HttpResponse response =
          ToCallerResponse(std::move(result.response), Verdict::kRan);
      record->RecordResponse(ToCachedResponse(response));
      co_return response;
    }
    if (result.verdict == Verdict::kUnknown && record->handed_over())
      co_return ResponseForEnd(record->RecordBroken());
    if (decision.step == Step::kSend && result.has_response) {
      // The request was sent to a backend server, which refused to run it; it
      // must not be sent to another one under this ticket.
      HttpResponse response =
          ToCallerResponse(std::move(result.response), Verdict::kNotRun);
      record->RecordRefusal(ToCachedResponse(response));
      AddTicket(*service_request, response);
      co_return response;
    }
    if (!record->Withdraw())
      break;
    ExcludeTarget(decision, item);
  }
  // "Not run" may be reported only once the run is voided, so that nothing can
  // be sent any more.
  const RunEnd end = record->Void();
  if (!end.accepted)
    co_return ResponseForEnd(end);
  HttpResponse response = RefusalResponse(refusal);
  AddTicket(*service_request, response);
  co_return response;
}

boost::asio::awaitable<HttpResponse> OnceRunner::AwaitRun(
    SharedTicketRecords::WaiterPtr waiter,
    ServiceRequestPtr service_request) {
  if (const auto end = co_await waiter->Wait(
          std::min(service_request->deadline, stop_.answer_by()))) {
    co_return ResponseForEnd(*end);
  }
  co_return HostResponse(
      504, Verdict::kUnknown, "running",
      "the request is still running; repeat it with the same "
      "Idempotency-Key to get its result");
}

boost::asio::awaitable<HttpResponse> OnceRunner::QueryOwner(
    ServiceRequestPtr service_request,
    Ticket ticket) {
  OwnerQuery::Options options;
  if (tickets_.HasTakenOver(ticket.owner))
    options.successors = {tickets_.self()};
  const Instant until = std::min(service_request->deadline, stop_.answer_by());
  OwnerQuery query(ticket, std::move(options), until);
  OwnerQueryAction action = query.Start(SteadyNow());
  while (action.step != OwnerQueryStep::kReply) {
    if (action.step == OwnerQueryStep::kQueryWitness &&
        action.target == tickets_.self()) {
      action =
          query.OnWitnessReply(tickets_.QueryTakenOver(ticket), SteadyNow());
      continue;
    }
    if (action.step == OwnerQueryStep::kQueryOwner &&
        action.target.host != tickets_.self().host) {
      // The owner delays its reply until a run in progress has ended.
      AttemptResponse result = co_await sender_.QueryOwner(
          *service_request, action.target.host, until);
      if (result.has_response) {
        HttpResponse response =
            ToCallerResponse(std::move(result.response), result.verdict);
        if (result.verdict == Verdict::kNotRun)
          AddTicket(*service_request, response);
        co_return response;
      }
    }
    action = query.OnSilence(SteadyNow());
  }
  co_return ResponseFor(action.reply, *service_request);
}

HttpResponse OnceRunner::ResponseFor(const TicketReply& reply,
                                     const ServiceRequest& service_request) {
  const std::string reason(reply.reason == TicketReason::kNone
                               ? kTicketStepNames.Name(reply.step)
                               : kTicketReasonNames.Name(reply.reason));
  switch (reply.step) {
    case TicketStep::kDeliverResponse: {
      HttpResponse response = FromCachedResponse(*reply.response);
      response.fields.Set(kVerdictHeader,
                          std::string(VerdictName(Verdict::kRan)));
      return response;
    }
    case TicketStep::kResponseGone:
      return HostResponse(410, Verdict::kRan, reason,
                          "the request ran; its response is no longer cached");
    case TicketStep::kMismatch:
      return HostResponse(422, Verdict::kNotRun, reason,
                          "this Idempotency-Key belongs to a different "
                          "request, which is not affected");
    case TicketStep::kNotRun: {
      HttpResponse response =
          HostResponse(409, Verdict::kNotRun, reason,
                       "the request did not run and never will under this "
                       "ticket");
      AddTicket(service_request, response);
      return response;
    }
    case TicketStep::kMalformed:
    case TicketStep::kForged: {
      // This request ran nothing. Whether an earlier one ran under the original
      // ticket, if this is a damaged copy of one, is unknown.
      return HostResponse(400, reply.verdict, reason,
                          "the Idempotency-Key is not a ticket of this fleet; "
                          "to repeat a request, use its original ticket; "
                          "otherwise send it without a ticket to get one");
    }
    default:
      return HostResponse(502, Verdict::kUnknown, reason,
                          "the request may have run; check its effect before "
                          "sending it under a new ticket");
  }
}

HttpResponse OnceRunner::ResponseForEnd(const RunEnd& end) {
  if (end.verdict == Verdict::kRan) {
    if (end.response)
      return FromCachedResponse(*end.response);
    return HostResponse(410, Verdict::kRan, "answer-gone",
                        "the request ran; its response is no longer cached");
  }
  if (end.verdict == Verdict::kNotRun) {
    return HostResponse(503, Verdict::kNotRun, "voided",
                        "the request did not run and never will under this "
                        "ticket");
  }
  return HostResponse(502, Verdict::kUnknown, "broken",
                      "the request may have run; check its effect before "
                      "sending it under a new ticket");
}

void OnceRunner::AddTicket(const ServiceRequest& service_request,
                           HttpResponse& response) {
  // Only the host that the caller is connected to issues a ticket to it.
  if (service_request.forwarding_token)
    return;
  response.fields.Set(
      kTicketHeader,
      tickets_.IssueTicket(service_request.entry->tunables.ticket_lifetime));
}

}  // namespace toucanknot
