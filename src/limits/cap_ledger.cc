#include "include/limits/cap_ledger.h"

#include <algorithm>
#include <boost/json.hpp>
#include <limits>
#include <utility>

namespace toucanknot {
namespace {

// Loans of one host kept apart. Dropping one is safe here: it only makes the
// holder count less.
constexpr size_t kMaxLoans = 32;

// The largest part that all `wanted` can have when each gets no more than it
// wants and `pool` is not passed (max-min fairness), in whole units. Rounded
// up: who asks first gets the odd unit.
int64_t FairLevel(std::vector<int64_t> wanted, int64_t pool) {
  std::sort(wanted.begin(), wanted.end());
  auto left = static_cast<int64_t>(wanted.size());
  for (const int64_t it : wanted) {
    if (it * left > pool)
      return (pool + left - 1) / left;
    pool -= it;
    --left;
  }
  // Enough for all: a host that wants more by now may have it.
  return std::numeric_limits<int64_t>::max();
}

}  // namespace

void CapLedger::Take(const HostKey& host,
                     const CapUse& use,
                     std::optional<Instant> loans_end,
                     Instant now) {
  Account& account = accounts_[host];
  account.wanted = use.wanted;
  account.needed = use.needed;
  account.heard = now;
  if (loans_end) {
    TakeLoans(use, *loans_end, &account);
    TakeFollowed(use, &account);
    renouncers_needed_ = std::max(renouncers_needed_, use.renouncers_needed);
    for (const RenouncedShare& it : use.renounced) {
      std::vector<Promise>& promises = promises_[it.member];
      const auto old =
          std::find_if(promises.begin(), promises.end(),
                       [&](const Promise& p) { return p.voter == host.host; });
      if (old == promises.end())
        promises.push_back({host.host, it.units, *loans_end});
      else
        *old = {host.host, it.units, std::max(old->end, *loans_end)};
    }
  }
  if (accounts_.size() <= kFewHosts || now - refreshed_ >= kRefreshEvery)
    Refresh(now);
  else
    Recount(&account, now);
}

void CapLedger::TakeLoans(const CapUse& use, Instant end, Account* account) {
  if (use.lent <= 0)
    return;
  std::erase_if(account->loans, [&](const Loan& it) {
    return it.units <= use.lent && it.end <= end;
  });
  account->loans.push_back({use.lent, end});
  if (account->loans.size() > kMaxLoans)
    account->loans.erase(account->loans.begin());
}

void CapLedger::TakeFollowed(const CapUse& use, Account* account) {
  const auto followed = std::find_if(
      account->grants.begin(), account->grants.end(),
      [&](const Grant& it) { return it.sequence == use.followed; });
  if (followed == account->grants.end())
    return;
  followed->units = std::max(followed->units, use.held);
  account->grants.erase(account->grants.begin(), followed);
}

CapGrant CapLedger::MakeGrant(const HostKey& host,
                              const CapUse& use,
                              uint64_t sequence,
                              Instant now) {
  Account& account = accounts_.at(host);
  const int64_t bound = Unbind(&account, use.lent, now);
  Recount(&account, now);
  const int64_t pool = sum_.lent + free_;
  const int64_t others = sum_.granted - account.counted.granted;
  // What nobody wants stays in the pool: it is at hand for whoever asks next,
  // while a grant would have to be taken back first.
  const int64_t part = std::min(account.wanted, fair_level_);
  const int64_t units =
      std::clamp<int64_t>(part, 0, std::max<int64_t>(pool - others, 0));
  account.grants.push_back({sequence, units, now + grant_span_});
  Recount(&account, now);
  return {use.cap, sequence, units, bound, sum_.needed > pool};
}

int64_t CapLedger::Unbind(Account* account, int64_t lent, Instant now) {
  // Every grant ends by `until_`: loans that last until then and cover all of
  // them make any others superfluous.
  const int64_t lent_by_others = sum_.lent - account->counted.lent;
  const int64_t uncovered = sum_.granted - free_ - lent_by_others -
                            std::min(account->counted.lent, lent);
  const int64_t bound = lent + std::max<int64_t>(uncovered, 0);
  for (Loan& it : account->loans)
    it.units = std::min(it.units, bound);
  return account->LentUntil(now);
}

void CapLedger::Refresh(Instant now) {
  const bool few = accounts_.size() <= kFewHosts;
  refreshed_ = now;
  until_ = now + grant_span_ + (few ? Duration() : kRefreshEvery);
  sum_ = Part();
  free_ = FreeUntil(until_);
  std::vector<int64_t> wanted;
  wanted.reserve(accounts_.size());
  for (auto& [host, it] : accounts_) {
    it.counted = Part();
    Recount(&it, now);
    if (now - it.heard <= kSilentAfter)
      wanted.push_back(it.wanted);
  }
  fair_level_ = FairLevel(std::move(wanted), sum_.lent + free_);
}

void CapLedger::Recount(Account* account, Instant now) {
  const bool silent = now - account->heard > kSilentAfter;
  const Part part{account->LentUntil(until_), account->Granted(now),
                  silent ? 0 : account->needed};
  sum_.lent += part.lent - account->counted.lent;
  sum_.granted += part.granted - account->counted.granted;
  sum_.needed += part.needed - account->counted.needed;
  account->counted = part;
}

void CapLedger::Forget(Instant now) {
  for (auto& [host, it] : accounts_) {
    std::erase_if(it.loans, [&](const Loan& l) { return now >= l.end; });
    std::erase_if(it.grants, [&](const Grant& g) { return now >= g.end; });
  }
  std::erase_if(accounts_, [&](const auto& it) {
    const Account& account = it.second;
    return account.loans.empty() && account.grants.empty() &&
           now - account.heard > kSilentAfter;
  });
  for (auto& [member, it] : promises_)
    std::erase_if(it, [&](const Promise& p) { return now >= p.end; });
  std::erase_if(promises_, [](const auto& it) { return it.second.empty(); });
  Refresh(now);
}

int64_t CapLedger::Account::LentUntil(Instant end) const {
  int64_t units = 0;
  for (const Loan& it : loans) {
    if (it.end >= end)
      units = std::max(units, it.units);
  }
  return units;
}

int64_t CapLedger::Account::Granted(Instant now) const {
  int64_t units = 0;
  for (const Grant& it : grants) {
    if (now < it.end)
      units = std::max(units, it.units);
  }
  return units;
}

int64_t CapLedger::LentUntil(Instant end) const {
  int64_t units = 0;
  for (const auto& [host, it] : accounts_)
    units += it.LentUntil(end);
  return units;
}

int64_t CapLedger::Granted(Instant now) const {
  int64_t units = 0;
  for (const auto& [host, it] : accounts_)
    units += it.Granted(now);
  return units;
}

int64_t CapLedger::FreeUntil(Instant end) const {
  int64_t sum = 0;
  for (const auto& [member, promises] : promises_) {
    size_t votes = 0;
    int64_t units = std::numeric_limits<int64_t>::max();
    for (const Promise& it : promises) {
      if (it.end < end)
        continue;
      ++votes;
      units = std::min(units, it.units);
    }
    if (votes > 0 && votes >= renouncers_needed_)
      sum += units;
  }
  return sum;
}

boost::json::array CapLedger::ExplainHosts(Instant now) const {
  boost::json::array hosts;
  for (const auto& [host, it] : accounts_) {
    hosts.push_back({{"host", host.host.str()},
                     {"incarnation", host.incarnation},
                     {"lent", it.LentUntil(now)},
                     {"granted", it.Granted(now)},
                     {"wanted", it.wanted},
                     {"age_ms", (now - it.heard).ms()}});
  }
  return hosts;
}

}  // namespace toucanknot
