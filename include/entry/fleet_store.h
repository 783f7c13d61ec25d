#ifndef INCLUDE_ENTRY_FLEET_STORE_H_
#define INCLUDE_ENTRY_FLEET_STORE_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <string>

#include "include/base/clock.h"
#include "include/base/ids.h"
#include "include/entry/host_record.h"
#include "include/entry/store_news.h"
#include "include/placing/server_entry.h"
#include "include/routing/route_config.h"

namespace toucanknot {

// Callbacks for changes in the platform's store, called on the host's loop.
// After an outage or a gap in the history, each kind of record is read again in
// full: one callback per record, then the set of all existing ids (`listed`).
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
  // The store became unreachable for this host, or reachable again.
  std::function<void(bool away)> store_unreachable;
  // The store came back from an older copy. It may lack what it had
  // acknowledged and hold what had been removed since, until its writers write
  // again. All records follow, as after an outage. May be empty.
  std::function<void()> store_restored;
  // `news` must be sent to the other hosts of this host's zone. May be empty:
  // each host reads the store itself then.
  std::function<void(const StoreNews& news)> send_news;
};

// Requests to the store since the start.
struct FleetStoreCounts {
  uint64_t calls = 0;
  uint64_t failed = 0;
  uint64_t malformed_items = 0;
  // Keys of the store whose latest value cannot be used, and whether the
  // operators' latest configuration is one of them.
  size_t unusable_items = 0;
  bool config_unusable = false;
  // Members of the configuration in force that cannot be used; others take
  // their place.
  size_t config_members_unusable = 0;
  // The calls by kind: watches, listings and reads of single keys, renewals of
  // the lease, and other writes.
  uint64_t watches = 0;
  uint64_t reads = 0;
  uint64_t renewals = 0;
  uint64_t writes = 0;
  // How many times the store came back from an older copy.
  uint64_t restorations = 0;
  // Whether the host relies on other hosts of its zone for changes.
  bool following = false;
  // When the store last responded to this host, or to a host on which it relies
  // for changes.
  Instant last_response_at;
  // When, on BootNow()'s clock, the host sent the last read of the store that
  // completed: it knows of all changes until then. Empty before the first one.
  std::optional<Instant> proven_at;
  // Until when, on BootNow()'s clock, the host knows of all changes as far as
  // reads and watches show, its own or those of hosts on which it relies. Empty
  // before the first one.
  std::optional<Instant> known_until;
};

// The platform's store as used by an entry host. All methods return at once;
// the work that they start continues across outages.
class FleetStore {
 public:
  virtual ~FleetStore() = default;

  // Starts to read and watch the contents of the store.
  virtual void Start(FleetStoreListener listener) = 0;
  // Keeps this host's record in the store until it is withdrawn or the process
  // ends.
  virtual void Publish(const HostRecord& record) = 0;
  virtual void Withdraw() = 0;
  virtual FleetStoreCounts counts() const = 0;
  // Handles news of the store from another host.
  virtual void OnNews(const StoreNews&) {}
};

}  // namespace toucanknot

#endif  // INCLUDE_ENTRY_FLEET_STORE_H_
