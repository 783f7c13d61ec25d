#ifndef INCLUDE_ENTRY_FLEET_STORE_H_
#define INCLUDE_ENTRY_FLEET_STORE_H_

#include <functional>
#include <set>
#include <string>

#include "include/base/clock.h"
#include "include/base/ids.h"
#include "include/entry/host_record.h"
#include "include/placing/server_entry.h"
#include "include/routing/route_config.h"

namespace toucanknot {

// News from the platform's store, as it reaches this host. Hooks are called on
// the host's loop. After an outage or lost history the whole of a kind is read
// again and told by entry, then the ids that are there (`listed`).
struct FleetStoreListener {
  std::function<void(RouteConfigPtr)> config;
  std::function<void(const ZoneId&)> zone_evacuated;
  std::function<void(const ZoneId&)> zone_restored;
  std::function<void(const std::set<ZoneId>&)> evacuations_listed;
  std::function<void(const ServerEntry&)> server;
  std::function<void(const ServerId&)> server_removed;
  std::function<void(const std::set<ServerId>&)> servers_listed;
  std::function<void(const HostRecord&)> host;
  std::function<void(const HostId&)> host_removed;
  std::function<void(const std::set<HostId>&)> hosts_listed;
  // The store stopped answering this host, or answers again.
  std::function<void(bool away)> store_away;
};

// Calls to the store since the start.
struct FleetStoreCounts {
  uint64_t calls = 0;
  uint64_t failed = 0;
  uint64_t malformed_items = 0;
  // When the store last answered this host.
  Instant answered_at;
};

// The platform's store as an entry host uses it. All calls return at once;
// what they begin goes on over outages.
class FleetStore {
 public:
  virtual ~FleetStore() = default;

  // Begins to read and to follow what the store holds.
  virtual void Start(FleetStoreListener news) = 0;
  // Keeps this host's record in the store until it is withdrawn or the process
  // ends.
  virtual void Publish(const HostRecord& record) = 0;
  virtual void Withdraw() = 0;
  virtual FleetStoreCounts counts() const = 0;
};

}  // namespace toucanknot

#endif  // INCLUDE_ENTRY_FLEET_STORE_H_
