#include "src/steering/fleet_view.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

#include "include/config/locations.h"

namespace toucanknot {
namespace {

// A host and its replacement may hold connections at the same time, so that the
// connections are divided for two incarnations of each host.
constexpr int kIncarnationsPerHost = 2;

// An even share of the server's connections for the host `own`; the remainder
// goes to the hosts with the greatest rendezvous weights.
int ConnectionShare(const std::vector<HostId>& hosts,
                    const HostId& own,
                    const BackendServer& server) {
  if (hosts.empty())
    return 0;
  const int parts = static_cast<int>(hosts.size()) * kIncarnationsPerHost;
  const int even = server.max_connections / parts;
  const int rest = server.max_connections % parts / kIncarnationsPerHost;
  const uint64_t weight = RendezvousWeight(own.str(), server.id.str());
  const auto before =
      std::count_if(hosts.begin(), hosts.end(), [&](const HostId& it) {
        return RendezvousWeight(it.str(), server.id.str()) > weight;
      });
  return even + (before < rest ? 1 : 0);
}

}  // namespace

uint64_t RendezvousWeight(std::string_view host, std::string_view key) {
  return XXH3_64bits_withSeed(host.data(), host.size(),
                              XXH3_64bits(key.data(), key.size()));
}

FleetView::FleetView(const FleetConfig& config,
                     const ServiceId& service,
                     const HostId& own,
                     int pool_slots,
                     int64_t unix_ms)
    : service_(service) {
  for (const Region& it : config.regions)
    regions_.push_back({.id = it.id});
  if (regions_.empty())
    regions_.emplace_back();
  const EntryHost* own_host = config.FindHost(own);
  const ZoneId own_zone = own_host ? own_host->zone : ZoneId();
  const RegionId own_region_id = config.RegionOf(own_zone);
  tunables_ =
      config.Resolve(own_host ? LocationOfService(config, *own_host, service)
                              : Scope{.service = service},
                     unix_ms);
  for (size_t i = 0; i < regions_.size(); ++i) {
    if (regions_[i].id == own_region_id)
      own_region_ = i;
    const Link* link = config.FindLink(own_region_id, regions_[i].id);
    regions_[i].one_way = link ? link->one_way : Duration();
    regions_[i].load_limit =
        config.Resolve(LocationOfRegion(regions_[i].id, service), unix_ms)
            .region_load_limit;
  }
  for (const EntryHost& it : config.hosts) {
    const RegionId region = config.RegionOf(it.zone);
    for (RegionView& region_view : regions_) {
      if (region_view.id == region)
        region_view.hosts.push_back(it.id);
    }
    if (config.Resolve(LocationOfHost(config, it), unix_ms).drain)
      draining_.push_back(it.id);
  }
  if (const Service* it = config.FindService(service))
    AddServers(config, *it, own, unix_ms);
  for (RegionView& it : regions_)
    MakePools(it, pool_slots);
  pool_of_.resize(own_region().servers.size());
  for (size_t pool = 0; pool < own_region().pools.size(); ++pool) {
    for (const size_t server : own_region().pools[pool].servers)
      pool_of_[server] = pool;
  }
  SetLive({own});
}

void FleetView::AddServers(const FleetConfig& config,
                           const Service& service,
                           const HostId& own,
                           int64_t unix_ms) {
  for (const BackendServer& it : service.servers) {
    const RegionId region = config.RegionOf(it.zone);
    for (RegionView& region_view : regions_) {
      if (region_view.id != region)
        continue;
      region_view.servers.push_back(
          {.id = it.id,
           .zone = it.zone,
           .slots = it.slots,
           .connection_share = ConnectionShare(region_view.hosts, own, it),
           .tunables = config.Resolve(LocationOfServer(config, service.id, it),
                                      unix_ms)});
    }
  }
}

void FleetView::MakePools(RegionView& region_view, int pool_slots) const {
  int slots = 0;
  for (const Server& it : region_view.servers)
    slots += it.slots;
  const int wanted = (slots + pool_slots - 1) / std::max(pool_slots, 1);
  const size_t n =
      std::clamp<size_t>(wanted, 1, region_view.servers.size() + 1);
  region_view.pools.resize(
      std::min(n, std::max<size_t>(region_view.servers.size(), 1)));
  for (size_t i = 0; i < region_view.servers.size(); ++i)
    region_view.pools[i % region_view.pools.size()].servers.push_back(i);
}

HostId FleetView::HomeOf(const RegionView& region_view, size_t pool) const {
  const std::string key = service_.str() + '/' + std::to_string(pool);
  HostId best;
  uint64_t best_weight = 0;
  bool best_drains = true;
  for (const HostId& it : region_view.live) {
    const bool drains =
        std::find(draining_.begin(), draining_.end(), it) != draining_.end();
    const uint64_t weight = RendezvousWeight(it.str(), key);
    const bool better = drains == best_drains ? weight > best_weight : !drains;
    if (best.empty() || better) {
      best = it;
      best_weight = weight;
      best_drains = drains;
    }
  }
  return best;
}

void FleetView::SetLive(const std::vector<HostId>& live) {
  for (RegionView& region_view : regions_) {
    region_view.live.clear();
    for (const HostId& it : region_view.hosts) {
      if (std::find(live.begin(), live.end(), it) != live.end())
        region_view.live.push_back(it);
    }
    for (size_t i = 0; i < region_view.pools.size(); ++i)
      region_view.pools[i].home = HomeOf(region_view, i);
  }
}

const FleetView::RegionView* FleetView::RegionOfHost(const HostId& host) const {
  for (const RegionView& it : regions_) {
    if (std::find(it.hosts.begin(), it.hosts.end(), host) != it.hosts.end())
      return &it;
  }
  return nullptr;
}

}  // namespace toucanknot
