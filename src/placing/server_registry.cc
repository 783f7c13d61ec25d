#include "include/placing/server_registry.h"

#include <algorithm>

namespace toucanknot {

bool ServerRegistry::IsIgnored(const ServerEntry& entry, Instant now) const {
  const auto it = servers_.find(entry.id);
  if (it == servers_.end()) {
    const auto removed = removed_.find(entry.id);
    if (removed == removed_.end())
      return false;
    const Removed& last = removed->second;
    if (entry.incarnation < last.incarnation)
      return IsBeingRewritten(now);
    return entry.incarnation == last.incarnation &&
           (last.leaving || entry.sequence <= last.sequence);
  }
  const ServerEntry& old = it->second.entry;
  const bool same = entry.incarnation == old.incarnation;
  const bool foreign =
      same && (entry.service != old.service || entry.zone != old.zone ||
               entry.endpoint != old.endpoint);
  const bool older = entry.incarnation < old.incarnation ||
                     (same && entry.sequence < old.sequence);
  if (!foreign && !older)
    return false;
  const bool stale = static_cast<double>((now - it->second.seen_at).ms()) >=
                     kStaleHeartbeats * static_cast<double>(heartbeat_.ms());
  // One earlier heartbeat of the same server is a late write.
  if (same && !foreign)
    return !stale || old.leaving || it->second.ignored_sequence == 0 ||
           entry.sequence <= it->second.ignored_sequence;
  return !stale;
}

void ServerRegistry::ForgetRemoved(Instant now) {
  std::erase_if(removed_, [&](const auto& it) {
    return now - it.second.at > kRememberRemoved;
  });
  if (removed_.size() < kMaxRemoved)
    return;
  removed_.erase(std::min_element(
      removed_.begin(), removed_.end(),
      [](const auto& a, const auto& b) { return a.second.at < b.second.at; }));
}

void ServerRegistry::OnEntry(const ServerEntry& entry, Instant now) {
  const auto it = servers_.find(entry.id);
  const bool known = it != servers_.end();
  if (IsIgnored(entry, now)) {
    if (known)
      it->second.ignored_sequence = entry.sequence;
    return;
  }
  removed_.erase(entry.id);
  const bool restarted =
      known && it->second.entry.incarnation != entry.incarnation;
  const bool moved = known && it->second.entry.service != entry.service;
  Server& server = servers_[entry.id];
  const bool was_leaving = known && !restarted && server.entry.leaving;
  const int slots_before = server.entry.slots;
  if (moved) {
    const auto service = by_service_.find(server.entry.service);
    service->second.erase(entry.id);
    if (service->second.empty())
      by_service_.erase(service);
  }
  server.entry = entry;
  server.ignored_sequence = 0;
  server.seen_at = now;
  server.drop_at.reset();
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
  OnMissing(it->second, now);
  if (*it->second.drop_at <= now)
    Remove(it, now);
}

void ServerRegistry::OnListed(const std::set<ServerId>& ids, Instant now) {
  for (auto& [id, server] : servers_) {
    if (!ids.contains(id))
      OnMissing(server, now);
  }
  Advance(now);
}

void ServerRegistry::OnLeavingResponse(const ServerId& id,
                                       Incarnation incarnation) {
  const auto known = leaving_.find(id);
  if (known != leaving_.end() && known->second == incarnation)
    return;
  if (leaving_.size() >= kMaxLeaving) {
    std::erase_if(leaving_,
                  [&](const auto& it) { return !servers_.contains(it.first); });
  }
  leaving_[id] = incarnation;
  ++version_;
  const auto it = servers_.find(id);
  if (it != servers_.end() && it->second.entry.incarnation == incarnation)
    on_change_(ServerChange::kLeaving, it->second);
}

bool ServerRegistry::IsLeaving(const Server& server) const {
  if (leaving_.empty())
    return false;
  const auto it = leaving_.find(server.entry.id);
  return it != leaving_.end() && it->second == server.entry.incarnation;
}

void ServerRegistry::OnMissing(Server& server, Instant now) {
  if (server.drop_at)
    return;
  // An entry that expired in an outage may come back. One that is removed while
  // the store is reachable will not, and neither will that of a leaving server.
  Instant until = now;
  if (!server.entry.leaving) {
    if (store_unreachable_)
      until = now + kLapseGrace;
    else if (store_returned_at_)
      until = std::max(now, *store_returned_at_ + kLapseGrace);
  }
  server.drop_at = until;
  if (until > now)
    on_change_(ServerChange::kLapsed, server);
}

void ServerRegistry::SetStoreUnreachable(bool unreachable,
                                         Instant last_response_at,
                                         Instant now) {
  if (unreachable == store_unreachable_)
    return;
  store_unreachable_ = unreachable;
  if (unreachable) {
    store_last_response_at_ = last_response_at;
    return;
  }
  const bool flapping =
      store_returned_at_ && now - *store_returned_at_ < kFlapWindow;
  const bool none_expired =
      static_cast<double>((now - store_last_response_at_).ms()) <
      kSafeHeartbeats * static_cast<double>(heartbeat_.ms());
  if (!flapping && !none_expired)
    store_returned_at_ = now;
}

void ServerRegistry::OnStoreRestored(Instant now) {
  store_returned_at_ = now;
  rewritten_at_ = now + kRewriteTime;
  // None could be renewed while the store was away.
  for (auto& [id, server] : servers_)
    server.seen_at = now;
}

void ServerRegistry::Restore(const ZoneId& zone, Instant now) {
  unlisted_evacuations_.erase(zone);
  if (evacuated_.erase(zone) == 0)
    return;
  ++version_;
  for (auto& [id, server] : servers_) {
    if (server.entry.zone == zone)
      server.cold_until = std::max(server.cold_until, now + heartbeat_);
  }
}

void ServerRegistry::OnEvacuationsListed(const std::set<ZoneId>& zones,
                                         Instant now) {
  const std::set<ZoneId> before = evacuated_;
  for (const ZoneId& it : zones)
    Evacuate(it);
  for (const ZoneId& it : before) {
    if (zones.contains(it))
      continue;
    if (IsBeingRewritten(now))
      unlisted_evacuations_.insert(it);
    else
      Restore(it, now);
  }
}

void ServerRegistry::Advance(Instant now) {
  if (store_unreachable_)
    return;
  if (!unlisted_evacuations_.empty() && !IsBeingRewritten(now)) {
    for (const ZoneId& it : std::set<ZoneId>(unlisted_evacuations_))
      Restore(it, now);
  }
  for (auto it = servers_.begin(); it != servers_.end();) {
    const auto next = std::next(it);
    if (it->second.drop_at && *it->second.drop_at <= now)
      Remove(it, now);
    it = next;
  }
}

void ServerRegistry::Remove(std::map<ServerId, Server>::iterator it,
                            Instant now) {
  ++version_;
  const Server last = it->second;
  ForgetRemoved(now);
  removed_[last.entry.id] = {last.entry.incarnation, last.entry.sequence,
                             last.entry.leaving || IsLeaving(last), now};
  const auto service = by_service_.find(last.entry.service);
  service->second.erase(it->first);
  if (service->second.empty())
    by_service_.erase(service);
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

std::vector<const ServerRegistry::Server*> ServerRegistry::UsableServers(
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
