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

bool ShareVotes::Participates(size_t members) {
  return members >= kMinMembers && members <= kMaxMembers;
}

void ShareVotes::SetMembers(const std::vector<HostId>& members) {
  // Entries of removed members are kept, since the promises about them remain
  // in force.
  for (const HostId& it : members) {
    // A former incarnation may have voted until just now.
    if (it != host_)
      members_.try_emplace(
          it,
          Member{.vote_requested_at = kLongAgo,
                 .last_vote_given = promises_end_ - times_.AtLeast(times_.loan),
                 .last_request_from = kLongAgo,
                 .renounced_until = kLongAgo});
  }
}

void ShareVotes::EndHold(Instant now) {
  promises_end_ = std::min(promises_end_, now);
}

VoteRequest ShareVotes::MakeRequest(Instant now) {
  last_request_ = now;
  pending_requests_.push_back({++number_, now});
  if (pending_requests_.size() > kMaxPendingRequests)
    pending_requests_.pop_front();
  return {host_, incarnation_, number_};
}

std::optional<VoteReply> ShareVotes::HandleRequest(const VoteRequest& request,
                                                   Instant now) {
  const auto it = members_.find(request.host);
  if (it == members_.end())
    return std::nullopt;
  it->second.last_request_from = now;
  if (now < promises_end_ || now < it->second.renounced_until)
    return std::nullopt;
  it->second.last_vote_given = now;
  return VoteReply{host_, request.incarnation, request.number};
}

void ShareVotes::OnReply(const VoteReply& reply) {
  const auto it = members_.find(reply.voter);
  const auto pending = std::find_if(
      pending_requests_.begin(), pending_requests_.end(),
      [&](const PendingRequest& a) { return a.number == reply.number; });
  if (reply.incarnation != incarnation_ || it == members_.end() ||
      pending == pending_requests_.end())
    return;
  it->second.vote_requested_at =
      std::max(it->second.vote_requested_at, pending->at);
}

bool ShareVotes::HasMajority(const std::vector<HostId>& members,
                             Instant now) const {
  size_t votes = 1;
  for (const HostId& it : members) {
    const auto member = members_.find(it);
    if (member != members_.end() &&
        now < member->second.vote_requested_at + times_.vote)
      ++votes;
  }
  return votes >= members.size() / 2 + 1;
}

bool ShareVotes::TryRenounce(const HostId& member,
                             const HolderId& holder,
                             Instant now) {
  const auto it = members_.find(member);
  if (it == members_.end() || now < promises_end_)
    return false;
  Member& entry = it->second;
  // The member is reachable again: let the promises about it expire.
  if (now < entry.last_request_from + times_.vote)
    return false;
  // The last vote permits use and new loans while it is valid; these loans then
  // outlast it.
  if (now < entry.last_vote_given + times_.AtLeast(times_.vote + times_.loan))
    return false;
  // Only one holder at a time may rely on the promise.
  if (now < entry.renounced_until && entry.renounced_to != holder)
    return false;
  entry.renounced_to = holder;
  entry.renounced_until = now + times_.loan;
  return true;
}

}  // namespace toucanknot
