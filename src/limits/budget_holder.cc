#include "include/limits/budget_holder.h"

#include <boost/json.hpp>
#include <optional>
#include <utility>

namespace toucanknot {

BudgetHolder::BudgetHolder(HolderId id, BudgetTimes times)
    : id_(std::move(id)), times_(times) {}

BudgetReply BudgetHolder::HandleRequest(const BudgetRequest& request,
                                        Instant now) {
  BudgetReply reply{.holder = id_,
                    .stamp = now.ms() + 1,
                    .incarnation = request.incarnation,
                    .number = request.number};
  DropExpired(now);
  const HostKey host{request.host, request.incarnation};
  HostState& seen = hosts_[host];
  if (request.number <= seen.number)
    return reply;
  seen = {request.number, now};
  std::optional<Instant> loans_end;
  // The host sent the request after it had received the stamp, so its loans end
  // no earlier than this, however long the message was in transit.
  if (request.holder == id_ && request.holder_stamp > 0) {
    loans_end = Instant(request.holder_stamp - 1) + times_.AtMost(times_.loan);
  }
  for (const CapUse& it : request.uses) {
    CapLedger& ledger =
        ledgers_
            .try_emplace(it.cap, times_.AtLeast(times_.grant + times_.settle))
            .first->second;
    ledger.ApplyUse(host, it, loans_end, now);
    reply.grants.push_back(ledger.MakeGrant(host, it, ++sequence_, now));
  }
  return reply;
}

void BudgetHolder::DropExpired(Instant now) {
  if (now - last_expiry_ < kExpiryInterval)
    return;
  last_expiry_ = now;
  for (auto& [cap, ledger] : ledgers_)
    ledger.DropExpired(now);
  // A request that arrives this late cannot carry a loan that is still valid.
  std::erase_if(hosts_, [&](const auto& it) {
    return now - it.second.last_request_at > times_.AtLeast(times_.loan) * 2;
  });
}

const CapLedger* BudgetHolder::Find(const CapId& cap) const {
  const auto it = ledgers_.find(cap);
  return it == ledgers_.end() ? nullptr : &it->second;
}

int64_t BudgetHolder::Lent(const CapId& cap, Instant now) const {
  const CapLedger* ledger = Find(cap);
  return ledger ? ledger->LentUntil(now) : 0;
}

int64_t BudgetHolder::Granted(const CapId& cap, Instant now) const {
  const CapLedger* ledger = Find(cap);
  return ledger ? ledger->Granted(now) : 0;
}

int64_t BudgetHolder::Free(const CapId& cap, Instant now) const {
  const CapLedger* ledger = Find(cap);
  return ledger ? ledger->FreeUntil(now) : 0;
}

std::string BudgetHolder::Explain(Instant now) const {
  boost::json::array caps;
  for (const auto& [id, ledger] : ledgers_) {
    caps.push_back({{"cap", id.ToString()},
                    {"lent", ledger.LentUntil(now)},
                    {"granted", ledger.Granted(now)},
                    {"free_of_lost_hosts", ledger.FreeUntil(now)},
                    {"hosts", ledger.ExplainHosts(now)}});
  }
  return boost::json::serialize(
      boost::json::object{{"epoch", id_.epoch}, {"caps", std::move(caps)}});
}

}  // namespace toucanknot
