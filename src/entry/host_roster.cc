#include "include/entry/host_roster.h"

#include <algorithm>
#include <utility>

#include "include/placing/peer_loads.h"

namespace toucanknot {

void HostRoster::OnHost(const HostRecord& record, Instant now) {
  const auto removed = removed_.find(record.host);
  if (held_until_ && now < *held_until_ && removed != removed_.end() &&
      record.incarnation <= removed->second.incarnation) {
    held_[record.host] = record;
    return;
  }
  held_.erase(record.host);
  removed_.erase(record.host);
  hosts_[record.host] = {record, std::nullopt};
}

void HostRoster::OnStoreRestored(Instant now) {
  store_returned_at_ = now + kLeaseTime - kLapseGrace;
  held_until_ = now + kLeaseTime;
}

void HostRoster::OnRemoved(const HostId& host, Instant now) {
  held_.erase(host);
  const auto it = hosts_.find(host);
  if (it == hosts_.end())
    return;
  OnMissing(it->second, now);
  Advance(now);
}

void HostRoster::OnListed(const std::set<HostId>& hosts, Instant now) {
  std::erase_if(held_,
                [&](const auto& it) { return !hosts.contains(it.first); });
  for (auto& [id, host] : hosts_) {
    if (!hosts.contains(id))
      OnMissing(host, now);
  }
  Advance(now);
}

void HostRoster::OnMissing(Host& host, Instant now) {
  if (host.drop_at)
    return;
  Instant until = now;
  if (store_returned_at_)
    until = std::max(now, *store_returned_at_ + kLapseGrace);
  host.drop_at = until;
}

void HostRoster::SetStoreUnreachable(bool unreachable, Instant now) {
  if (store_unreachable_ && !unreachable)
    store_returned_at_ = now;
  store_unreachable_ = unreachable;
}

void HostRoster::Advance(Instant now) {
  if (store_unreachable_)
    return;
  if (held_until_ && now >= *held_until_) {
    for (const auto& [id, record] : std::exchange(held_, {}))
      hosts_[id] = {record, std::nullopt};
  }
  std::erase_if(removed_, [&](const auto& it) {
    return now - it.second.at > kRememberRemoved;
  });
  for (auto it = hosts_.begin(); it != hosts_.end();) {
    if (it->second.drop_at && *it->second.drop_at <= now) {
      removed_[it->first] = {it->second.record.incarnation, now};
      it = hosts_.erase(it);
    } else {
      ++it;
    }
  }
}

RegionId HostRoster::RegionOf(const ZoneId& zone) const {
  const auto it = regions_.find(zone);
  return it == regions_.end() ? RegionId() : it->second;
}

std::vector<Endpoint> HostRoster::AddressesFor(
    const CallerLocation& caller) const {
  std::vector<HostCandidate> candidates;
  candidates.reserve(hosts_.size() + 1);
  const bool others = hosts_.size() > hosts_.count(self_.host);
  if (self_ready_ && (self_proven_ || !others))
    candidates.push_back({&self_, RegionOf(self_.zone)});
  for (const auto& [id, host] : hosts_) {
    if (id != self_.host)
      candidates.push_back({&host.record, RegionOf(host.record.zone)});
  }
  const auto zones =
      std::count_if(regions_.begin(), regions_.end(),
                    [&](const auto& it) { return it.second == caller.region; });
  return ChooseHosts(candidates, caller, static_cast<int>(zones));
}

std::vector<Endpoint> HostRoster::PeerAddresses(const RegionId& region,
                                                bool inside) const {
  std::vector<Endpoint> out;
  for (const auto& [id, host] : hosts_) {
    if (id != self_.host && (RegionOf(host.record.zone) == region) == inside)
      out.push_back(host.record.callers);
  }
  return out;
}

std::vector<Endpoint> HostRoster::ZonePeerAddresses() const {
  std::vector<Endpoint> out;
  for (const auto& [id, host] : hosts_) {
    if (id != self_.host && host.record.zone == self_.zone)
      out.push_back(host.record.callers);
  }
  return out;
}

std::vector<FleetHost> HostRoster::FleetHosts() const {
  std::vector<FleetHost> out;
  out.reserve(hosts_.size());
  for (const auto& [id, host] : hosts_)
    out.push_back({HostKey(id), RegionOf(host.record.zone), host.record.zone,
                   static_cast<double>(host.record.capacity)});
  return out;
}

int HostRoster::HostCount(Instant now) {
  const int n =
      static_cast<int>(hosts_.size()) + (hosts_.contains(self_.host) ? 0 : 1);
  if (n >= max_hosts_ || now - max_hosts_at_ > kCountMemory) {
    max_hosts_ = n;
    max_hosts_at_ = now;
  }
  return max_hosts_;
}

}  // namespace toucanknot
