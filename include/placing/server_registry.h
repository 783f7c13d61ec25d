#ifndef INCLUDE_PLACING_SERVER_REGISTRY_H_
#define INCLUDE_PLACING_SERVER_REGISTRY_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "include/base/clock.h"
#include "include/base/enum_names.h"
#include "include/placing/server_entry.h"

namespace toucanknot {

// Kind of change of a backend server.
enum class ServerChange {
  kAppeared,
  // A new incarnation under a known id.
  kRestarted,
  kLeaving,
  // It is no longer leaving.
  kReturned,
  // Its entry is missing after an outage of the store; it is still used.
  kLapsed,
  kGone,
};

inline constexpr EnumNames<ServerChange, 6> kServerChangeNames{
    {"appeared", "restarted", "leaving", "returned", "lapsed", "gone"}};

// The backend servers known to this host, from their entries in the store's
// registry. Entries can expire while the store is unreachable although their
// servers are alive; such servers are used until kLapseGrace after the store is
// reachable again. Does no I/O. Not thread-safe.
class ServerRegistry {
 public:
  // Servers rewrite their entries within about two seconds of the store's
  // return. A host that was itself cut off must stop using servers that left
  // meanwhile within three seconds of its return; reconnecting to the store
  // takes up to 0.7 s of them.
  static constexpr Duration kLapseGrace{2'000};
  // Interval at which to call Advance(); a grace period may end late by this
  // much.
  static constexpr Duration kAdvanceEvery{100};
  // Entries live for three heartbeats and are rewritten in each. An outage
  // shorter than the remaining two, less the jitter of heartbeats, cannot make
  // any expire.
  static constexpr double kSafeHeartbeats = 1.8;
  // Leaving servers remembered; of more, those without an entry are forgotten.
  static constexpr size_t kMaxLeaving = 4'096;
  // An entry that was not renewed for this many heartbeats may be replaced by
  // one that does not follow it; see OnEntry().
  static constexpr double kStaleHeartbeats = 2.5;
  // How long a removed entry is remembered: well above the time for which the
  // store may hold up a write.
  static constexpr Duration kRememberRemoved{60'000};
  // Removed entries remembered; of more, the oldest are forgotten.
  static constexpr size_t kMaxRemoved = 4'096;
  // After the store came back from an older copy, its writers write again what
  // it has lost within this time.
  static constexpr Duration kRewriteTime{5'000};
  // A reconnect this soon after the previous one belongs to the same outage.
  static constexpr Duration kFlapWindow{1'500};

  struct Server {
    ServerEntry entry;
    // The server states that it is cold until then.
    Instant cold_until;
    // When this incarnation was first seen here, and when its entry last
    // changed.
    Instant appeared_at;
    Instant seen_at;
    // Of the last entry that was ignored since `entry`; 0 if there was none.
    uint64_t ignored_sequence = 0;
    // Set while its entry is missing: the time when the server is dropped
    // unless the entry comes back.
    std::optional<Instant> drop_at;
  };

  // Called after each change with the current state of the server, or its last
  // one for kGone.
  using ChangeHook = std::function<void(ServerChange, const Server&)>;

  explicit ServerRegistry(ChangeHook on_change)
      : on_change_(std::move(on_change)) {}

  // Handles an entry that was written. It is ignored if it
  // - is an earlier heartbeat, or of an earlier incarnation: a late write;
  // - names another service, zone or address under the same incarnation:
  //   another writer's, since a server changes these only by a restart;
  // - does not follow the last entry of an incarnation that was removed, or
  //   that incarnation was leaving: a late write;
  // - is of an earlier incarnation than one that was removed, while the store
  //   has come back from an older copy.
  // The first two are accepted all the same once the known entry was not
  // renewed for kStaleHeartbeats: its server is gone, or restarted with its
  // clock behind. An earlier heartbeat is, once a second one follows it, unless
  // the server was leaving: the later one was another writer's.
  void OnEntry(const ServerEntry& entry, Instant now);
  // Handles the removal of an entry.
  void OnRemoved(const ServerId& id, Instant now);
  // Handles a full read of the registry: servers not in `ids` have no entry.
  void OnListed(const std::set<ServerId>& ids, Instant now);
  // Handles a response in which that incarnation of the server states that it
  // leaves. This is final, whatever its entry says: the entry may be older, and
  // some servers never announce there that they leave.
  void OnLeavingResponse(const ServerId& id, Incarnation incarnation);
  // Sets how often a server writes its entry.
  void SetHeartbeat(Duration heartbeat) { heartbeat_ = heartbeat; }
  // Notes that the store became unreachable for this host, or reachable again.
  // `last_response_at` is the time of its last response before the outage.
  void SetStoreUnreachable(bool unreachable,
                           Instant last_response_at,
                           Instant now);

  // Notes that the store came back from an older copy, which is then read in
  // full. Until its writers have written again, servers without an entry stay
  // in use as after an outage, those that had left stay gone, and zones stay
  // evacuated.
  void OnStoreRestored(Instant now);

  // Stops new requests to the servers of `zone` until Restore().
  void Evacuate(const ZoneId& zone) {
    unlisted_evacuations_.erase(zone);
    evacuated_.insert(zone);
    ++version_;
  }
  // Ends an evacuation. The servers may have become cold since they wrote their
  // entries, so they are treated as cold for one heartbeat.
  void Restore(const ZoneId& zone, Instant now);
  // Handles a full read of the evacuations: all other zones are restored.
  void OnEvacuationsListed(const std::set<ZoneId>& zones, Instant now);
  bool IsEvacuated(const ZoneId& zone) const {
    return evacuated_.contains(zone);
  }
  const std::set<ZoneId>& evacuated() const { return evacuated_; }

  // Drops servers whose grace period is over. Call every kAdvanceEvery.
  void Advance(Instant now);

  // Null when unknown.
  const Server* Find(const ServerId& id) const;
  // Whether new requests may be sent to the server.
  bool IsUsable(const ServerId& id) const;
  // The servers of `service` that accept new requests, sorted by id.
  std::vector<const Server*> UsableServers(const ServiceId& service) const;
  // Changes whenever the result of UsableServers() may change for some service;
  // until then the returned pointers stay valid.
  uint64_t version() const { return version_; }
  size_t size() const { return servers_.size(); }
  // Removed entries that are remembered.
  size_t remembered() const { return removed_.size(); }

 private:
  bool TakesWork(const Server& server) const {
    return !server.entry.leaving && !evacuated_.contains(server.entry.zone) &&
           !IsLeaving(server);
  }
  // The last entry of a removed server.
  struct Removed {
    Incarnation incarnation = Incarnation();
    uint64_t sequence = 0;
    bool leaving = false;
    Instant at;
  };

  bool IsBeingRewritten(Instant now) const {
    return rewritten_at_ && now < *rewritten_at_;
  }
  // Whether `entry` must be ignored; see OnEntry().
  bool IsIgnored(const ServerEntry& entry, Instant now) const;
  void ForgetRemoved(Instant now);
  // Whether the server stated in a response that it leaves.
  bool IsLeaving(const Server& server) const;
  // Handles an entry that is no longer in the store.
  void OnMissing(Server& server, Instant now);
  void Remove(std::map<ServerId, Server>::iterator it, Instant now);

  const ChangeHook on_change_;
  std::map<ServerId, Server> servers_;
  std::map<ServiceId, std::map<ServerId, const Server*>> by_service_;
  std::set<ZoneId> evacuated_;
  // Those that an older copy of the store does not have, until they are written
  // again or restored.
  std::set<ZoneId> unlisted_evacuations_;
  // Incarnations that stated in a response that they leave. Kept while their
  // entries are missing, since these may come back.
  std::map<ServerId, Incarnation> leaving_;
  // Emptied by ForgetRemoved().
  std::map<ServerId, Removed> removed_;
  uint64_t version_ = 1;
  Duration heartbeat_{1'500};
  bool store_unreachable_ = false;
  // Time of the last response of the store before the outage.
  Instant store_last_response_at_;
  std::optional<Instant> store_returned_at_;
  // Until when the store may not have been written again.
  std::optional<Instant> rewritten_at_;
};

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_SERVER_REGISTRY_H_
