#ifndef INCLUDE_LIMITS_SHARE_VOTES_H_
#define INCLUDE_LIMITS_SHARE_VOTES_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "include/base/clock.h"
#include "include/base/ids.h"
#include "include/limits/budget_messages.h"

namespace toucanknot {

// Requests the vote of a member.
struct VoteRequest {
  HostId host;
  Incarnation incarnation = 0;
  uint64_t number = 0;
};

// A vote for the host that requested it.
struct VoteReply {
  HostId voter;
  // Copied from the request.
  Incarnation incarnation = 0;
  uint64_t number = 0;
};

// Makes a part of an unreachable host's share, its traded part, available to
// others, without any need for failure detection.
//
// A host uses the traded part of its share only while a majority of the cap's
// members, itself included, has voted for it within BudgetTimes::vote. When a
// member has not voted for a host for so long that no use, loan or work can
// depend on such a vote, it renounces the host: it promises the holder not to
// vote for it for BudgetTimes::loan. When so many members have renounced a host
// that the others are no majority, the holder may grant the traded part. A
// partitioned host thus keeps using the other part of its share.
//
// Caps with fewer than kMinMembers or more than kMaxMembers members do not
// participate: with two members, neither has a majority without the other; with
// many, the share of one host is small compared with the cost of the votes.
class ShareVotes {
 public:
  static constexpr size_t kMinMembers = 3;
  static constexpr size_t kMaxMembers = 16;

  ShareVotes(HostId host,
             Incarnation incarnation,
             BudgetTimes times,
             Instant now);

  static bool Participates(size_t members);
  // How many members must have renounced a host before its traded part is free.
  static size_t RenouncersNeeded(size_t members) {
    return members - members / 2;
  }
  // The part of a share that requires votes.
  static int64_t TradedPart(int64_t share) { return share / 2; }

  // Sets the members of all caps that participate.
  void SetMembers(const std::vector<HostId>& members);

  // Makes the request to send to all members at NextRequestTime().
  VoteRequest MakeRequest(Instant now);
  Instant NextRequestTime() const { return last_request_ + kRequestInterval; }
  // Returns the vote for another host; nothing while this host must not vote
  // for it.
  std::optional<VoteReply> HandleRequest(const VoteRequest& request,
                                         Instant now);
  void OnReply(const VoteReply& reply);

  // No promise of a former incarnation of this host is in force any more.
  void EndHold(Instant now);

  // Whether this host may use the traded part of a cap with these members.
  bool HasMajority(const std::vector<HostId>& members, Instant now) const;
  // If this host can renounce `member`, does so towards `holder` for
  // BudgetTimes::loan from now and returns true.
  bool TryRenounce(const HostId& member, const HolderId& holder, Instant now);

 private:
  static constexpr Duration kRequestInterval{500};
  // The maximum number of requests whose replies are still accepted.
  static constexpr size_t kMaxPendingRequests = 16;

  struct PendingRequest {
    uint64_t number = 0;
    Instant at;
  };
  struct Member {
    // When this host sent the request for the newest vote that it received.
    Instant vote_requested_at;
    // When this host last voted for the member, and last received a request
    // from it.
    Instant last_vote_given;
    Instant last_request_from;
    // The holder towards which, and until when, this host renounces the member.
    HolderId renounced_to;
    Instant renounced_until;
  };

  HostId host_;
  Incarnation incarnation_;
  BudgetTimes times_;
  // When all promises of a former incarnation of this host have ended.
  Instant promises_end_;
  uint64_t number_ = 0;
  Instant last_request_ = Instant(-Duration::Max().ms());
  std::deque<PendingRequest> pending_requests_;
  std::map<HostId, Member> members_;
};

}  // namespace toucanknot

#endif  // INCLUDE_LIMITS_SHARE_VOTES_H_
