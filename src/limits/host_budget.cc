#include "include/limits/host_budget.h"

#include <algorithm>
#include <boost/json.hpp>
#include <limits>
#include <utility>

namespace toucanknot {
namespace {

// Whether a change of this many units justifies a request of its own.
bool IsNotable(int64_t change, int64_t share) {
  return change > std::max<int64_t>(share / 8, 1);
}

}  // namespace

int64_t HostBudget::Entry::WantedUnits() const {
  // A bit more than the demand, so that a small rise needs no request.
  return scarce ? demand : demand + demand / 8 + 1;
}

HostBudget::HostBudget(HostId host,
                       Incarnation incarnation,
                       BudgetTimes times,
                       Instant now)
    : host_(std::move(host)),
      incarnation_(incarnation),
      times_(times),
      hold_until_(now + times.AtLeast(std::max(times.loan, times.settle))),
      votes_(host_, incarnation, times, now) {}

void HostBudget::SetCaps(const std::vector<Cap>& caps,
                         Duration grow_after,
                         Instant now) {
  std::map<CapId, Entry> kept;
  for (const Cap& it : caps) {
    const int64_t share = it.StaticShare(host_);
    const auto old = entries_.find(it.id);
    if (old == entries_.end()) {
      kept[it.id] = Entry{.cap = it, .share = share};
      continue;
    }
    Entry entry = std::move(old->second);
    entry.cap = it;
    if (now >= entry.grows_at)
      entry.share = entry.next_share;
    const bool pending = entry.next_share == share && now < entry.grows_at;
    if (share <= entry.share) {
      entry.share = share;
      entry.grows_at = Instant::Never();
    } else if (!pending) {
      entry.next_share = share;
      entry.grows_at = now + grow_after;
    }
    kept[it.id] = std::move(entry);
  }
  entries_ = std::move(kept);
  UpdateVoters();
}

void HostBudget::UpdateVoters() {
  std::vector<HostId> voters;
  for (const auto& [id, it] : entries_) {
    if (ShareVotes::Participates(it.cap.members.size())) {
      voters.insert(voters.end(), it.cap.members.begin(), it.cap.members.end());
    }
  }
  votes_.SetMembers(voters);
}

void HostBudget::EndHold(Instant now) {
  hold_until_ = std::min(hold_until_, now);
  votes_.EndHold(now);
}

void HostBudget::SetUse(const CapId& cap, int64_t in_use, int64_t demand) {
  const auto it = entries_.find(cap);
  if (it == entries_.end())
    return;
  it->second.in_use = in_use;
  it->second.demand = std::max(in_use, demand);
}

int64_t HostBudget::Limit(const CapId& cap, Instant now) const {
  const auto it = entries_.find(cap);
  if (it == entries_.end())
    return 0;
  const Entry& entry = it->second;
  const int64_t own =
      std::max<int64_t>(Owned(entry, now) - Lent(entry, now), 0);
  return own + Granted(entry, now);
}

void HostBudget::OnHolder(const HolderId& holder) {
  if (holder <= holder_)
    return;
  holder_ = holder;
  holder_stamp_ = 0;
}

Instant HostBudget::NextRequestTime(Instant now) const {
  if (confirmation_pending_)
    return last_request_ + kUrgentRequestInterval;
  Duration wait = kSteadyRequestInterval;
  // Nothing can be lent before the first reply of the holder.
  if (holder_stamp_ == 0)
    wait = kChangedRequestInterval;
  for (const auto& [id, it] : entries_) {
    // While units are scarce, urgent requests would not get more.
    if (it.demand > Limit(id, now))
      return last_request_ +
             (it.scarce ? kChangedRequestInterval : kUrgentRequestInterval);
    const int64_t change = std::max(it.demand, it.reported_demand) -
                           std::min(it.demand, it.reported_demand);
    if (IsNotable(change, it.share))
      wait = kChangedRequestInterval;
  }
  return last_request_ + wait;
}

BudgetRequest HostBudget::MakeRequest(Instant now) {
  BudgetRequest request{.host = host_,
                        .incarnation = incarnation_,
                        .number = ++number_,
                        .holder = holder_,
                        .holder_stamp = holder_stamp_};
  for (auto& [id, entry] : entries_) {
    DropEnded(&entry, now);
    entry.reported_demand = entry.demand;
    const int64_t loan = ChooseLoan(entry, now);
    AddLoan(&entry, loan, now);
    const int64_t own =
        std::max<int64_t>(Owned(entry, now) - Lent(entry, now), 0);
    const bool followed = entry.grant && entry.grant->holder == holder_;
    request.uses.push_back(
        {.cap = id,
         .wanted = std::max<int64_t>(entry.WantedUnits() - own, 0),
         .needed = std::max<int64_t>(entry.demand - own, 0),
         .lent = loan,
         .followed = followed ? entry.grant->sequence : 0,
         .held = std::max<int64_t>(entry.in_use - own, 0),
         .renounced = Renounced(entry, now),
         .renouncers_needed =
             ShareVotes::RenouncersNeeded(entry.cap.members.size())});
  }
  last_request_ = now;
  confirmation_pending_ = false;
  pending_requests_.push_back({number_, now});
  if (pending_requests_.size() > kMaxPendingRequests)
    pending_requests_.pop_front();
  return request;
}

bool HostBudget::OnReply(const BudgetReply& reply) {
  if (reply.incarnation != incarnation_ || reply.holder < holder_)
    return false;
  const auto pending = std::find_if(
      pending_requests_.begin(), pending_requests_.end(),
      [&](const PendingRequest& it) { return it.number == reply.number; });
  if (pending == pending_requests_.end())
    return false;
  const Instant at = pending->at;
  pending_requests_.erase(pending);
  OnHolder(reply.holder);
  holder_stamp_ = std::max(holder_stamp_, reply.stamp);
  last_answered_request_ = std::max(last_answered_request_, at);
  for (const CapGrant& it : reply.grants) {
    const auto found = entries_.find(it.cap);
    if (found != entries_.end())
      ApplyGrant(it, reply.number, at, &found->second);
  }
  return true;
}

void HostBudget::ApplyGrant(const CapGrant& granted,
                            uint64_t number,
                            Instant requested_at,
                            Entry* entry) {
  for (Loan& it : entry->loans) {
    if (it.holder == holder_ && it.number <= number)
      it.units = std::min(it.units, granted.bound);
  }
  entry->scarce = granted.scarce;
  std::optional<Grant>& grant = entry->grant;
  if (grant && grant->holder == holder_ && grant->sequence >= granted.sequence)
    return;
  confirmation_pending_ |=
      grant && IsNotable(grant->units - granted.units, entry->share);
  grant = Grant{holder_, granted.sequence, granted.units, requested_at,
                requested_at + times_.grant};
}

int64_t HostBudget::Owned(const Entry& entry, Instant now) const {
  if (now < hold_until_)
    return 0;
  const int64_t share = now >= entry.grows_at ? entry.next_share : entry.share;
  const std::vector<HostId>& members = entry.cap.members;
  const bool may_use_all = !times_.voting ||
                           !ShareVotes::Participates(members.size()) ||
                           votes_.HasMajority(members, now);
  return may_use_all ? share : share - ShareVotes::TradedPart(share);
}

std::vector<RenouncedShare> HostBudget::Renounced(const Entry& entry,
                                                  Instant now) {
  std::vector<RenouncedShare> out;
  if (!times_.voting || holder_stamp_ == 0 ||
      !ShareVotes::Participates(entry.cap.members.size()))
    return out;
  for (const HostId& it : entry.cap.members) {
    const int64_t share = entry.cap.StaticShare(it);
    if (it != host_ && votes_.TryRenounce(it, holder_, now))
      out.push_back({it, ShareVotes::TradedPart(share)});
  }
  return out;
}

int64_t HostBudget::Lent(const Entry& entry, Instant now) const {
  // Loans to the same holder overlap, so the largest counts; loans to different
  // holders are separate units. Loans are sorted by holder.
  int64_t sum = 0;
  int64_t largest = 0;
  const HolderId* holder = nullptr;
  for (const Loan& it : entry.loans) {
    if (now >= it.end)
      continue;
    if (!holder || *holder != it.holder) {
      sum += largest;
      largest = 0;
      holder = &it.holder;
    }
    largest = std::max(largest, it.units);
  }
  return sum + largest;
}

int64_t HostBudget::Granted(const Entry& entry, Instant now) const {
  return entry.grant && now < entry.grant->end ? entry.grant->units : 0;
}

int64_t HostBudget::ChooseLoan(const Entry& entry, Instant now) const {
  // Without a recent reply, a loan would restrict this host but help nobody.
  if (holder_stamp_ == 0 || now - last_answered_request_ > times_.grant)
    return 0;
  int64_t lent_elsewhere = 0;
  for (const Loan& it : entry.loans) {
    if (now < it.end && it.holder != holder_)
      lent_elsewhere += it.units;
  }
  const int64_t owned = Owned(entry, now);
  const int64_t kept =
      std::max(entry.WantedUnits(), owned * kMinKeptPercent / 100);
  return std::max<int64_t>(owned - kept - lent_elsewhere, 0);
}

void HostBudget::AddLoan(Entry* entry, int64_t units, Instant now) const {
  if (units <= 0)
    return;
  std::vector<Loan>& loans = entry->loans;
  // The new loan ends last, so it supersedes every smaller loan to this holder.
  std::erase_if(loans, [&](const Loan& it) {
    return it.holder == holder_ && it.units <= units;
  });
  // Hosts only switch to a greater holder, so appending keeps the order.
  loans.push_back({holder_, number_, units, now + times_.loan});
  if (loans.size() <= kMaxLoans)
    return;
  Loan& second = loans[1];
  second.units = second.holder == loans[0].holder
                     ? std::max(second.units, loans[0].units)
                     : second.units + loans[0].units;
  // A merged loan has no request number of its own, so no reply reduces it.
  second.number = std::numeric_limits<uint64_t>::max();
  loans.erase(loans.begin());
}

void HostBudget::DropEnded(Entry* entry, Instant now) {
  std::erase_if(entry->loans, [&](const Loan& it) { return now >= it.end; });
  if (entry->grant && now >= entry->grant->end)
    entry->grant.reset();
}

std::string HostBudget::Explain(Instant now) const {
  boost::json::array caps;
  for (const auto& [id, entry] : entries_) {
    boost::json::object cap{
        {"cap", id.ToString()},           {"limit", Limit(id, now)},
        {"share", Owned(entry, now)},     {"lent", Lent(entry, now)},
        {"granted", Granted(entry, now)}, {"in_use", entry.in_use},
        {"demand", entry.demand}};
    if (entry.grant)
      cap["grant_age_ms"] = (now - entry.grant->requested_at).ms();
    caps.push_back(std::move(cap));
  }
  const boost::json::object out{
      {"holder", holder_.host.str()},
      {"epoch", holder_.epoch},
      {"hold_ms", std::max<int64_t>((hold_until_ - now).ms(), 0)},
      {"caps", std::move(caps)}};
  return boost::json::serialize(out);
}

}  // namespace toucanknot
