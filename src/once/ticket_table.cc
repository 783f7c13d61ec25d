#include "include/once/ticket_table.h"

#include <utility>

namespace toucanknot {
namespace {

TicketReply With(TicketReply reply,
                 TicketStep step,
                 Verdict verdict,
                 TicketReason reason) {
  reply.step = step;
  reply.verdict = verdict;
  reply.reason = reason;
  return reply;
}

TicketReply FromRecord(const RunView& view, TicketReply reply) {
  reply.answer = view.answer;
  switch (view.state) {
    case TicketState::kAdmitted:
    case TicketState::kHandedOver:
      return With(std::move(reply), TicketStep::kJoin, Verdict::kUnknown,
                  TicketReason::kNone);
    case TicketState::kRan:
      return With(std::move(reply),
                  view.answer ? TicketStep::kAnswer : TicketStep::kAnswerGone,
                  Verdict::kRan, TicketReason::kNone);
    case TicketState::kVoided:
      return With(std::move(reply), TicketStep::kNotRun, Verdict::kNotRun,
                  TicketReason::kVoided);
    default:
      return With(std::move(reply), TicketStep::kUnknown, Verdict::kUnknown,
                  TicketReason::kBroken);
  }
}

}  // namespace

TicketReply ReplyFromView(const RunView& view,
                          uint64_t fingerprint,
                          TicketReply reply) {
  if (view.state == TicketState::kUnused) {
    if (view.forgotten) {
      return With(std::move(reply), TicketStep::kUnknown, Verdict::kUnknown,
                  TicketReason::kForgotten);
    }
    return With(std::move(reply), TicketStep::kNotRun, Verdict::kNotRun,
                TicketReason::kTableFull);
  }
  if (view.state != TicketState::kVoided && view.fingerprint != fingerprint) {
    return With(std::move(reply), TicketStep::kMismatch, Verdict::kNotRun,
                TicketReason::kNone);
  }
  return FromRecord(view, std::move(reply));
}

TicketTable::TicketTable(std::unique_ptr<TicketIssuer> mint,
                         RunRecords::Limits limits,
                         std::shared_ptr<ResponseCache> answers)
    : mint_(std::move(mint)), runs_(limits, std::move(answers)) {}

Ticket TicketTable::Mint(Duration lifetime,
                         Instant now,
                         std::optional<HostIncarnation> witness) {
  return mint_->Mint(lifetime, now, std::move(witness));
}

TicketReply TicketTable::Begin(std::string_view text,
                               uint64_t fingerprint,
                               uint64_t waiter,
                               Instant now) {
  TicketReply reply = Look(text, fingerprint, now);
  if (reply.step == TicketStep::kStart) {
    if (closed_)
      return VoidUnused(std::move(reply), now);
    const Ticket& ticket = *reply.ticket;
    if (!runs_.Admit(reply.run, fingerprint, ticket.witness.has_value(),
                     mint_->ExpiryOf(ticket), now)) {
      return With(std::move(reply), TicketStep::kNotRun, Verdict::kNotRun,
                  TicketReason::kTableFull);
    }
  }
  if (reply.step == TicketStep::kStart || reply.step == TicketStep::kJoin)
    runs_.Join(reply.run, waiter);
  return reply;
}

TicketReply TicketTable::Ask(std::string_view text,
                             uint64_t fingerprint,
                             uint64_t waiter,
                             Instant now) {
  TicketReply reply = Look(text, fingerprint, now);
  if (reply.step == TicketStep::kStart)
    return VoidUnused(std::move(reply), now);
  if (reply.step == TicketStep::kJoin)
    runs_.Join(reply.run, waiter);
  return reply;
}

RunEnd TicketTable::Void(const Ticket& ticket, Instant now) {
  return runs_.Void(ticket.sequence, mint_->ExpiryOf(ticket), now);
}

TicketHandoff TicketTable::Close() {
  closed_ = true;
  return {self(), runs_.forgotten_mark(), runs_.FinishedRuns()};
}

// Finds the state of the ticket and changes nothing. kStart means that the
// ticket is unused and may be used.
TicketReply TicketTable::Look(std::string_view text,
                              uint64_t fingerprint,
                              Instant now) const {
  TicketReply reply;
  reply.ticket = Ticket::Parse(text);
  if (!reply.ticket) {
    reply.step = TicketStep::kMalformed;
    return reply;
  }
  const TicketCheck check = mint_->Check(*reply.ticket, now);
  if (check == TicketCheck::kOtherHost ||
      check == TicketCheck::kOtherIncarnation) {
    reply.step = TicketStep::kNotMine;
    return reply;
  }
  if (check == TicketCheck::kForged) {
    reply.step = TicketStep::kForged;
    return reply;
  }
  reply.run = reply.ticket->sequence;
  const RunView view = runs_.View(reply.run);
  if (view.state != TicketState::kUnused || view.forgotten || view.dead)
    return ReplyFromView(view, fingerprint, std::move(reply));
  // Without a record, and above the forgotten mark, where no record was
  // dropped: unused.
  if (check == TicketCheck::kExpired) {
    return With(std::move(reply), TicketStep::kNotRun, Verdict::kNotRun,
                TicketReason::kExpired);
  }
  reply.step = TicketStep::kStart;
  return reply;
}

TicketReply TicketTable::VoidUnused(TicketReply reply, Instant now) {
  Void(*reply.ticket, now);
  return With(std::move(reply), TicketStep::kNotRun, Verdict::kNotRun,
              closed_ ? TicketReason::kClosed : TicketReason::kVoided);
}

}  // namespace toucanknot
