#ifndef SRC_STEERING_FLEET_VIEW_H_
#define SRC_STEERING_FLEET_VIEW_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "include/base/ids.h"
#include "include/config/fleet_config.h"

namespace toucanknot {

// One entry host's view of one service: the regions with their hosts and
// servers, and the home host of each server pool. The home is the only entry
// host that sends to a server as long as all hosts agree on which hosts are
// live.
class FleetView {
 public:
  struct Server {
    ServerId id;
    ZoneId zone;
    int slots = 0;
    // The maximum number of requests that this host may have open there, such
    // that all hosts of the region together stay within the server's connection
    // limit.
    int connection_share = 0;
    Tunables tunables;
  };
  struct Pool {
    // Indexes into RegionView::servers.
    std::vector<size_t> servers;
    // The pool's home host; empty when no host of the region is live.
    HostId home;
  };
  // A region with its hosts and servers.
  struct RegionView {
    RegionId id;
    std::vector<HostId> hosts;
    std::vector<HostId> live;
    std::vector<Server> servers;
    std::vector<Pool> pools;
    // One-way latency from the own region.
    Duration one_way;
    // Share of the slots up to which requests of other regions are accepted.
    double load_limit = 1;
  };

  FleetView(const FleetConfig& config,
            const ServiceId& service,
            const HostId& own,
            int pool_slots,
            int64_t unix_ms);

  // Sets the live hosts and recomputes the homes.
  void SetLive(const std::vector<HostId>& live);

  const RegionView& own_region() const { return regions_[own_region_]; }
  const std::vector<RegionView>& regions() const { return regions_; }
  // The index of the pool of a server of the own region.
  size_t PoolOf(size_t server) const { return pool_of_[server]; }
  // The settings in force for the service at the own host.
  const Tunables& tunables() const { return tunables_; }
  // Null when `host` is not configured.
  const RegionView* RegionOfHost(const HostId& host) const;

 private:
  void AddServers(const FleetConfig& config,
                  const Service& service,
                  const HostId& own,
                  int64_t unix_ms);
  void MakePools(RegionView& region, int pool_slots) const;
  HostId HomeOf(const RegionView& region, size_t pool) const;

  const ServiceId service_;
  std::vector<RegionView> regions_;
  size_t own_region_ = 0;
  std::vector<size_t> pool_of_;
  std::vector<HostId> draining_;
  Tunables tunables_;
};

// Rendezvous weight of `host` for `key`.
uint64_t RendezvousWeight(std::string_view host, std::string_view key);

}  // namespace toucanknot

#endif  // SRC_STEERING_FLEET_VIEW_H_
