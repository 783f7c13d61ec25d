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

// One host's part of every cap that it shares.
//
// A host owns a static share of each cap. It may lend units of it, for a time
// measured on its own clock, to the holder of the region's budget lease. The
// holder grants to others only what was lent to it, and no longer than the loan
// lasts. So the sum of what all hosts may use never exceeds the cap, whatever
// happens to messages, leases and holders; the lease merely keeps the loans in
// one place.
//
// Limit() may fall below the units in use when a grant is not renewed. Running
// work may continue for BudgetTimes::settle; the holder accounts for it.
//
// A new incarnation owns nothing until all loans and work of the previous
// incarnation on the same host are certainly over. Until then it uses grants
// only.
class HostBudget {
 public:
  HostBudget(HostId host,
             Incarnation incarnation,
             BudgetTimes times,
             Instant now);

  // Sets all caps that this host shares. A share shrinks at once, and grows
  // only after `grow_after`, by which time all members must use the same caps.
  void SetCaps(const std::vector<Cap>& caps, Duration grow_after, Instant now);
  // Ends the hold early: no loan and no work of an earlier incarnation on this
  // host can remain. The static shares count from now on.
  void EndHold(Instant now);

  // The units of `cap` in use, and the units that running and waiting work
  // could use.
  void SetUse(const CapId& cap, int64_t in_use, int64_t demand);

  // The units of `cap` that this host may use now; 0 for an unknown cap.
  int64_t Limit(const CapId& cap, Instant now) const;

  // The current holder, from the lease or from a reply. Hosts use the highest
  // one seen.
  void OnHolder(const HolderId& holder);
  const HolderId& holder() const { return holder_; }

  // When to send the next request: after kUrgentRequestInterval while the host
  // lacks units or a reduced grant must be confirmed, after
  // kChangedRequestInterval when its demand has changed, else after
  // kSteadyRequestInterval.
  Instant NextRequestTime(Instant now) const;
  // The next request to the holder. Its loans are in force from now on, whether
  // the request arrives or not.
  BudgetRequest MakeRequest(Instant now);
  // Applies a reply. Ignores it and returns false if it is late, repeated, or
  // from a holder that is not the highest seen.
  bool OnReply(const BudgetReply& reply);

  // Used with BudgetTimes::voting; its messages are sent to the other members.
  ShareVotes& votes() { return votes_; }

  // When the static shares start to count.
  Instant hold_until() const { return hold_until_; }
  // Per cap: share, lent, granted, in use, demand, and their ages, as JSON.
  std::string Explain(Instant now) const;

 private:
  struct Loan {
    HolderId holder;
    // The number of the request that made the loan.
    uint64_t number = 0;
    int64_t units = 0;
    Instant end;
  };
  struct Grant {
    HolderId holder;
    uint64_t sequence = 0;
    int64_t units = 0;
    Instant requested_at;
    Instant end;
  };
  struct Entry {
    Cap cap;
    int64_t share = 0;
    // The greater share that applies from `grows_at` on.
    int64_t next_share = 0;
    Instant grows_at = Instant::Never();
    int64_t in_use = 0;
    int64_t demand = 0;
    // The demand at the last request.
    int64_t reported_demand = 0;
    std::vector<Loan> loans;
    std::optional<Grant> grant;
    // CapGrant::scarce of the last reply.
    bool scarce = false;

    // The units that the host wants to have, including a reserve if units are
    // not scarce.
    int64_t WantedUnits() const;
  };
  struct PendingRequest {
    uint64_t number = 0;
    Instant at;
  };

  static constexpr Duration kUrgentRequestInterval{25};
  static constexpr Duration kChangedRequestInterval{100};
  static constexpr Duration kSteadyRequestInterval{500};
  // The maximum number of requests whose replies are still accepted.
  static constexpr size_t kMaxPendingRequests = 16;
  // The maximum number of separate loans of one cap; the oldest are merged.
  static constexpr size_t kMaxLoans = 32;
  // The share of its own units that a host never lends, so that it can keep
  // serving when it is partitioned.
  static constexpr int64_t kMinKeptPercent = 25;

  int64_t Owned(const Entry& entry, Instant now) const;
  std::vector<RenouncedShare> Renounced(const Entry& entry, Instant now);
  void UpdateVoters();
  int64_t Lent(const Entry& entry, Instant now) const;
  int64_t Granted(const Entry& entry, Instant now) const;
  // Units to lend to the current holder in the next request.
  int64_t ChooseLoan(const Entry& entry, Instant now) const;
  void AddLoan(Entry* entry, int64_t units, Instant now) const;
  static void DropEnded(Entry* entry, Instant now);
  // Applies the grant for one cap from the reply to request `number`, which was
  // sent at `requested_at`.
  void ApplyGrant(const CapGrant& granted,
                  uint64_t number,
                  Instant requested_at,
                  Entry* entry);

  HostId host_;
  Incarnation incarnation_;
  BudgetTimes times_;
  Instant hold_until_;
  HolderId holder_;
  int64_t holder_stamp_ = 0;
  // When the newest request was sent that the holder has replied to.
  Instant last_answered_request_;
  // A grant was reduced and the next request, due soon, confirms it to the
  // holder.
  bool confirmation_pending_ = false;
  Instant last_request_ = Instant(-Duration::Max().ms());
  uint64_t number_ = 0;
  std::deque<PendingRequest> pending_requests_;
  std::map<CapId, Entry> entries_;
  ShareVotes votes_;
};

}  // namespace toucanknot

#endif  // INCLUDE_LIMITS_HOST_BUDGET_H_
