#ifndef INCLUDE_LIMITS_HOST_BUDGET_H_
#define INCLUDE_LIMITS_HOST_BUDGET_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "include/base/clock.h"
#include "include/base/ids.h"
#include "include/limits/budget_messages.h"
#include "include/limits/cap.h"
#include "include/limits/share_votes.h"

namespace toucanknot {

// One host's part of every cap it shares.
//
// A host owns a static share of each cap. It may lend units of it, for a time
// on its own clock, to the holder of the region's budget lease; the holder
// grants to others only what was lent to it, and only for as long. Hence the
// sum of what all hosts may use stays at or under the cap whatever happens to
// messages, leases and holders; the lease only keeps the loans in one place.
//
// Limit() may fall under what is in use when a grant is not renewed. Work that
// runs then may go on for BudgetTimes::settle; the holder counts it.
//
// A new incarnation owns nothing until the promises and the work of the one
// before it on the same host must be over. Until then it lives on grants.
class HostBudget {
 public:
  HostBudget(HostId host,
             Incarnation incarnation,
             BudgetTimes times,
             Instant now);

  // The caps this host shares, in full. A share that shrinks does so at once.
  // One that grows does so after `grow_after`, by which time the members
  // must have taken over the same caps.
  void SetCaps(const std::vector<Cap>& caps, Duration grow_after, Instant now);
  // No promise and no work of an earlier incarnation on this host can be
  // alive: the static shares count from now on.
  void EndHold(Instant now);

  // What the host uses of `cap` and what it could use with work that waits.
  void SetUse(const CapId& cap, int64_t in_use, int64_t demand);

  // What this host may use of `cap` now; 0 for an unknown cap.
  int64_t Limit(const CapId& cap, Instant now) const;

  // The current holder, from the lease or from a reply. Hosts follow the
  // highest they have seen.
  void OnHolder(const HolderId& holder);
  const HolderId& holder() const { return holder_; }

  // When to send the next request: soon while the host is short of units
  // or the holder waits for its confirmation, in a tenth of a second after its
  // demand has changed, else half a second.
  Instant NextAsk(Instant now) const;
  // The next request to the holder. Its loans bind this host from now on,
  // whether the request arrives or not.
  BudgetRequest MakeRequest(Instant now);
  // Takes a reply; one that is late, repeated, or from a holder that is not
  // the highest seen changes nothing. False then.
  bool OnReply(const BudgetReply& reply);

  // With BudgetTimes::voting: its messages go to the other members.
  ShareVotes& votes() { return votes_; }

  // When the static shares begin to count.
  Instant hold_until() const { return hold_until_; }
  // Per cap: share, lent, granted, in use, demand, and their ages, as JSON.
  std::string Explain(Instant now) const;

 private:
  struct Loan {
    HolderId holder;
    // The request that made it.
    uint64_t number = 0;
    int64_t units = 0;
    Instant end;
  };
  struct Grant {
    HolderId holder;
    uint64_t sequence = 0;
    int64_t units = 0;
    Instant asked;
    Instant end;
  };
  struct Entry {
    Cap cap;
    int64_t share = 0;
    // A greater share, from `grows_at` on.
    int64_t next_share = 0;
    Instant grows_at = Instant::Never();
    int64_t in_use = 0;
    int64_t demand = 0;
    // The demand at the last request.
    int64_t told = 0;
    std::vector<Loan> loans;
    std::optional<Grant> grant;
    // The holder's last word.
    bool scarce = false;

    // The units that the host would have in hand.
    int64_t Target() const;
  };
  struct Asked {
    uint64_t number = 0;
    Instant at;
  };

  static constexpr Duration kAskShort{25};
  static constexpr Duration kAskChanged{100};
  static constexpr Duration kAskSteady{500};
  // Requests whose replies are still accepted.
  static constexpr size_t kMaxAsked = 16;
  // Loans of one cap kept apart; further ones are merged.
  static constexpr size_t kMaxLoans = 32;
  // Never lends below this share of what it owns, so that a host that is cut
  // off keeps serving.
  static constexpr int64_t kKeptPercent = 25;

  int64_t Owned(const Entry& entry, Instant now) const;
  std::vector<RenouncedShare> Renounced(const Entry& entry, Instant now);
  void SetVoters();
  int64_t Lent(const Entry& entry, Instant now) const;
  int64_t Granted(const Entry& entry, Instant now) const;
  // Units to lend to the current holder in the next request.
  int64_t ChooseLoan(const Entry& entry, Instant now) const;
  void AddLoan(Entry* entry, int64_t units, Instant now) const;
  static void DropEnded(Entry* entry, Instant now);
  // Takes what a reply to request `number`, sent at `asked`, says of one cap.
  void TakeGrant(const CapGrant& granted,
                 uint64_t number,
                 Instant asked,
                 Entry* entry);

  HostId host_;
  Incarnation incarnation_;
  BudgetTimes times_;
  Instant hold_until_;
  HolderId holder_;
  int64_t holder_stamp_ = 0;
  // When the newest request was sent that the holder has answered.
  Instant answered_;
  // A grant was reduced: the holder waits to hear that it is followed.
  bool confirm_ = false;
  Instant last_ask_ = Instant(-Duration::Max().ms());
  uint64_t number_ = 0;
  std::deque<Asked> asked_;
  std::map<CapId, Entry> entries_;
  ShareVotes votes_;
};

}  // namespace toucanknot

#endif  // INCLUDE_LIMITS_HOST_BUDGET_H_
