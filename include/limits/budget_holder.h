#ifndef INCLUDE_LIMITS_BUDGET_HOLDER_H_
#define INCLUDE_LIMITS_BUDGET_HOLDER_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "include/base/clock.h"
#include "include/base/ids.h"
#include "include/limits/budget_messages.h"
#include "include/limits/cap.h"

namespace toucanknot {

// Divides what hosts have lent among the hosts that ask, by demand. Runs at
// whichever host has the budget lease; make a new object for every lease won.
//
// It starts with nothing: what was lent to an earlier holder comes back to its
// lenders only when those loans end, which is how a new holder waits out the
// grants of the one before. Two holders at once are safe, since no unit is
// lent to both.
class BudgetHolder {
 public:
  // `id` must never be used for two objects.
  BudgetHolder(HolderId id, BudgetTimes times);

  // Takes a host's figures and loans, and grants it its part. A request that
  // is older than one seen from the same incarnation gets a reply without
  // grants.
  BudgetReply Answer(const BudgetRequest& request, Instant now);

  const HolderId& id() const { return id_; }
  // Units lent and granted of `cap` now.
  int64_t Lent(const CapId& cap, Instant now) const;
  int64_t Granted(const CapId& cap, Instant now) const;
  // Per cap and host: lent, granted, wanted and their ages, as JSON.
  std::string Explain(Instant now) const;

 private:
  struct HostKey {
    HostId host;
    Incarnation incarnation = 0;
    auto operator<=>(const HostKey&) const = default;
  };
  struct Loan {
    int64_t units = 0;
    Instant end;
  };
  struct Grant {
    uint64_t sequence = 0;
    int64_t units = 0;
    // When the holder may hand its units to another.
    Instant end;
  };
  // One host's dealings in one cap.
  struct Account {
    std::vector<Loan> loans;
    std::vector<Grant> grants;
    int64_t wanted = 0;
    Instant heard;
  };
  using Accounts = std::map<HostKey, Account>;
  struct HostSeen {
    uint64_t number = 0;
    Instant heard;
  };

  // A host that has been silent for longer has no say in the division.
  static constexpr Duration kSilentAfter{3'000};

  void TakeUse(const CapUse& use,
               const BudgetRequest& request,
               Account* account,
               Instant now) const;
  // Gives loans back that `host` does not renew, as far as no grant rests on
  // them; returns what still binds it.
  static int64_t Unbind(Accounts* accounts,
                        const HostKey& host,
                        int64_t lent,
                        Instant end,
                        Instant now);
  // Units for `host`: its fair part of what is lent until `end`.
  int64_t Choose(const Accounts& accounts,
                 const HostKey& host,
                 Instant end,
                 Instant now) const;
  static int64_t LentUntil(const Account& account, Instant end);
  static int64_t Outstanding(const Account& account, Instant now);
  void Forget(Instant now);

  HolderId id_;
  BudgetTimes times_;
  uint64_t sequence_ = 0;
  std::map<HostKey, HostSeen> seen_;
  std::map<CapId, Accounts> caps_;
};

}  // namespace toucanknot

#endif  // INCLUDE_LIMITS_BUDGET_HOLDER_H_
