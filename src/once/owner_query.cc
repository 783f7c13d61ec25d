#include "include/once/owner_query.h"

#include <algorithm>
#include <utility>

namespace toucanknot {

OwnerQuery::OwnerQuery(const Ticket& ticket, Options options, Instant deadline)
    : ticket_(ticket), options_(std::move(options)), deadline_(deadline) {
  if (ticket_.witness)
    witnesses_.push_back(*ticket_.witness);
  for (const HostIncarnation& it : options_.successors) {
    if (it != ticket_.witness)
      witnesses_.push_back(it);
  }
}

OwnerQueryAction OwnerQuery::Start(Instant now) {
  const auto& known = options_.known_incarnation;
  if (known && *known != ticket_.owner.incarnation)
    return QueryNextWitness(now);
  return {OwnerQueryStep::kQueryOwner, ticket_.owner, ReplyDeadline(now), {}};
}

OwnerQueryAction OwnerQuery::OnOwnerReply(const TicketReply& reply,
                                          Instant now) {
  switch (reply.step) {
    case TicketStep::kNotMine:
      return QueryNextWitness(now);
    case TicketStep::kJoin:
      owner_runs_it_ = true;
      return {OwnerQueryStep::kQueryOwner, ticket_.owner, deadline_, {}};
    case TicketStep::kStart:
      // An owner never replies this, and only the owner may run the request.
      return Reply(TicketStep::kUnknown, Verdict::kUnknown);
    default:
      break;
  }
  OwnerQueryAction action;
  action.reply = reply;
  action.reply.ticket = ticket_;
  return action;
}

OwnerQueryAction OwnerQuery::OnWitnessReply(WitnessReply reply, Instant now) {
  switch (reply) {
    case WitnessReply::kVoided:
      return Reply(TicketStep::kNotRun, Verdict::kNotRun);
    case WitnessReply::kRan:
      return Reply(TicketStep::kResponseGone, Verdict::kRan);
    default:
      return QueryNextWitness(now);
  }
}

OwnerQueryAction OwnerQuery::OnSilence(Instant now) {
  return QueryNextWitness(now);
}

OwnerQueryAction OwnerQuery::QueryNextWitness(Instant now) {
  if (next_witness_ == witnesses_.size() || now >= deadline_)
    return Reply(TicketStep::kUnknown, Verdict::kUnknown);
  return {OwnerQueryStep::kQueryWitness,
          witnesses_[next_witness_++],
          ReplyDeadline(now),
          {}};
}

OwnerQueryAction OwnerQuery::Reply(TicketStep step, Verdict verdict) const {
  OwnerQueryAction action;
  action.reply.step = step;
  action.reply.verdict = verdict;
  if (verdict == Verdict::kNotRun)
    action.reply.reason = TicketReason::kVoided;
  action.reply.ticket = ticket_;
  return action;
}

Instant OwnerQuery::ReplyDeadline(Instant now) const {
  return std::min(deadline_, now + options_.reply_timeout);
}

}  // namespace toucanknot
