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

// What changed about a backend server.
enum class ServerChange {
  kAppeared,
  // Another life under an id that was known.
  kRestarted,
  kLeaving,
  // It leaves no longer.
  kReturned,
  // Its entry is missing since an outage of the store; it is still used.
  kLapsed,
  kGone,
};

inline constexpr EnumNames<ServerChange, 6> kServerChangeNames{
    {"appeared", "restarted", "leaving", "returned", "lapsed", "gone"}};

// The backend servers that this host knows, by what they state in the store's
// registry. Entries can lapse while the store is away, although their servers
// live; those are used until kLapseGrace after the store's return. Does no
// I/O. Not thread-safe.
class ServerRegistry {
 public:
  // Servers write their entries again within about two seconds of the store's
  // return. A host that was cut off by itself must have dropped what left
  // meanwhile three seconds after its return; finding the store takes up to
  // 0.7 s of them.
  static constexpr Duration kLapseGrace{2'000};
  // How often Advance() is to be called: a grace ends late by this much.
  static constexpr Duration kAdvanceEvery{100};
  // Entries live for three heartbeats and are written in each: a silence
  // shorter than the other two, less what heartbeats vary, lets none lapse.
  static constexpr double kSafeHeartbeats = 1.8;
  // Failures after which a return does not count as another one.
  static constexpr Duration kFlapping{1'500};

  struct Server {
    ServerEntry entry;
    // By its own statement it is cold until then.
    Instant cold_until;
    // When this life was first seen here, and when its entry last changed.
    Instant appeared_at;
    Instant seen_at;
    // Its entry is missing; it is dropped then, unless it comes back.
    std::optional<Instant> lapses_at;
  };

  // Called after each change, with the server as it is now (as it was, when
  // gone).
  using ChangeHook = std::function<void(ServerChange, const Server&)>;

  explicit ServerRegistry(ChangeHook on_change)
      : on_change_(std::move(on_change)) {}

  // An entry was written.
  void OnEntry(const ServerEntry& entry, Instant now);
  // An entry was removed.
  void OnRemoved(const ServerId& id, Instant now);
  // The whole registry was read: entries of other ids are not there.
  void OnListed(const std::set<ServerId>& ids, Instant now);
  // How often a server writes its entry.
  void SetHeartbeat(Duration heartbeat) { heartbeat_ = heartbeat; }
  // The store stopped answering this host, or answers again. `heard_at` is when
  // it answered last before that.
  void SetStoreAway(bool away, Instant heard_at, Instant now);

  // No request may go to the servers of `zone`, until Restore().
  void Evacuate(const ZoneId& zone) {
    evacuated_.insert(zone);
    ++version_;
  }
  // Its servers may have become cold since they wrote their entries: they are
  // taken for cold until they had time to say so.
  void Restore(const ZoneId& zone, Instant now);
  bool IsEvacuated(const ZoneId& zone) const {
    return evacuated_.contains(zone);
  }
  const std::set<ZoneId>& evacuated() const { return evacuated_; }

  // Drops servers whose grace is over. Call every kAdvanceEvery.
  void Advance(Instant now);

  // Null when unknown.
  const Server* Find(const ServerId& id) const;
  // Whether new requests may go there.
  bool IsUsable(const ServerId& id) const;
  // The servers of `service` that take new requests, by id.
  std::vector<const Server*> Usable(const ServiceId& service) const;
  // Changes whenever Usable() may give something else for some service; until
  // then the servers it gave stay where they are.
  uint64_t version() const { return version_; }
  size_t size() const { return servers_.size(); }

 private:
  bool TakesWork(const Server& server) const {
    return !server.entry.leaving && !evacuated_.contains(server.entry.zone);
  }
  // The entry is not in the store any more.
  void Miss(Server& server, Instant now);
  void Drop(std::map<ServerId, Server>::iterator it);

  const ChangeHook on_change_;
  std::map<ServerId, Server> servers_;
  std::map<ServiceId, std::map<ServerId, const Server*>> by_service_;
  std::set<ZoneId> evacuated_;
  uint64_t version_ = 1;
  Duration heartbeat_{1'500};
  bool store_away_ = false;
  // When the store had answered last, before it went away.
  Instant store_heard_at_;
  std::optional<Instant> store_back_at_;
};

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_SERVER_REGISTRY_H_
