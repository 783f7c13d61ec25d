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

// Grants the units that hosts have lent to the requesting hosts, by demand.
// Runs at the host that owns the budget lease; create a new object each time
// the lease is acquired.
//
// It starts without units: units lent to an earlier holder return to their
// lenders only when those loans end, so that a new holder cannot grant them
// while grants of the earlier holder are still valid. Two holders at the same
// time are safe, since no unit is lent to both.
class BudgetHolder {
 public:
  // `id` must be unique among all holders ever created.
  BudgetHolder(HolderId id, BudgetTimes times);

  // Records a host's demand and loans, and grants it its share. A request that
  // is not newer than the last one from the same incarnation gets a reply
  // without grants.
  BudgetReply HandleRequest(const BudgetRequest& request, Instant now);

  const HolderId& id() const { return id_; }
  // Units of `cap` that are currently lent to the holder, and granted by it.
  int64_t Lent(const CapId& cap, Instant now) const;
  int64_t Granted(const CapId& cap, Instant now) const;
  // Units of unreachable hosts that may be granted now; see ShareVotes.
  int64_t Free(const CapId& cap, Instant now) const;
  // Per cap and host: units lent, granted and wanted, and their age, as JSON.
  std::string Explain(Instant now) const;

 private:
  struct HostState {
    uint64_t number = 0;
    Instant last_request_at;
  };

  // How often expired state is dropped.
  static constexpr Duration kExpiryInterval{1'000};

  void DropExpired(Instant now);
  const CapLedger* Find(const CapId& cap) const;

  HolderId id_;
  BudgetTimes times_;
  uint64_t sequence_ = 0;
  Instant last_expiry_;
  std::map<HostKey, HostState> hosts_;
  std::map<CapId, CapLedger> ledgers_;
};

}  // namespace toucanknot

#endif  // INCLUDE_LIMITS_BUDGET_HOLDER_H_
