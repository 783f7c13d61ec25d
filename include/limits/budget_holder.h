#ifndef INCLUDE_LIMITS_BUDGET_HOLDER_H_
#define INCLUDE_LIMITS_BUDGET_HOLDER_H_

#include <cstdint>
#include <map>
#include <string>

#include "include/base/clock.h"
#include "include/base/ids.h"
#include "include/limits/budget_messages.h"
#include "include/limits/cap.h"
#include "include/limits/cap_ledger.h"

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
  // Units of lost hosts that may be granted now.
  int64_t Free(const CapId& cap, Instant now) const;
  // Per cap and host: lent, granted, wanted and their ages, as JSON.
  std::string Explain(Instant now) const;

 private:
  struct HostSeen {
    uint64_t number = 0;
    Instant heard;
  };

  // How often what has ended is dropped.
  static constexpr Duration kForgetEvery{1'000};

  void Forget(Instant now);
  const CapLedger* Find(const CapId& cap) const;

  HolderId id_;
  BudgetTimes times_;
  uint64_t sequence_ = 0;
  Instant forgotten_;
  std::map<HostKey, HostSeen> seen_;
  std::map<CapId, CapLedger> ledgers_;
};

}  // namespace toucanknot

#endif  // INCLUDE_LIMITS_BUDGET_HOLDER_H_
