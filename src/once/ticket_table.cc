#include "include/once/ticket_table.h"

#include <utility>

namespace toucanknot {
namespace {

TicketReply MakeReply(TicketReply reply,
                      TicketStep step,
                      Verdict verdict,
                      TicketReason reason) {
  reply.step = step;
  reply.verdict = verdict;
  reply.reason = reason;
  return reply;
}

TicketReply ReplyFromRecord(const RunView& view, TicketReply reply) {
  reply.response = view.response;
  switch (view.state) {
    case TicketState::kAdmitted:
    case TicketState::kHandedOver:
      return MakeReply(std::move(reply), TicketStep::kJoin, Verdict::kUnknown,
                       TicketReason::kNone);
    case TicketState::kRan:
      return MakeReply(std::move(reply),
                       view.response ? TicketStep::kDeliverResponse
                                     : TicketStep::kResponseGone,
                       Verdict::kRan, TicketReason::kNone);
    case TicketState::kVoided:
      return MakeReply(std::move(reply), TicketStep::kNotRun, Verdict::kNotRun,
                       TicketReason::kVoided);
    default:
      return MakeReply(std::move(reply), TicketStep::kUnknown,
                       Verdict::kUnknown, TicketReason::kBroken);
  }
}

}  // namespace

TicketReply ReplyFromView(const RunView& view,
                          uint64_t fingerprint,
                          TicketReply reply) {
  if (view.state == TicketState::kUnused) {
    if (view.forgotten) {
      return MakeReply(std::move(reply), TicketStep::kUnknown,
                       Verdict::kUnknown, TicketReason::kForgotten);
    }
    return MakeReply(std::move(reply), TicketStep::kNotRun, Verdict::kNotRun,
                     TicketReason::kTableFull);
  }
  if (view.state != TicketState::kVoided && view.fingerprint != fingerprint) {
    return MakeReply(std::move(reply), TicketStep::kMismatch, Verdict::kNotRun,
                     TicketReason::kNone);
  }
  return ReplyFromRecord(view, std::move(reply));
}

TicketTable::TicketTable(std::unique_ptr<TicketIssuer> issuer,
                         RunRecords::Limits limits,
                         std::shared_ptr<ResponseCache> cache)
    : issuer_(std::move(issuer)), runs_(limits, std::move(cache)) {}

Ticket TicketTable::Issue(Duration lifetime,
                          Instant now,
                          std::optional<HostIncarnation> witness) {
  return issuer_->Issue(lifetime, now, std::move(witness));
}

TicketReply TicketTable::Begin(std::string_view text,
                               uint64_t fingerprint,
                               uint64_t waiter,
                               Instant now) {
  TicketReply reply = Lookup(text, fingerprint, now);
  if (reply.step == TicketStep::kStart) {
    if (closed_)
      return VoidUnused(std::move(reply), now);
    const Ticket& ticket = *reply.ticket;
    if (!runs_.Admit(reply.run, fingerprint, ticket.witness.has_value(),
                     issuer_->ExpiryOf(ticket), now)) {
      return MakeReply(std::move(reply), TicketStep::kNotRun, Verdict::kNotRun,
                       TicketReason::kTableFull);
    }
  }
  if (reply.step == TicketStep::kStart || reply.step == TicketStep::kJoin)
    runs_.Join(reply.run, waiter);
  return reply;
}

TicketReply TicketTable::Query(std::string_view text,
                               uint64_t fingerprint,
                               uint64_t waiter,
                               Instant now) {
  TicketReply reply = Lookup(text, fingerprint, now);
  if (reply.step == TicketStep::kStart)
    return VoidUnused(std::move(reply), now);
  if (reply.step == TicketStep::kJoin)
    runs_.Join(reply.run, waiter);
  return reply;
}

RunEnd TicketTable::Void(const Ticket& ticket, Instant now) {
  return runs_.Void(ticket.sequence, issuer_->ExpiryOf(ticket), now);
}

TicketHandoff TicketTable::Close() {
  closed_ = true;
  return {self(), runs_.forgotten_mark(), runs_.FinishedRuns()};
}

// Finds the state of the ticket and changes nothing. kStart means that the
// ticket is unused and may be used.
TicketReply TicketTable::Lookup(std::string_view text,
                                uint64_t fingerprint,
                                Instant now) const {
  TicketReply reply;
  reply.ticket = Ticket::Parse(text);
  if (!reply.ticket) {
    reply.step = TicketStep::kMalformed;
    return reply;
  }
  const TicketCheck check = issuer_->Check(*reply.ticket, now);
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
    return MakeReply(std::move(reply), TicketStep::kNotRun, Verdict::kNotRun,
                     TicketReason::kExpired);
  }
  reply.step = TicketStep::kStart;
  return reply;
}

TicketReply TicketTable::VoidUnused(TicketReply reply, Instant now) {
  Void(*reply.ticket, now);
  return MakeReply(std::move(reply), TicketStep::kNotRun, Verdict::kNotRun,
                   closed_ ? TicketReason::kClosed : TicketReason::kVoided);
}

}  // namespace toucanknot
