#include "include/limits/cap_ledger.h"

#include <algorithm>
#include <boost/json.hpp>
#include <limits>
#include <utility>

namespace toucanknot {
namespace {

// The maximum number of loans stored per host. Dropping a loan is safe: the
// holder then merely counts fewer units as lent.
constexpr size_t kMaxLoans = 32;

// The largest share per host, in whole units, such that no host gets more than
// it wants and the sum stays within `pool` (max-min fairness). Rounded up:
// hosts that ask first get the remainder.
int64_t FairLevel(std::vector<int64_t> wanted, int64_t pool) {
  std::sort(wanted.begin(), wanted.end());
  auto left = static_cast<int64_t>(wanted.size());
  for (const int64_t it : wanted) {
    if (it * left > pool)
      return (pool + left - 1) / left;
    pool -= it;
    --left;
  }
  // There is enough for all: a host whose demand has grown since may have more.
  return std::numeric_limits<int64_t>::max();
}

}  // namespace

void CapLedger::ApplyUse(const HostKey& host,
                         const CapUse& use,
                         std::optional<Instant> loans_end,
                         Instant now) {
  Account& account = accounts_[host];
  account.wanted = use.wanted;
  account.needed = use.needed;
  account.last_request_at = now;
  if (loans_end) {
    RecordLoan(use, *loans_end, &account);
    RecordFollowedGrant(use, &account);
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
  if (accounts_.size() <= kFewHosts || now - last_refresh_ >= kRefreshInterval)
    RecomputeSums(now);
  else
    UpdateSums(&account, now);
}

void CapLedger::RecordLoan(const CapUse& use, Instant end, Account* account) {
  if (use.lent <= 0)
    return;
  std::erase_if(account->loans, [&](const Loan& it) {
    return it.units <= use.lent && it.end <= end;
  });
  account->loans.push_back({use.lent, end});
  if (account->loans.size() > kMaxLoans)
    account->loans.erase(account->loans.begin());
}

void CapLedger::RecordFollowedGrant(const CapUse& use, Account* account) {
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
  const int64_t bound = ReleaseLoans(&account, use.lent, now);
  UpdateSums(&account, now);
  const int64_t pool = sum_.lent + free_;
  const int64_t others = sum_.granted - account.counted.granted;
  // Units that nobody wants stay in the pool, available to the next request. If
  // they were granted, they would have to be returned first.
  const int64_t part = std::min(account.wanted, fair_level_);
  const int64_t units =
      std::clamp<int64_t>(part, 0, std::max<int64_t>(pool - others, 0));
  account.grants.push_back({sequence, units, now + grant_span_});
  UpdateSums(&account, now);
  return {use.cap, sequence, units, bound, sum_.needed > pool};
}

int64_t CapLedger::ReleaseLoans(Account* account, int64_t lent, Instant now) {
  // Every grant ends by `sums_until_`. If loans that last until then cover all
  // grants, any other loans can be released.
  const int64_t lent_by_others = sum_.lent - account->counted.lent;
  const int64_t uncovered = sum_.granted - free_ - lent_by_others -
                            std::min(account->counted.lent, lent);
  const int64_t bound = lent + std::max<int64_t>(uncovered, 0);
  for (Loan& it : account->loans)
    it.units = std::min(it.units, bound);
  return account->LentUntil(now);
}

void CapLedger::RecomputeSums(Instant now) {
  const bool few = accounts_.size() <= kFewHosts;
  last_refresh_ = now;
  sums_until_ = now + grant_span_ + (few ? Duration() : kRefreshInterval);
  sum_ = Totals();
  free_ = FreeUntil(sums_until_);
  std::vector<int64_t> wanted;
  wanted.reserve(accounts_.size());
  for (auto& [host, it] : accounts_) {
    it.counted = Totals();
    UpdateSums(&it, now);
    if (now - it.last_request_at <= kSilentAfter)
      wanted.push_back(it.wanted);
  }
  fair_level_ = FairLevel(std::move(wanted), sum_.lent + free_);
}

void CapLedger::UpdateSums(Account* account, Instant now) {
  const bool silent = now - account->last_request_at > kSilentAfter;
  const Totals totals{account->LentUntil(sums_until_), account->Granted(now),
                      silent ? 0 : account->needed};
  sum_.lent += totals.lent - account->counted.lent;
  sum_.granted += totals.granted - account->counted.granted;
  sum_.needed += totals.needed - account->counted.needed;
  account->counted = totals;
}

void CapLedger::DropExpired(Instant now) {
  for (auto& [host, it] : accounts_) {
    std::erase_if(it.loans, [&](const Loan& l) { return now >= l.end; });
    std::erase_if(it.grants, [&](const Grant& g) { return now >= g.end; });
  }
  std::erase_if(accounts_, [&](const auto& it) {
    const Account& account = it.second;
    return account.loans.empty() && account.grants.empty() &&
           now - account.last_request_at > kSilentAfter;
  });
  for (auto& [member, it] : promises_)
    std::erase_if(it, [&](const Promise& p) { return now >= p.end; });
  std::erase_if(promises_, [](const auto& it) { return it.second.empty(); });
  RecomputeSums(now);
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
                     {"age_ms", (now - it.last_request_at).ms()}});
  }
  return hosts;
}

}  // namespace toucanknot
