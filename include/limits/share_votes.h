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

// Asks a member for its vote.
struct VoteRequest {
  HostId host;
  Incarnation incarnation = 0;
  uint64_t number = 0;
};

// The vote.
struct VoteReply {
  HostId voter;
  // Those of the request.
  Incarnation incarnation = 0;
  uint64_t number = 0;
};

// Lets the traded part of a lost host's share be used by others, without
// anyone having to know that it is lost.
//
// A host uses the traded part of its share only while a majority of the cap's
// members, itself among them, has voted for it within BudgetTimes::vote. A
// member that has given a host no vote for long enough that no use, loan or
// work can rest on one renounces it: it promises the holder to give it no vote
// for BudgetTimes::loan. When so many have renounced that the rest is no
// majority, the holder may grant the part. A host that is cut off thus goes on
// with the other part of its share.
//
// Caps with fewer than kMinMembers or more than kMaxMembers members do not
// take part: with two, nobody has a majority without the other; with many, one
// host's share is small and the votes are not.
class ShareVotes {
 public:
  static constexpr size_t kMinMembers = 3;
  static constexpr size_t kMaxMembers = 16;

  ShareVotes(HostId host,
             Incarnation incarnation,
             BudgetTimes times,
             Instant now);

  static bool TakesPart(size_t members);
  // Members that must have renounced a host before its part is free.
  static size_t Needed(size_t members) { return members - members / 2; }
  // The part of a share that is used by vote.
  static int64_t Traded(int64_t share) { return share / 2; }

  // All members of all caps that take part.
  void SetMembers(const std::vector<HostId>& members);

  // To be sent to all members, at NextAsk().
  VoteRequest MakeRequest(Instant now);
  Instant NextAsk() const { return last_ask_ + kAskEvery; }
  // The vote for another host; nothing while there is none for it.
  std::optional<VoteReply> Answer(const VoteRequest& request, Instant now);
  void OnReply(const VoteReply& reply);

  // No promise of a former incarnation can be alive.
  void EndHold(Instant now);

  // Whether this host may use the traded part of a cap with these members.
  bool Licensed(const std::vector<HostId>& members, Instant now) const;
  // Whether this host renounces `member` to `holder` from now on, until
  // BudgetTimes::loan from now.
  bool Renounce(const HostId& member, const HolderId& holder, Instant now);

 private:
  static constexpr Duration kAskEvery{500};
  // Requests whose replies are still accepted.
  static constexpr size_t kMaxAsked = 16;

  struct Asked {
    uint64_t number = 0;
    Instant at;
  };
  struct Member {
    // When this host asked for the newest vote that it has got.
    Instant voted_for_us;
    // When this host gave its last vote, and was last asked for one.
    Instant our_vote;
    Instant asked_us;
    // To whom, and until when, this host has renounced it.
    HolderId renounced_to;
    Instant renounced_until;
  };

  HostId host_;
  Incarnation incarnation_;
  BudgetTimes times_;
  // What a former incarnation of this host may have promised is over then.
  Instant promises_end_;
  uint64_t number_ = 0;
  Instant last_ask_ = Instant(-Duration::Max().ms());
  std::deque<Asked> asked_;
  std::map<HostId, Member> members_;
};

}  // namespace toucanknot

#endif  // INCLUDE_LIMITS_SHARE_VOTES_H_
