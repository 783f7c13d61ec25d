#include "include/placing/server_registry.h"

#include <algorithm>

namespace toucanknot {

void ServerRegistry::OnEntry(const ServerEntry& entry, Instant now) {
  const auto it = servers_.find(entry.id);
  const bool known = it != servers_.end();
  if (known) {
    const ServerEntry& old = it->second.entry;
    const bool older =
        entry.incarnation < old.incarnation ||
        (entry.incarnation == old.incarnation && entry.sequence < old.sequence);
    // A late write of an earlier incarnation, or an earlier heartbeat.
    if (older)
      return;
  }
  const bool restarted =
      known && it->second.entry.incarnation != entry.incarnation;
  const bool moved = known && it->second.entry.service != entry.service;
  Server& server = servers_[entry.id];
  const bool was_leaving = known && !restarted && server.entry.leaving;
  const int slots_before = server.entry.slots;
  if (moved)
    by_service_[server.entry.service].erase(entry.id);
  server.entry = entry;
  server.seen_at = now;
  server.lapses_at.reset();
  server.cold_until = now + entry.cold_left;
  if (!known || restarted)
    server.appeared_at = now;
  by_service_[entry.service][entry.id] = &server;
  // A heartbeat that changes nothing else leaves the views valid.
  if (!known || restarted || moved || entry.leaving != was_leaving ||
      entry.slots != slots_before) {
    ++version_;
  }
  if (!known)
    on_change_(ServerChange::kAppeared, server);
  else if (restarted)
    on_change_(ServerChange::kRestarted, server);
  if (entry.leaving && !was_leaving)
    on_change_(ServerChange::kLeaving, server);
  else if (!entry.leaving && was_leaving)
    on_change_(ServerChange::kReturned, server);
}

void ServerRegistry::OnRemoved(const ServerId& id, Instant now) {
  const auto it = servers_.find(id);
  if (it == servers_.end())
    return;
  Miss(it->second, now);
  if (*it->second.lapses_at <= now)
    Drop(it);
}

void ServerRegistry::OnListed(const std::set<ServerId>& ids, Instant now) {
  for (auto& [id, server] : servers_) {
    if (!ids.contains(id))
      Miss(server, now);
  }
  Advance(now);
}

void ServerRegistry::Miss(Server& server, Instant now) {
  if (server.lapses_at)
    return;
  // An entry that expired in an outage may come back. One that is removed while
  // the store is reachable will not, and neither will that of a leaving server.
  Instant until = now;
  if (!server.entry.leaving) {
    if (store_away_)
      until = now + kLapseGrace;
    else if (store_back_at_)
      until = std::max(now, *store_back_at_ + kLapseGrace);
  }
  server.lapses_at = until;
  if (until > now)
    on_change_(ServerChange::kLapsed, server);
}

void ServerRegistry::SetStoreAway(bool away, Instant heard_at, Instant now) {
  if (away == store_away_)
    return;
  store_away_ = away;
  if (away) {
    store_heard_at_ = heard_at;
    return;
  }
  const bool flaps = store_back_at_ && now - *store_back_at_ < kFlapping;
  const bool none_lapsed =
      static_cast<double>((now - store_heard_at_).ms()) <
      kSafeHeartbeats * static_cast<double>(heartbeat_.ms());
  if (!flaps && !none_lapsed)
    store_back_at_ = now;
}

void ServerRegistry::Restore(const ZoneId& zone, Instant now) {
  if (evacuated_.erase(zone) == 0)
    return;
  ++version_;
  for (auto& [id, server] : servers_) {
    if (server.entry.zone == zone)
      server.cold_until = std::max(server.cold_until, now + heartbeat_);
  }
}

void ServerRegistry::Advance(Instant now) {
  if (store_away_)
    return;
  for (auto it = servers_.begin(); it != servers_.end();) {
    const auto next = std::next(it);
    if (it->second.lapses_at && *it->second.lapses_at <= now)
      Drop(it);
    it = next;
  }
}

void ServerRegistry::Drop(std::map<ServerId, Server>::iterator it) {
  ++version_;
  const Server last = it->second;
  by_service_[last.entry.service].erase(it->first);
  servers_.erase(it);
  on_change_(ServerChange::kGone, last);
}

const ServerRegistry::Server* ServerRegistry::Find(const ServerId& id) const {
  const auto it = servers_.find(id);
  return it == servers_.end() ? nullptr : &it->second;
}

bool ServerRegistry::IsUsable(const ServerId& id) const {
  const Server* server = Find(id);
  return server != nullptr && TakesWork(*server);
}

std::vector<const ServerRegistry::Server*> ServerRegistry::Usable(
    const ServiceId& service) const {
  std::vector<const Server*> usable;
  const auto it = by_service_.find(service);
  if (it == by_service_.end())
    return usable;
  for (const auto& [id, server] : it->second) {
    if (TakesWork(*server))
      usable.push_back(server);
  }
  return usable;
}

}  // namespace toucanknot
