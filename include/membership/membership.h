#ifndef INCLUDE_MEMBERSHIP_MEMBERSHIP_H_
#define INCLUDE_MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "include/base/clock.h"
#include "include/base/enum_names.h"
#include "include/base/ids.h"
#include "include/membership/host_life_cycle.h"
#include "include/membership/member.h"
#include "include/membership/roster.h"
#include "include/membership/zone_table.h"
#include "include/peer/messages.h"

namespace toucanknot {

// Pace and limits of membership. The defaults hold from one host a zone up to
// some hundred: intervals stretch with the number of hosts and zones heard, so
// that a host's messages a second stay bounded.
struct MembershipOptions {
  // A round of heartbeats takes the greater of the first and of the second for
  // each host that gets one.
  Duration min_heartbeat_interval{250};
  Duration heartbeat_spacing{40};
  // Intervals without a heartbeat after which a host is suspect, and after
  // which it is dead even if the platform's list still shows it.
  int suspect_intervals = 3;
  int dead_intervals = 6;
  // Heartbeats that come more rarely than this carry no list of requests in
  // flight by server: it would be too old to steer by.
  Duration max_load_interval{500};
  // The other zones of the region get heartbeats too, with the figures in
  // them, while the region has no more hosts than this.
  size_t max_region_mesh = 16;
  // A host list older than this proves nothing.
  Duration max_host_list_age{30'000};
  // A round of digests takes the greater of the first and of the second for
  // each zone.
  Duration min_digest_interval{500};
  Duration digest_spacing{65};
  // Rounds after which a zone's digest is stale.
  int stale_digest_rounds = 8;
  // Hosts of a zone that exchange digests with other zones, and how many zones
  // each of them writes to in a round.
  size_t carriers = 2;
  size_t digest_fan_out = 2;
  // Children of a host where a zone's hosts pass something on.
  size_t relay_fan_out = 4;
};

// A host as the platform's list shows it; the list lags.
struct HostListEntry {
  HostId host;
  bool leaving = false;
};

// How near a host is to a caller.
enum class Proximity { kZone, kRegion, kOtherRegion };

inline constexpr EnumNames<Proximity, 3> kProximityNames{
    {"zone", "region", "other-region"}};

// A host that a caller may use.
struct EntryCandidate {
  HostId host;
  ZoneId zone;
  Proximity proximity = Proximity::kZone;
  // Heard of lately; otherwise suspect or in a zone without fresh news.
  bool confirmed = true;

  bool operator==(const EntryCandidate&) const = default;
};

// What another host reported of its requests at backend servers.
struct HostLoad {
  HostId host;
  std::vector<ServerInFlight> in_flight;
  int64_t capacity = 0;
  // When the figures were made.
  Instant at;
};

// Which hosts live, at one host: the hosts of its zone (and of a small region)
// by heartbeats, other zones by digests that a few hosts carry. A heartbeat
// outranks the platform's list; the list only confirms silence. Does no I/O;
// not thread-safe. After any call send what Tick() returns once NextWake() is
// not later than now.
class Membership {
 public:
  // `self` is a host of `zone`; `seed` makes choices differ between hosts.
  Membership(PeerSender self,
             ZoneId zone,
             MembershipOptions options,
             uint64_t seed);

  // The hosts that the configuration names. Those of the first roster are
  // taken for live until they have been silent; those added later only when
  // they are heard.
  void OnRoster(RosterPtr roster, Instant now);
  // Messages for membership; others are ignored.
  void OnMessage(const PeerSender& from,
                 const PeerMessage& message,
                 Instant now);
  // An answer of the platform's host list, at hosts that ask for it.
  void OnHostList(const std::vector<HostListEntry>& list, Instant now);

  // This host's own state and figures, for its heartbeats. Leave() and Stop()
  // tell the others with the next Tick().
  void Ready(Instant now);
  void Leave(Instant now);
  void Stop(Instant now);
  void SetOwnLoad(std::vector<ServerInFlight> in_flight,
                  int64_t capacity,
                  Instant now);
  void SetOwnConfig(const ConfigStamp& stamp);

  // What is to be sent now.
  std::vector<OutgoingMessage> Tick(Instant now);
  // When Tick() is due; may be in the past.
  Instant NextWake() const;

  const PeerSender& self() const { return self_; }
  const ZoneId& zone() const { return zone_; }
  HostState state() const { return life_.state(); }
  const RosterPtr& roster() const { return roster_; }

  // The hosts of `zone` that callers may be sent to, in the order of their
  // ids: serving and not silent. This host is among them while it serves.
  std::vector<HostId> LiveHosts(const ZoneId& zone, Instant now) const;
  // The hosts of this zone that run, this one included: also starting and
  // leaving ones.
  std::vector<HostId> PresentHosts(Instant now) const;
  // The first `count` by rank of the present hosts that are not leaving, or of
  // all present ones if every one leaves.
  std::vector<HostId> FirstHosts(size_t count, Instant now) const;
  // Hosts of another zone to speak to: by rank those that its digest does not
  // exclude.
  std::vector<HostId> ContactsOf(const ZoneId& zone, size_t count) const;

  // Hosts for a caller in `zone`: its zone, the other zones of its region, the
  // other regions by the way to them; in each the order turns with `salt`.
  // Unconfirmed hosts come last, dead, leaving and starting ones not at all.
  std::vector<EntryCandidate> CandidatesFor(const ZoneId& zone,
                                            uint64_t salt,
                                            Instant now) const;
  // Grows whenever LiveHosts() or CandidatesFor() may answer anew.
  uint64_t view_version() const { return view_version_; }

  // The zones by what was last heard of them, this one included, with the age
  // at `now`.
  std::vector<ZoneDigest> Digests(Instant now) const;
  // The figures that other hosts reported of themselves.
  std::vector<HostLoad> Loads() const;
  // Each host of the zone (and mesh) with its configuration.
  std::map<HostId, ConfigStamp> Configs() const;

 private:
  struct MeshHost {
    Member member;
    // Whether it is of this host's own zone.
    bool in_zone = false;
    // Its place among the hosts that carry digests and watch the store.
    uint64_t rank = 0;
  };

  Duration HeartbeatInterval() const;
  Duration DigestInterval() const;
  Duration StaleDigestAfter() const;
  SilenceLimits Limits() const;
  Liveness LivenessOf(const HostId& host,
                      const Member& member,
                      Instant now) const;
  // Whether hosts of `zone` exchange heartbeats with this one.
  bool IsInMesh(const ZoneId& zone) const { return mesh_zones_.contains(zone); }
  // Of this host and those it exchanges heartbeats with: serving and not dead.
  bool IsUsable(const HostId& host, Instant now) const;
  bool IsConfirmed(const HostId& host, Instant now) const;
  bool IsCarrier(Instant now) const;
  std::vector<HostId> ExcludedOf(const Roster::Zone& zone, Instant now) const;
  std::vector<EntryCandidate> HostsOf(const ZoneId& id, Instant now) const;
  void AppendCandidates(const ZoneId& zone,
                        Proximity proximity,
                        uint64_t salt,
                        Instant now,
                        std::vector<EntryCandidate>* out) const;
  ZoneDigest OwnDigest(Instant now) const;
  Heartbeat OwnHeartbeat(Instant now);

  void FindMeshZones();
  void AddMembers(bool optimistic, Instant now);
  void DropMembers();
  void OnHeartbeat(const PeerSender& from,
                   const Heartbeat& heartbeat,
                   Instant now);
  void OnLeavingNotice(const PeerSender& from, const LeavingNotice& notice);
  void OnZoneDigests(const PeerSender& from,
                     const ZoneDigests& digests,
                     Instant now);
  // When this process itself has not run for long, nobody else is blamed.
  void ForgiveOwnPause(Instant now);
  void RefreshView(Instant now);
  void SendHeartbeats(Instant now);
  void SendDigests(Instant now);
  void SendOwnDigestIfChanged(Instant now);
  void SendNotice(HostState state, Instant now);
  void StartInZone(const ZoneDigests& digests, Instant now);
  void RelayInZone(const ZoneDigests& digests, Instant now);

  const PeerSender self_;
  const ZoneId zone_;
  const MembershipOptions options_;
  std::mt19937_64 random_;
  HostLifeCycle life_;
  RosterPtr roster_;
  // The zones whose hosts exchange heartbeats with this one.
  std::set<ZoneId> mesh_zones_;
  // The other hosts of those zones.
  std::map<HostId, MeshHost> members_;
  ZoneTable zones_;

  std::vector<ServerInFlight> own_in_flight_;
  int64_t own_in_flight_total_ = 0;
  int64_t own_capacity_ = 0;
  Instant own_load_at_;
  ConfigStamp own_config_;
  uint64_t sequence_ = 0;

  // What the platform's list said, while it is fresh.
  std::set<HostId> unlisted_;
  Instant host_list_until_;

  std::vector<OutgoingMessage> pending_;
  Instant last_tick_;
  Instant next_heartbeat_;
  Instant next_digest_;
  // The earliest time for another digest out of turn.
  Instant next_notice_;
  // The excluded hosts of this zone that other zones were last told.
  std::vector<HostId> told_excluded_;
  // The view by which they were found.
  uint64_t told_view_ = 0;
  // Rounds of digests that were passed on in the zone.
  std::vector<uint64_t> relayed_rounds_;
  uint64_t view_hash_ = 0;
  uint64_t view_version_ = 1;
};

}  // namespace toucanknot

#endif  // INCLUDE_MEMBERSHIP_MEMBERSHIP_H_
