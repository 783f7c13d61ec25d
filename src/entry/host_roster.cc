#include "include/entry/host_roster.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "include/placing/peer_loads.h"
#include "include/placing/service_view.h"

namespace toucanknot {
namespace {

// Callers with one address only would have to ask again when it fails; more
// would even the shares of strong and weak hosts out.
constexpr size_t kAddresses = 2;

}  // namespace

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

void HostRoster::SetStoreAway(bool away, Instant now) {
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

std::vector<Endpoint> HostRoster::AddressesFor(const RegionId& region,
                                               std::string_view caller) const {
  std::vector<const HostRecord*> in_region;
  std::vector<const HostRecord*> all;
  const auto add = [&](const HostRecord& record) {
    all.push_back(&record);
    if (RegionOf(record.zone) == region)
      in_region.push_back(&record);
  };
  if (self_ready_)
    add(self_);
  for (const auto& [id, host] : hosts_) {
    if (id != self_.host)
      add(host.record);
  }
  std::vector<std::pair<double, Endpoint>> order;
  for (const HostRecord* it : in_region.empty() ? all : in_region) {
    const uint64_t hash =
        XXH3_64bits_withSeed(caller.data(), caller.size(), HostKey(it->host));
    order.emplace_back(
        -std::log(UnitOf(hash)) / static_cast<double>(it->capacity),
        it->callers);
  }
  std::sort(order.begin(), order.end());
  std::vector<Endpoint> addresses;
  for (size_t i = 0; i < order.size() && i < kAddresses; ++i)
    addresses.push_back(order[i].second);
  return addresses;
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

std::vector<HostSeat> HostRoster::Seats() const {
  std::vector<HostSeat> out;
  out.reserve(hosts_.size());
  for (const auto& [id, host] : hosts_)
    out.push_back({HostKey(id), RegionOf(host.record.zone)});
  return out;
}

int HostRoster::HostsIn(const RegionId& region) const {
  const auto n =
      std::count_if(hosts_.begin(), hosts_.end(), [&](const auto& it) {
        return RegionOf(it.second.record.zone) == region;
      });
  return std::max(1, static_cast<int>(n));
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
