#include "include/once/witness_table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace toucanknot {

WitnessTable::WitnessTable(HostIncarnation self, Limits limits)
    : self_(std::move(self)), limits_(limits) {}

WitnessReply WitnessTable::Claim(const Ticket& ticket, Instant now) {
  OwnerEntry* owner =
      ticket.witness == self_ ? FindOrCreateOwner(ticket.owner, now) : nullptr;
  if (!owner || owner->closed)
    return WitnessReply::kVoided;
  const auto it = owner->tickets.find(ticket.sequence);
  if (it != owner->tickets.end()) {
    return it->second.reply == WitnessReply::kClaimed ? WitnessReply::kGranted
                                                      : WitnessReply::kVoided;
  }
  if (ticket.sequence <= owner->forgotten_mark)
    return WitnessReply::kVoided;
  SetReply(*owner, ticket.sequence, WitnessReply::kClaimed, now);
  return WitnessReply::kGranted;
}

void WitnessTable::RecordOutcome(const Ticket& ticket,
                                 Verdict verdict,
                                 Instant now) {
  const auto it = owners_.find(ticket.owner);
  if (it == owners_.end() || !it->second.tickets.contains(ticket.sequence))
    return;
  if (verdict == Verdict::kRan)
    SetReply(it->second, ticket.sequence, WitnessReply::kRan, now);
  if (verdict == Verdict::kNotRun)
    SetReply(it->second, ticket.sequence, WitnessReply::kVoided, now);
}

WitnessReply WitnessTable::Query(const Ticket& ticket, Instant now) {
  if (ticket.witness != self_ && !HasTakenOver(ticket.owner))
    return WitnessReply::kUnknown;
  OwnerEntry* owner = FindOrCreateOwner(ticket.owner, now);
  if (!owner)
    return WitnessReply::kUnknown;
  const auto it = owner->tickets.find(ticket.sequence);
  if (it != owner->tickets.end())
    return it->second.reply;
  if (ticket.sequence <= owner->forgotten_mark)
    return WitnessReply::kUnknown;
  if (!owner->closed)
    SetReply(*owner, ticket.sequence, WitnessReply::kVoided, now);
  return WitnessReply::kVoided;
}

void WitnessTable::TakeOver(const TicketHandoff& handoff, Instant now) {
  OwnerEntry* owner = FindOrCreateOwner(handoff.owner, now);
  if (!owner)
    return;
  owner->closed = true;
  owner->forgotten_mark =
      std::max(owner->forgotten_mark, handoff.forgotten_mark);
  std::set<uint64_t> listed;
  for (const auto& it : handoff.finished)
    listed.insert(it.run);
  // Claims that the owner did not use.
  for (auto& [sequence, entry] : owner->tickets) {
    if (sequence > handoff.forgotten_mark && !listed.contains(sequence))
      entry.reply = WitnessReply::kVoided;
  }
  for (const auto& it : handoff.finished) {
    SetReply(*owner, it.run,
             it.verdict == Verdict::kRan ? WitnessReply::kRan
                                         : WitnessReply::kClaimed,
             now);
  }
}

bool WitnessTable::HasTakenOver(const HostIncarnation& owner) const {
  const auto it = owners_.find(owner);
  return it != owners_.end() && it->second.closed;
}

void WitnessTable::Expire(Instant now) {
  for (auto it = owners_.begin(); it != owners_.end();) {
    OwnerEntry& owner = it->second;
    auto& tickets = owner.tickets;
    while (!tickets.empty() && tickets.begin()->second.forget_at <= now) {
      owner.forgotten_mark =
          std::max(owner.forgotten_mark, tickets.begin()->first);
      tickets.erase(tickets.begin());
    }
    if (tickets.empty() && owner.forget_at <= now) {
      Incarnation& mark = forgotten_[it->first.host];
      mark = std::max(mark, it->first.incarnation);
      it = owners_.erase(it);
    } else {
      ++it;
    }
  }
}

size_t WitnessTable::size() const {
  size_t n = 0;
  for (const auto& [incarnation, owner] : owners_)
    n += owner.tickets.size();
  return n;
}

WitnessTable::OwnerEntry* WitnessTable::FindOrCreateOwner(
    const HostIncarnation& owner,
    Instant now) {
  const auto it = owners_.find(owner);
  if (it != owners_.end())
    return &it->second;
  const auto mark = forgotten_.find(owner.host);
  if (mark != forgotten_.end() && owner.incarnation <= mark->second)
    return nullptr;
  OwnerEntry entry;
  entry.forget_at = now + limits_.keep_owner;
  return &owners_.emplace(owner, std::move(entry)).first->second;
}

void WitnessTable::SetReply(OwnerEntry& owner,
                            uint64_t sequence,
                            WitnessReply reply,
                            Instant now) {
  owner.tickets[sequence] = {reply, now + limits_.keep};
  owner.forget_at = now + limits_.keep_owner;
  while (owner.tickets.size() > limits_.max_records) {
    const auto oldest = owner.tickets.begin();
    owner.forgotten_mark = std::max(owner.forgotten_mark, oldest->first);
    owner.tickets.erase(oldest);
  }
}

}  // namespace toucanknot
