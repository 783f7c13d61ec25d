#include "include/limits/budget_holder.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

namespace toucanknot {
namespace {

// Loans of one host and cap kept apart. Dropping one is safe here: it only
// makes the holder count less.
constexpr size_t kMaxLoans = 32;

// The largest part that all `wanted` can have when each gets no more than it
// wants and `pool` is not passed (max-min fairness), in whole units.
int64_t FairLevel(std::vector<int64_t> wanted, int64_t pool) {
  std::sort(wanted.begin(), wanted.end());
  auto left = static_cast<int64_t>(wanted.size());
  for (const int64_t it : wanted) {
    if (it * left > pool)
      return pool / left;
    pool -= it;
    --left;
  }
  return wanted.empty() ? pool : wanted.back();
}

}  // namespace

BudgetHolder::BudgetHolder(HolderId id, BudgetTimes times)
    : id_(std::move(id)), times_(times) {}

BudgetReply BudgetHolder::Answer(const BudgetRequest& request, Instant now) {
  BudgetReply reply{.holder = id_,
                    .stamp = now.ms() + 1,
                    .incarnation = request.incarnation,
                    .number = request.number};
  Forget(now);
  const HostKey host{request.host, request.incarnation};
  HostSeen& seen = seen_[host];
  if (request.number <= seen.number)
    return reply;
  seen = {request.number, now};
  const Instant end = now + times_.AtLeast(times_.grant + times_.settle);
  for (const CapUse& it : request.uses) {
    Accounts& accounts = caps_[it.cap];
    Account& account = accounts[host];
    TakeUse(it, request, &account, now);
    const int64_t bound = Unbind(&accounts, host, it.lent, end, now);
    const int64_t units = Choose(accounts, host, end, now);
    account.grants.push_back({++sequence_, units, end});
    reply.grants.push_back({it.cap, sequence_, units, bound});
  }
  return reply;
}

void BudgetHolder::TakeUse(const CapUse& use,
                           const BudgetRequest& request,
                           Account* account,
                           Instant now) const {
  account->wanted = use.wanted;
  account->heard = now;
  if (request.holder != id_ || request.holder_stamp == 0)
    return;
  if (use.lent > 0) {
    // The host spoke after it had received the stamp, so its promise ends no
    // sooner than this, whatever the way took.
    const Instant end =
        Instant(request.holder_stamp - 1) + times_.AtMost(times_.loan);
    std::erase_if(account->loans, [&](const Loan& it) {
      return it.units <= use.lent && it.end <= end;
    });
    account->loans.push_back({use.lent, end});
    if (account->loans.size() > kMaxLoans)
      account->loans.erase(account->loans.begin());
  }
  const auto followed = std::find_if(
      account->grants.begin(), account->grants.end(),
      [&](const Grant& it) { return it.sequence == use.followed; });
  if (followed == account->grants.end())
    return;
  followed->units = std::max(followed->units, use.held);
  account->grants.erase(account->grants.begin(), followed);
}

int64_t BudgetHolder::Unbind(Accounts* accounts,
                             const HostKey& host,
                             int64_t lent,
                             Instant end,
                             Instant now) {
  // Every grant ends by `end`: loans that last until then and cover all of
  // them make any others superfluous.
  Account& account = accounts->at(host);
  int64_t uncovered = -std::min(LentUntil(account, end), lent);
  for (const auto& [key, it] : *accounts) {
    uncovered += Outstanding(it, now);
    if (key != host)
      uncovered -= LentUntil(it, end);
  }
  const int64_t bound = lent + std::max<int64_t>(uncovered, 0);
  for (Loan& it : account.loans)
    it.units = std::min(it.units, bound);
  return LentUntil(account, now);
}

int64_t BudgetHolder::Choose(const Accounts& accounts,
                             const HostKey& host,
                             Instant end,
                             Instant now) const {
  int64_t pool = 0;
  int64_t others = 0;
  int64_t all_wanted = 0;
  std::vector<int64_t> wanted;
  for (const auto& [key, it] : accounts) {
    pool += LentUntil(it, end);
    if (key != host)
      others += Outstanding(it, now);
    if (now - it.heard > kSilentAfter)
      continue;
    wanted.push_back(it.wanted);
    all_wanted += it.wanted;
  }
  const auto n = static_cast<int64_t>(wanted.size());
  const int64_t own = accounts.at(host).wanted;
  int64_t part = std::min(own, FairLevel(std::move(wanted), pool));
  // What nobody wants is spread evenly, so that a sudden rise meets it.
  if (pool > all_wanted)
    part = own + (pool - all_wanted) / n;
  return std::clamp<int64_t>(part, 0, std::max<int64_t>(pool - others, 0));
}

int64_t BudgetHolder::LentUntil(const Account& account, Instant end) {
  int64_t units = 0;
  for (const Loan& it : account.loans) {
    if (it.end >= end)
      units = std::max(units, it.units);
  }
  return units;
}

int64_t BudgetHolder::Outstanding(const Account& account, Instant now) {
  int64_t units = 0;
  for (const Grant& it : account.grants) {
    if (now < it.end)
      units = std::max(units, it.units);
  }
  return units;
}

void BudgetHolder::Forget(Instant now) {
  for (auto& [cap, accounts] : caps_) {
    for (auto& [host, it] : accounts) {
      std::erase_if(it.loans, [&](const Loan& l) { return now >= l.end; });
      std::erase_if(it.grants, [&](const Grant& g) { return now >= g.end; });
    }
    std::erase_if(accounts, [&](const auto& it) {
      const Account& account = it.second;
      return account.loans.empty() && account.grants.empty() &&
             now - account.heard > kSilentAfter;
    });
  }
  // A request can't arrive this late and still bring a loan that counts.
  std::erase_if(seen_, [&](const auto& it) {
    return now - it.second.heard > times_.AtLeast(times_.loan) * 2;
  });
}

int64_t BudgetHolder::Lent(const CapId& cap, Instant now) const {
  const auto accounts = caps_.find(cap);
  if (accounts == caps_.end())
    return 0;
  int64_t units = 0;
  for (const auto& [host, it] : accounts->second)
    units += LentUntil(it, now);
  return units;
}

int64_t BudgetHolder::Granted(const CapId& cap, Instant now) const {
  const auto accounts = caps_.find(cap);
  if (accounts == caps_.end())
    return 0;
  int64_t units = 0;
  for (const auto& [host, it] : accounts->second)
    units += Outstanding(it, now);
  return units;
}

std::string BudgetHolder::Explain(Instant now) const {
  boost::json::array caps;
  for (const auto& [id, accounts] : caps_) {
    boost::json::array hosts;
    for (const auto& [host, it] : accounts) {
      hosts.push_back({{"host", host.host.str()},
                       {"incarnation", host.incarnation},
                       {"lent", LentUntil(it, now)},
                       {"granted", Outstanding(it, now)},
                       {"wanted", it.wanted},
                       {"age_ms", (now - it.heard).ms()}});
    }
    caps.push_back({{"cap", id.ToString()},
                    {"lent", Lent(id, now)},
                    {"granted", Granted(id, now)},
                    {"hosts", std::move(hosts)}});
  }
  return boost::json::serialize(
      boost::json::object{{"epoch", id_.epoch}, {"caps", std::move(caps)}});
}

}  // namespace toucanknot
