#include "src/steering/fleet_view.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

#include "include/config/locations.h"

namespace toucanknot {
namespace {

// A host and its replacement may hold connections at the same time.
constexpr int kLivesPerHost = 2;

// The part of `connections` that belongs to the host `own`: an even share,
// and the remainder to the first hosts in rendezvous order.
int ConnectionShare(const std::vector<HostId>& hosts,
                    const HostId& own,
                    const BackendServer& server) {
  if (hosts.empty())
    return 0;
  const int parts = static_cast<int>(hosts.size()) * kLivesPerHost;
  const int even = server.max_connections / parts;
  const int rest = server.max_connections % parts / kLivesPerHost;
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
    places_.push_back({.id = it.id});
  if (places_.empty())
    places_.emplace_back();
  const EntryHost* own_host = config.FindHost(own);
  const ZoneId own_zone = own_host ? own_host->zone : ZoneId();
  const RegionId own_region = config.RegionOf(own_zone);
  tunables_ =
      config.Resolve(own_host ? LocationOfService(config, *own_host, service)
                              : Scope{.service = service},
                     unix_ms);
  for (size_t i = 0; i < places_.size(); ++i) {
    if (places_[i].id == own_region)
      own_place_ = i;
    const Link* link = config.FindLink(own_region, places_[i].id);
    places_[i].one_way = link ? link->one_way : Duration();
    places_[i].load_limit =
        config.Resolve(LocationOfRegion(places_[i].id, service), unix_ms)
            .region_load_limit;
  }
  for (const EntryHost& it : config.hosts) {
    const RegionId region = config.RegionOf(it.zone);
    for (Place& place : places_) {
      if (place.id == region)
        place.hosts.push_back(it.id);
    }
    if (config.Resolve(LocationOfHost(config, it), unix_ms).drain)
      draining_.push_back(it.id);
  }
  if (const Service* it = config.FindService(service))
    AddServers(config, *it, own, unix_ms);
  for (Place& it : places_)
    MakePools(it, pool_slots);
  pool_of_.resize(own_place().servers.size());
  for (size_t pool = 0; pool < own_place().pools.size(); ++pool) {
    for (const size_t server : own_place().pools[pool].servers)
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
    for (Place& place : places_) {
      if (place.id != region)
        continue;
      place.servers.push_back(
          {.id = it.id,
           .zone = it.zone,
           .slots = it.slots,
           .connection_share = ConnectionShare(place.hosts, own, it),
           .tunables = config.Resolve(LocationOfServer(config, service.id, it),
                                      unix_ms)});
    }
  }
}

void FleetView::MakePools(Place& place, int pool_slots) const {
  int slots = 0;
  for (const Server& it : place.servers)
    slots += it.slots;
  const int wanted = (slots + pool_slots - 1) / std::max(pool_slots, 1);
  const size_t n = std::clamp<size_t>(wanted, 1, place.servers.size() + 1);
  place.pools.resize(std::min(n, std::max<size_t>(place.servers.size(), 1)));
  for (size_t i = 0; i < place.servers.size(); ++i)
    place.pools[i % place.pools.size()].servers.push_back(i);
}

HostId FleetView::HomeOf(const Place& place, size_t pool) const {
  const std::string key = service_.str() + '/' + std::to_string(pool);
  HostId best;
  uint64_t best_weight = 0;
  bool best_drains = true;
  for (const HostId& it : place.live) {
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
  for (Place& place : places_) {
    place.live.clear();
    for (const HostId& it : place.hosts) {
      if (std::find(live.begin(), live.end(), it) != live.end())
        place.live.push_back(it);
    }
    for (size_t i = 0; i < place.pools.size(); ++i)
      place.pools[i].home = HomeOf(place, i);
  }
}

const FleetView::Place* FleetView::PlaceOf(const HostId& host) const {
  for (const Place& it : places_) {
    if (std::find(it.hosts.begin(), it.hosts.end(), host) != it.hosts.end())
      return &it;
  }
  return nullptr;
}

}  // namespace toucanknot
