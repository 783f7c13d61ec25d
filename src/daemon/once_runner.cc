#include "src/daemon/once_runner.h"

#include <algorithm>
#include <utility>

#include "include/once/owner_query.h"
#include "src/daemon/answers.h"
#include "src/http/headers.h"

namespace toucanknot {
namespace {

// Servers or hosts that a run-once request is offered to at most, as long as
// none of them can have run it.
constexpr int kMaxChoices = 4;

constexpr char kTicketAdvice[] =
    "; repeat it with the Idempotency-Key of this answer";

}  // namespace

class OnceRunner::Record {
 public:
  Record(SharedTicketRecords& tickets, Ticket ticket)
      : tickets_(tickets), run_(ticket.sequence), ticket_(std::move(ticket)) {}
  Record(SharedTicketRecords& tickets, ForwardedRunId pass)
      : tickets_(tickets),
        run_(ForwardedRunTable::Key(pass.attempt)),
        pass_(pass) {}
  // A run that nobody ended, as after an exception, must not stay open.
  ~Record() {
    if (ended_)
      return;
    if (handed_over())
      Break();
    else
      Void();
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  std::optional<RunAttempt> HandOver() {
    With([this](RunRecords& runs) { attempt_ = runs.HandOver(run_); });
    return attempt_;
  }
  // The attempt proved that it did not and will not run. Whether the request
  // may be sent elsewhere.
  bool TakeBack() {
    bool may = false;
    With([&](RunRecords& runs) {
      may = attempt_ ? runs.TakeBack(*attempt_) : runs.MayChooseAgain(run_);
    });
    attempt_.reset();
    return may;
  }
  RunEnd Answer(CachedResponsePtr answer) {
    return End([&](RunRecords& runs, Instant now) {
      return runs.Answer(*attempt_, std::move(answer), now);
    });
  }
  // The backend server promises that it did not run it.
  RunEnd Refuse(CachedResponsePtr answer) {
    return End([&](RunRecords& runs, Instant now) {
      return runs.Refuse(*attempt_, std::move(answer), now);
    });
  }
  RunEnd Break() {
    return End([&](RunRecords& runs, Instant now) {
      return runs.Break(*attempt_, now);
    });
  }
  RunEnd Void() {
    ended_ = true;
    return pass_ ? tickets_.VoidForwarded(*pass_)
                 : tickets_.VoidTicket(*ticket_);
  }
  bool handed_over() const { return attempt_.has_value(); }

 private:
  void With(const std::function<void(RunRecords&)>& act) {
    if (pass_)
      tickets_.WithForwarded(pass_->owner, act);
    else
      tickets_.With(act);
  }
  RunEnd End(const SharedTicketRecords::Act& act) {
    ended_ = true;
    return pass_ ? tickets_.EndForwarded(pass_->owner, act) : tickets_.End(act);
  }

  SharedTicketRecords& tickets_;
  const uint64_t run_;
  const std::optional<Ticket> ticket_;
  const std::optional<ForwardedRunId> pass_;
  std::optional<RunAttempt> attempt_;
  bool ended_ = false;
};

OnceRunner::OnceRunner(WorkerPool& workers,
                       Sender& sender,
                       SharedTicketRecords& tickets,
                       CrashAdmission& gate,
                       std::atomic<uint64_t>& next_item)
    : workers_(workers),
      sender_(sender),
      tickets_(tickets),
      gate_(gate),
      next_item_(next_item) {}

SharedTicketRecords::WaiterPtr OnceRunner::NewWaiter() const {
  return std::make_shared<SharedTicketRecords::Waiter>(
      workers_.loop(WorkerPool::Current()));
}

boost::asio::awaitable<HttpResponse> OnceRunner::Serve(ServiceRequestPtr call) {
  const std::string ticket(call->original.fields.Get(kTicketHeader));
  if (ticket.empty()) {
    HttpResponse answer = HostResponse(
        428, Verdict::kNotRun, "ticket-required",
        std::string("this request runs at most once and needs a ticket") +
            kTicketAdvice);
    OfferTicket(*call, answer);
    co_return answer;
  }
  const auto waiter = NewWaiter();
  const TicketReply reply = tickets_.Begin(ticket, call->fingerprint, waiter);
  if (reply.step == TicketStep::kStart) {
    co_return co_await Run(call,
                           std::make_shared<Record>(tickets_, *reply.ticket));
  }
  if (reply.step == TicketStep::kJoin)
    co_return co_await Await(waiter, call);
  if (reply.step == TicketStep::kNotMine)
    co_return co_await AskOwner(call, *reply.ticket);
  co_return ResponseFor(reply, *call);
}

boost::asio::awaitable<HttpResponse> OnceRunner::ServeForwarded(
    ServiceRequestPtr call) {
  const ForwardedRunId pass{call->pass->sender, call->pass->attempt};
  const auto waiter = NewWaiter();
  const TicketReply reply =
      tickets_.BeginForwarded(pass, call->fingerprint, waiter);
  if (reply.step == TicketStep::kStart)
    co_return co_await Run(call, std::make_shared<Record>(tickets_, pass));
  if (reply.step == TicketStep::kJoin)
    co_return co_await Await(waiter, call);
  co_return ResponseFor(reply, *call);
}

boost::asio::awaitable<HttpResponse> OnceRunner::ServeQuestion(
    ServiceRequestPtr call) {
  const std::string ticket(call->original.fields.Get(kTicketHeader));
  const auto waiter = NewWaiter();
  const TicketReply reply = tickets_.Ask(ticket, call->fingerprint, waiter);
  if (reply.step == TicketStep::kJoin)
    co_return co_await Await(waiter, call);
  co_return ResponseFor(reply, *call);
}

boost::asio::awaitable<HttpResponse> OnceRunner::Run(
    ServiceRequestPtr call,
    std::shared_ptr<Record> record) {
  const auto hand_over = [record] { return record->HandOver(); };
  DispatchRequest item = call->ToDispatchRequest(0);
  Refusal refusal = Refusal::kNoServer;
  for (int i = 0; i < kMaxChoices; ++i) {
    item.id = next_item_.fetch_add(1);
    const DispatchDecision decision = co_await gate_.Decide(call, item);
    if (decision.step == Step::kRefuse) {
      refusal = decision.refusal;
      break;
    }
    SendResult result = co_await sender_.Send(*call, decision, hand_over);
    if (result.verdict == Verdict::kRan) {
      HttpResponse answer = ToCaller(std::move(result.response), Verdict::kRan);
      record->Answer(ToCachedResponse(answer));
      co_return answer;
    }
    if (result.verdict == Verdict::kUnknown && record->handed_over())
      co_return ResponseForEnd(record->Break());
    if (decision.step == Step::kSend && record->handed_over()) {
      // The one backend server that got it refused it; no other may get it.
      HttpResponse answer =
          ToCaller(std::move(result.response), Verdict::kNotRun);
      record->Refuse(ToCachedResponse(answer));
      OfferTicket(*call, answer);
      co_return answer;
    }
    if (!record->TakeBack())
      break;
    Avoid(decision, item);
  }
  // "Not run" is true only once no byte can leave any more.
  const RunEnd end = record->Void();
  if (!end.accepted)
    co_return ResponseForEnd(end);
  HttpResponse answer = RefusalResponse(refusal);
  OfferTicket(*call, answer);
  co_return answer;
}

boost::asio::awaitable<HttpResponse> OnceRunner::Await(
    SharedTicketRecords::WaiterPtr waiter,
    ServiceRequestPtr call) {
  if (const auto end = co_await waiter->Wait(call->deadline))
    co_return ResponseForEnd(*end);
  co_return HostResponse(504, Verdict::kUnknown, "running",
                         "it is still running; repeat it with the same "
                         "Idempotency-Key to learn how it ends");
}

boost::asio::awaitable<HttpResponse> OnceRunner::AskOwner(
    ServiceRequestPtr call,
    Ticket ticket) {
  OwnerQuery::Options options;
  if (tickets_.HasTakenOver(ticket.owner))
    options.successors = {tickets_.self()};
  OwnerQuery inquiry(ticket, std::move(options), call->deadline);
  OwnerQueryAction action = inquiry.Start(SteadyNow());
  while (action.step != OwnerQueryStep::kAnswer) {
    if (action.step == OwnerQueryStep::kAskWitness &&
        action.target == tickets_.self()) {
      action =
          inquiry.OnWitnessReply(tickets_.AskTakenOver(ticket), SteadyNow());
      continue;
    }
    if (action.step == OwnerQueryStep::kAskOwner &&
        action.target.host != tickets_.self().host) {
      // The owner waits with its reply until a run that goes on has ended.
      SendResult result =
          co_await sender_.AskOwner(*call, action.target.host, call->deadline);
      if (result.has_answer) {
        HttpResponse answer =
            ToCaller(std::move(result.response), result.verdict);
        if (result.verdict == Verdict::kNotRun)
          OfferTicket(*call, answer);
        co_return answer;
      }
    }
    action = inquiry.OnSilence(SteadyNow());
  }
  co_return ResponseFor(action.reply, *call);
}

HttpResponse OnceRunner::ResponseFor(const TicketReply& reply,
                                     const Call& call) {
  const std::string reason(reply.reason == TicketReason::kNone
                               ? kTicketStepNames.Name(reply.step)
                               : kTicketReasonNames.Name(reply.reason));
  switch (reply.step) {
    case TicketStep::kAnswer: {
      HttpResponse answer = FromCachedResponse(*reply.answer);
      answer.fields.Set(kVerdictHeader,
                        std::string(VerdictName(Verdict::kRan)));
      return answer;
    }
    case TicketStep::kAnswerGone:
      return HostResponse(410, Verdict::kRan, reason,
                          "it ran; its answer is no longer kept");
    case TicketStep::kMismatch:
      return HostResponse(422, Verdict::kNotRun, reason,
                          "this Idempotency-Key belongs to another request, "
                          "which is not affected");
    case TicketStep::kNotRun: {
      HttpResponse answer =
          HostResponse(409, Verdict::kNotRun, reason,
                       "it did not run and never will under this ticket");
      OfferTicket(call, answer);
      return answer;
    }
    case TicketStep::kMalformed:
    case TicketStep::kForged: {
      // Nothing was run by this request; whether one like it was, under the
      // ticket that this may once have been, is not known.
      return HostResponse(400, reply.verdict, reason,
                          "the Idempotency-Key is no ticket of this fleet; if "
                          "you repeat a request, use its own ticket, else send "
                          "it without one to get one");
    }
    default:
      return HostResponse(502, Verdict::kUnknown, reason,
                          "it may have run; find out before you start another");
  }
}

HttpResponse OnceRunner::ResponseForEnd(const RunEnd& end) {
  if (end.verdict == Verdict::kRan) {
    if (end.answer)
      return FromCachedResponse(*end.answer);
    return HostResponse(410, Verdict::kRan, "answer-gone",
                        "it ran; its answer is no longer kept");
  }
  if (end.verdict == Verdict::kNotRun) {
    return HostResponse(503, Verdict::kNotRun, "voided",
                        "it did not run and never will under this ticket");
  }
  return HostResponse(502, Verdict::kUnknown, "broken",
                      "it may have run; find out before you start another");
}

void OnceRunner::OfferTicket(const Call& call, HttpResponse& answer) {
  // Only the host that the caller speaks to hands tickets to it.
  if (call.pass)
    return;
  answer.fields.Set(kTicketHeader,
                    tickets_.Mint(call.entry->tunables.ticket_lifetime));
}

}  // namespace toucanknot
