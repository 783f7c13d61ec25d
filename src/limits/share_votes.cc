#include "include/limits/share_votes.h"

#include <algorithm>
#include <utility>

namespace toucanknot {
namespace {

const Instant kLongAgo = Instant(-Duration::Max().ms());

}  // namespace

ShareVotes::ShareVotes(HostId host,
                       Incarnation incarnation,
                       BudgetTimes times,
                       Instant now)
    : host_(std::move(host)),
      incarnation_(incarnation),
      times_(times),
      promises_end_(now + times.AtLeast(times.loan)) {}

bool ShareVotes::TakesPart(size_t members) {
  return members >= kMinMembers && members <= kMaxMembers;
}

void ShareVotes::SetMembers(const std::vector<HostId>& members) {
  // Members that have gone keep their entries: the promises about them hold.
  for (const HostId& it : members) {
    // A former incarnation may have voted until just now.
    if (it != host_)
      members_.try_emplace(
          it, Member{.voted_for_us = kLongAgo,
                     .our_vote = promises_end_ - times_.AtLeast(times_.loan),
                     .asked_us = kLongAgo,
                     .renounced_until = kLongAgo});
  }
}

void ShareVotes::EndHold(Instant now) {
  promises_end_ = std::min(promises_end_, now);
}

VoteRequest ShareVotes::MakeRequest(Instant now) {
  last_ask_ = now;
  asked_.push_back({++number_, now});
  if (asked_.size() > kMaxAsked)
    asked_.pop_front();
  return {host_, incarnation_, number_};
}

std::optional<VoteReply> ShareVotes::Answer(const VoteRequest& request,
                                            Instant now) {
  const auto it = members_.find(request.host);
  if (it == members_.end())
    return std::nullopt;
  it->second.asked_us = now;
  if (now < promises_end_ || now < it->second.renounced_until)
    return std::nullopt;
  it->second.our_vote = now;
  return VoteReply{host_, request.incarnation, request.number};
}

void ShareVotes::OnReply(const VoteReply& reply) {
  const auto it = members_.find(reply.voter);
  const auto asked =
      std::find_if(asked_.begin(), asked_.end(),
                   [&](const Asked& a) { return a.number == reply.number; });
  if (reply.incarnation != incarnation_ || it == members_.end() ||
      asked == asked_.end())
    return;
  it->second.voted_for_us = std::max(it->second.voted_for_us, asked->at);
}

bool ShareVotes::Licensed(const std::vector<HostId>& members,
                          Instant now) const {
  size_t votes = 1;
  for (const HostId& it : members) {
    const auto member = members_.find(it);
    if (member != members_.end() &&
        now < member->second.voted_for_us + times_.vote)
      ++votes;
  }
  return votes >= members.size() / 2 + 1;
}

bool ShareVotes::Renounce(const HostId& member,
                          const HolderId& holder,
                          Instant now) {
  const auto it = members_.find(member);
  if (it == members_.end() || now < promises_end_)
    return false;
  Member& entry = it->second;
  // It is back: let the promises about it end.
  if (now < entry.asked_us + times_.vote)
    return false;
  // What rests on the last vote: use for as long as it counts, then loans.
  if (now < entry.our_vote + times_.AtLeast(times_.vote + times_.loan))
    return false;
  // One holder at a time may count on it.
  if (now < entry.renounced_until && entry.renounced_to != holder)
    return false;
  entry.renounced_to = holder;
  entry.renounced_until = now + times_.loan;
  return true;
}

}  // namespace toucanknot
