#ifndef SRC_CONFIG_CONFIG_INDEX_H_
#define SRC_CONFIG_CONFIG_INDEX_H_

#include <unordered_map>

#include "include/config/fleet_config.h"

namespace toucanknot {

// Finds the members of a configuration by id in constant time, for checks that
// visit thousands of members. The configuration must outlive the index. If
// several members have the same id, the first is found.
class ConfigIndex {
 public:
  struct Server {
    const Service* service = nullptr;
    const BackendServer* server = nullptr;
  };

  explicit ConfigIndex(const FleetConfig& config);

  bool HasRegion(const RegionId& id) const { return regions_.count(id) != 0; }
  bool HasZone(const ZoneId& id) const { return zones_.count(id) != 0; }
  // Empty when there is no such zone.
  RegionId RegionOf(const ZoneId& zone) const;
  // Null when there is none.
  const EntryHost* FindHost(const HostId& id) const;
  const Server* FindServer(const ServerId& id) const;

  // Same as the functions in include/config/locations.h.
  Scope LocationOf(const EntryHost& host) const;
  Scope LocationOf(const ServiceId& service, const BackendServer& server) const;

 private:
  std::unordered_map<RegionId, const Region*> regions_;
  std::unordered_map<ZoneId, RegionId> zones_;
  std::unordered_map<HostId, const EntryHost*> hosts_;
  std::unordered_map<ServerId, Server> servers_;
};

}  // namespace toucanknot

#endif  // SRC_CONFIG_CONFIG_INDEX_H_
