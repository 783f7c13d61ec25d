#ifndef INCLUDE_ENTRY_HOST_ROSTER_H_
#define INCLUDE_ENTRY_HOST_ROSTER_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "include/base/clock.h"
#include "include/entry/host_choice.h"
#include "include/entry/host_record.h"
#include "include/placing/fleet_host.h"

namespace toucanknot {

// The entry hosts that accept requests, from their records in the store. A
// record that is missing after an outage of the store stays in use for a grace
// period, since its host writes it again. Does no I/O. Not thread-safe.
class HostRoster {
 public:
  // A host rewrites its record within this time of the store's return.
  static constexpr Duration kLapseGrace{2'000};
  // After the store came back from an older copy, the records of hosts that
  // have ended meanwhile expire within this time.
  static constexpr Duration kLeaseTime{4'000};
  // How long a removed record is remembered for that.
  static constexpr Duration kRememberRemoved{60'000};
  // How long a maximum of the host count stays in effect in HostCount().
  static constexpr Duration kCountMemory{15'000};

  HostRoster(HostRecord self, std::map<ZoneId, RegionId> regions)
      : self_(std::move(self)), regions_(std::move(regions)) {}

  void OnHost(const HostRecord& record, Instant now);
  void OnRemoved(const HostId& host, Instant now);
  void OnListed(const std::set<HostId>& hosts, Instant now);
  void SetStoreUnreachable(bool unreachable, Instant now);
  // Notes that the store came back from an older copy, which is then read in
  // full. Records that it lacks stay in use until their hosts have written them
  // again; those of hosts that had left are not used unless they outlive their
  // lease.
  void OnStoreRestored(Instant now);
  // Drops hosts whose grace period is over.
  void Advance(Instant now);
  // Replaces this host's record once its listen address is known.
  void SetSelf(HostRecord self) { self_ = std::move(self); }
  // Sets whether this host itself accepts new callers.
  void SetSelfReady(bool ready) { self_ready_ = ready; }

  // Sets whether this host can serve requests with API keys. While it cannot,
  // it is named only if there is no other host.
  void SetSelfProven(bool proven) { self_proven_ = proven; }

  // The addresses for a caller; see ChooseHosts().
  std::vector<Endpoint> AddressesFor(const CallerLocation& caller) const;

  // Maximum number of concurrent hosts within kCountMemory, including this one.
  int HostCount(Instant now);
  // The other hosts in `region` (`inside`) or in all other regions.
  std::vector<Endpoint> PeerAddresses(const RegionId& region,
                                      bool inside) const;
  // The other hosts in this host's zone.
  std::vector<Endpoint> ZonePeerAddresses() const;
  // The hosts that the store lists.
  std::vector<FleetHost> FleetHosts() const;
  size_t size() const { return hosts_.size(); }

 private:
  struct Host {
    HostRecord record;
    std::optional<Instant> drop_at;
  };
  struct Removed {
    Incarnation incarnation = 0;
    Instant at;
  };

  void OnMissing(Host& host, Instant now);
  RegionId RegionOf(const ZoneId& zone) const;

  HostRecord self_;
  const std::map<ZoneId, RegionId> regions_;
  std::map<HostId, Host> hosts_;
  // Hosts whose records were removed lately.
  std::map<HostId, Removed> removed_;
  // Records of the older copy that are not used yet.
  std::map<HostId, HostRecord> held_;
  // Until when records may have come with the older copy.
  std::optional<Instant> held_until_;
  bool self_ready_ = false;
  bool self_proven_ = true;
  bool store_unreachable_ = false;
  std::optional<Instant> store_returned_at_;
  int max_hosts_ = 1;
  Instant max_hosts_at_;
};

}  // namespace toucanknot

#endif  // INCLUDE_ENTRY_HOST_ROSTER_H_
