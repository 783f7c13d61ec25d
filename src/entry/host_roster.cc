#include "include/entry/host_roster.h"

#include <algorithm>
#include <utility>

#include "include/placing/peer_loads.h"

namespace toucanknot {

void HostRoster::OnHost(const HostRecord& record, Instant) {
  hosts_[record.host] = {record, std::nullopt};
}

void HostRoster::OnRemoved(const HostId& host, Instant now) {
  const auto it = hosts_.find(host);
  if (it == hosts_.end())
    return;
  Miss(it->second, now);
  Advance(now);
}

void HostRoster::OnListed(const std::set<HostId>& hosts, Instant now) {
  for (auto& [id, host] : hosts_) {
    if (!hosts.contains(id))
      Miss(host, now);
  }
  Advance(now);
}

void HostRoster::Miss(Host& host, Instant now) {
  if (host.lapses_at)
    return;
  Instant until = now;
  if (store_back_at_)
    until = std::max(now, *store_back_at_ + kLapseGrace);
  host.lapses_at = until;
}

void HostRoster::SetStoreUnreachable(bool away, Instant now) {
  if (store_away_ && !away)
    store_back_at_ = now;
  store_away_ = away;
}

void HostRoster::Advance(Instant now) {
  if (store_away_)
    return;
  std::erase_if(hosts_, [&](const auto& it) {
    return it.second.lapses_at && *it.second.lapses_at <= now;
  });
}

RegionId HostRoster::RegionOf(const ZoneId& zone) const {
  const auto it = regions_.find(zone);
  return it == regions_.end() ? RegionId() : it->second;
}

std::vector<Endpoint> HostRoster::AddressesFor(
    const CallerLocation& caller) const {
  std::vector<HostCandidate> options;
  options.reserve(hosts_.size() + 1);
  if (self_ready_)
    options.push_back({&self_, RegionOf(self_.zone)});
  for (const auto& [id, host] : hosts_) {
    if (id != self_.host)
      options.push_back({&host.record, RegionOf(host.record.zone)});
  }
  const auto zones =
      std::count_if(regions_.begin(), regions_.end(),
                    [&](const auto& it) { return it.second == caller.region; });
  return ChooseHosts(options, caller, static_cast<int>(zones));
}

std::vector<Endpoint> HostRoster::Others(const RegionId& region,
                                         bool inside) const {
  std::vector<Endpoint> out;
  for (const auto& [id, host] : hosts_) {
    if (id != self_.host && (RegionOf(host.record.zone) == region) == inside)
      out.push_back(host.record.callers);
  }
  return out;
}

std::vector<FleetHost> HostRoster::Seats() const {
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
  if (n >= most_hosts_ || now - most_hosts_at_ > kCountMemory) {
    most_hosts_ = n;
    most_hosts_at_ = now;
  }
  return most_hosts_;
}

}  // namespace toucanknot
