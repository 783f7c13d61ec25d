#include "src/steering/host_table.h"

#include <algorithm>

namespace toucanknot {
namespace {

constexpr Duration kSuspension{1'000};

}  // namespace

HostTable::State& HostTable::Get(const HostId& host) {
  const auto it = std::find_if(states_.begin(), states_.end(),
                               [&](const State& s) { return s.id == host; });
  if (it != states_.end())
    return *it;
  states_.push_back({.id = host});
  return states_.back();
}

const HostTable::State* HostTable::Find(const HostId& host) const {
  const auto it = std::find_if(states_.begin(), states_.end(),
                               [&](const State& s) { return s.id == host; });
  return it == states_.end() ? nullptr : &*it;
}

bool HostTable::IsLive(const HostId& host) const {
  return std::find(live_.begin(), live_.end(), host) != live_.end();
}

void HostTable::SetLive(const std::vector<HostId>& live) {
  live_ = live;
  std::erase_if(states_, [&](const State& s) { return !IsLive(s.id); });
}

void HostTable::OnPeerLoad(const PeerLoad& load, Instant now) {
  State& state = Get(load.host);
  const Instant at = now - load.age;
  if (at < state.at)
    return;
  state = {.id = load.host,
           .waiting = load.waiting,
           .free_slots = load.free_slots,
           .slots = load.slots,
           .at = at};
}

void HostTable::OnForwarded(const HostId& host) {
  ++Get(host).forwarded;
}

void HostTable::Suspend(const HostId& host, Instant now) {
  Get(host).suspended_until = now + kSuspension;
}

std::vector<HostId> HostTable::Usable(Instant now) const {
  std::vector<HostId> usable;
  for (const HostId& it : live_) {
    const State* state = Find(it);
    if (!state || state->suspended_until <= now)
      usable.push_back(it);
  }
  return usable;
}

Instant HostTable::NextSuspensionEnd(Instant now) const {
  Instant next = Instant::Never();
  for (const State& it : states_) {
    if (it.suspended_until > now)
      next = std::min(next, it.suspended_until);
  }
  return next;
}

}  // namespace toucanknot
