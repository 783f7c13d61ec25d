#include "include/once/owner_inquiry.h"

#include <algorithm>
#include <utility>

namespace toucanknot {

OwnerInquiry::OwnerInquiry(const Ticket& ticket,
                           Options options,
                           Instant deadline)
    : ticket_(ticket), options_(std::move(options)), deadline_(deadline) {
  if (ticket_.witness)
    witnesses_.push_back(*ticket_.witness);
  for (const HostLife& it : options_.successors) {
    if (it != ticket_.witness)
      witnesses_.push_back(it);
  }
}

InquiryAction OwnerInquiry::Start(Instant now) {
  const auto& known = options_.known_incarnation;
  if (known && *known != ticket_.owner.incarnation)
    return NextWitness(now);
  return {InquiryStep::kAskOwner, ticket_.owner, Limit(now), {}};
}

InquiryAction OwnerInquiry::OnOwnerReply(const TicketReply& reply,
                                         Instant now) {
  switch (reply.step) {
    case TicketStep::kNotMine:
      return NextWitness(now);
    case TicketStep::kJoin:
      owner_runs_it_ = true;
      return {InquiryStep::kAskOwner, ticket_.owner, deadline_, {}};
    case TicketStep::kStart:
      // No owner says so; it would not be this host's to run.
      return Tell(TicketStep::kUnknown, Verdict::kUnknown);
    default:
      break;
  }
  InquiryAction action;
  action.reply = reply;
  action.reply.ticket = ticket_;
  return action;
}

InquiryAction OwnerInquiry::OnWitnessWord(WitnessWord word, Instant now) {
  switch (word) {
    case WitnessWord::kVoided:
      return Tell(TicketStep::kNotRun, Verdict::kNotRun);
    case WitnessWord::kRan:
      return Tell(TicketStep::kAnswerGone, Verdict::kRan);
    default:
      return NextWitness(now);
  }
}

InquiryAction OwnerInquiry::OnSilence(Instant now) {
  return NextWitness(now);
}

InquiryAction OwnerInquiry::NextWitness(Instant now) {
  if (next_witness_ == witnesses_.size() || now >= deadline_)
    return Tell(TicketStep::kUnknown, Verdict::kUnknown);
  return {
      InquiryStep::kAskWitness, witnesses_[next_witness_++], Limit(now), {}};
}

InquiryAction OwnerInquiry::Tell(TicketStep step, Verdict verdict) const {
  InquiryAction action;
  action.reply.step = step;
  action.reply.verdict = verdict;
  if (verdict == Verdict::kNotRun)
    action.reply.reason = TicketReason::kVoided;
  action.reply.ticket = ticket_;
  return action;
}

Instant OwnerInquiry::Limit(Instant now) const {
  return std::min(deadline_, now + options_.patience);
}

}  // namespace toucanknot
