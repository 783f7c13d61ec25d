#ifndef SRC_STEERING_FLEET_VIEW_H_
#define SRC_STEERING_FLEET_VIEW_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "include/base/ids.h"
#include "include/config/fleet_config.h"

namespace toucanknot {

// One service as one entry host sees it: regions, their hosts and servers, and
// the homes of the servers. A home is the entry host that sends to a server
// while all hosts agree on which hosts live.
class FleetView {
 public:
  struct Server {
    ServerId id;
    ZoneId zone;
    int slots = 0;
    // The most requests that this host may have open there, so that the
    // hosts of the region together stay under the server's connections.
    int connection_share = 0;
    Tunables tunables;
  };
  struct Pool {
    // Indexes into Place::servers.
    std::vector<size_t> servers;
    // The live host that is the pool's home; empty when none lives.
    HostId home;
  };
  // A region.
  struct Place {
    RegionId id;
    std::vector<HostId> hosts;
    std::vector<HostId> live;
    std::vector<Server> servers;
    std::vector<Pool> pools;
    // One way from the own region.
    Duration one_way;
    // Share of the slots up to which work from other regions is taken.
    double load_limit = 1;
  };

  FleetView(const FleetConfig& config,
            const ServiceId& service,
            const HostId& own,
            int pool_slots,
            int64_t unix_ms);

  // Recomputes the homes.
  void SetLive(const std::vector<HostId>& live);

  const Place& own_place() const { return places_[own_place_]; }
  const std::vector<Place>& places() const { return places_; }
  // The pool of a server of the own region.
  size_t PoolOf(size_t server) const { return pool_of_[server]; }
  // Values in force for the service at the own host.
  const Tunables& tunables() const { return tunables_; }
  // Null when `host` is not configured.
  const Place* PlaceOf(const HostId& host) const;

 private:
  void AddServers(const FleetConfig& config,
                  const Service& service,
                  const HostId& own,
                  int64_t unix_ms);
  void MakePools(Place& place, int pool_slots) const;
  HostId HomeOf(const Place& place, size_t pool) const;

  const ServiceId service_;
  std::vector<Place> places_;
  size_t own_place_ = 0;
  std::vector<size_t> pool_of_;
  std::vector<HostId> draining_;
  Tunables tunables_;
};

// Rendezvous weight of `host` for `key`.
uint64_t RendezvousWeight(std::string_view host, std::string_view key);

}  // namespace toucanknot

#endif  // SRC_STEERING_FLEET_VIEW_H_
