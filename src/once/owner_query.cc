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
    return NextWitness(now);
  return {OwnerQueryStep::kAskOwner, ticket_.owner, Limit(now), {}};
}

OwnerQueryAction OwnerQuery::OnOwnerReply(const TicketReply& reply,
                                          Instant now) {
  switch (reply.step) {
    case TicketStep::kNotMine:
      return NextWitness(now);
    case TicketStep::kJoin:
      owner_runs_it_ = true;
      return {OwnerQueryStep::kAskOwner, ticket_.owner, deadline_, {}};
    case TicketStep::kStart:
      // An owner never replies this, and only the owner may run the request.
      return Tell(TicketStep::kUnknown, Verdict::kUnknown);
    default:
      break;
  }
  OwnerQueryAction action;
  action.reply = reply;
  action.reply.ticket = ticket_;
  return action;
}

OwnerQueryAction OwnerQuery::OnWitnessReply(WitnessReply word, Instant now) {
  switch (word) {
    case WitnessReply::kVoided:
      return Tell(TicketStep::kNotRun, Verdict::kNotRun);
    case WitnessReply::kRan:
      return Tell(TicketStep::kAnswerGone, Verdict::kRan);
    default:
      return NextWitness(now);
  }
}

OwnerQueryAction OwnerQuery::OnSilence(Instant now) {
  return NextWitness(now);
}

OwnerQueryAction OwnerQuery::NextWitness(Instant now) {
  if (next_witness_ == witnesses_.size() || now >= deadline_)
    return Tell(TicketStep::kUnknown, Verdict::kUnknown);
  return {
      OwnerQueryStep::kAskWitness, witnesses_[next_witness_++], Limit(now), {}};
}

OwnerQueryAction OwnerQuery::Tell(TicketStep step, Verdict verdict) const {
  OwnerQueryAction action;
  action.reply.step = step;
  action.reply.verdict = verdict;
  if (verdict == Verdict::kNotRun)
    action.reply.reason = TicketReason::kVoided;
  action.reply.ticket = ticket_;
  return action;
}

Instant OwnerQuery::Limit(Instant now) const {
  return std::min(deadline_, now + options_.patience);
}

}  // namespace toucanknot
