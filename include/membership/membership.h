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

// Intervals and limits of membership. The defaults work from one host to a few
// hundred per zone: intervals grow with the number of hosts and zones, so that
// the messages per second of a host stay bounded.
struct MembershipOptions {
  // Heartbeats are sent every max(min_heartbeat_interval, heartbeat_spacing *
  // number of receivers).
  Duration min_heartbeat_interval{250};
  Duration heartbeat_spacing{40};
  // Intervals without a heartbeat after which a host is suspect, and after
  // which it is dead even if the platform still lists it.
  int suspect_intervals = 3;
  int dead_intervals = 6;
  // When heartbeats are less frequent than this, they carry no requests in
  // flight by server: the figures would be too old for load balancing.
  Duration max_load_interval{500};
  // The other zones of the region get heartbeats too, including these figures,
  // while the region has no more hosts than this.
  size_t max_region_mesh = 16;
  // A host list older than this is not used.
  Duration max_host_list_age{30'000};
  // Digests are sent every max(min_digest_interval, digest_spacing * number of
  // zones).
  Duration min_digest_interval{500};
  Duration digest_spacing{65};
  // Intervals after which the digest of a zone is stale.
  int stale_digest_rounds = 8;
  // Hosts of a zone that exchange digests with other zones (carriers), and how
  // many zones each of them sends to in a round.
  size_t carriers = 2;
  size_t digest_fan_out = 2;
  // Children of a host in the tree along which the hosts of a zone relay
  // digests.
  size_t relay_fan_out = 4;
};

// An entry of the platform's host list, which lags.
struct HostListEntry {
  HostId host;
  bool leaving = false;
};

// How close a host is to a caller.
enum class Proximity { kZone, kRegion, kOtherRegion };

inline constexpr EnumNames<Proximity, 3> kProximityNames{
    {"zone", "region", "other-region"}};

// A host that a caller may use.
struct EntryCandidate {
  HostId host;
  ZoneId zone;
  Proximity proximity = Proximity::kZone;
  // Known to be live from recent messages; otherwise suspect or in a zone with
  // a stale digest.
  bool confirmed = true;

  bool operator==(const EntryCandidate&) const = default;
};

// The requests at backend servers that another host reported.
struct HostLoad {
  HostId host;
  std::vector<ServerInFlight> in_flight;
  int64_t capacity = 0;
  // When the figures were measured.
  Instant at;
};

// One host's view of which hosts are live: heartbeats show the hosts of its
// zone (and of a small region), digests exchanged by a few hosts show other
// zones. A heartbeat takes precedence over the platform's host list; the list
// only confirms silence. Does no I/O; not thread-safe. After any call, send the
// messages that Tick() returns when NextWake() is not later than now.
class Membership {
 public:
  // `self` is a host of `zone`; `seed` should differ between hosts.
  Membership(PeerSender self,
             ZoneId zone,
             MembershipOptions options,
             uint64_t seed);

  // The hosts that the configuration names. Those of the first roster count as
  // live until they have been silent for too long; those added later count as
  // live only once they have sent something.
  void OnRoster(RosterPtr roster, Instant now);
  // Handles messages for membership; ignores others.
  void OnMessage(const PeerSender& from,
                 const PeerMessage& message,
                 Instant now);
  // The platform's host list, at hosts that request it.
  void OnHostList(const std::vector<HostListEntry>& list, Instant now);

  // This host's own state and figures, for its heartbeats. Leave() and Stop()
  // notify the other hosts with the next Tick().
  void Ready(Instant now);
  void Leave(Instant now);
  void Stop(Instant now);
  void SetOwnLoad(std::vector<ServerInFlight> in_flight,
                  int64_t capacity,
                  Instant now);
  void SetOwnConfig(const ConfigStamp& stamp);

  // Returns the messages to send now.
  std::vector<OutgoingMessage> Tick(Instant now);
  // When Tick() is due; may be in the past.
  Instant NextWake() const;

  const PeerSender& self() const { return self_; }
  const ZoneId& zone() const { return zone_; }
  HostState state() const { return life_cycle_.state(); }
  const RosterPtr& roster() const { return roster_; }

  // The hosts of `zone` to which callers may be sent, sorted by id: serving and
  // not silent. Includes this host while it serves.
  std::vector<HostId> LiveHosts(const ZoneId& zone, Instant now) const;
  // The running hosts of this zone, this one included, also starting and
  // leaving ones.
  std::vector<HostId> PresentHosts(Instant now) const;
  // The first `count` by rank of the present hosts that are not leaving, or of
  // all present ones if all are leaving.
  std::vector<HostId> TopRankedHosts(size_t count, Instant now) const;
  // Hosts of another zone to send messages to: the first by rank that its
  // digest does not exclude.
  std::vector<HostId> ContactsIn(const ZoneId& zone, size_t count) const;

  // Hosts for a caller in `zone`: those of its zone, of the other zones of its
  // region, and of the other regions by distance; within each zone the order
  // depends on `salt`. Unconfirmed hosts come last; dead, leaving and starting
  // ones are left out.
  std::vector<EntryCandidate> CandidatesFor(const ZoneId& zone,
                                            uint64_t salt,
                                            Instant now) const;
  // Increases whenever the results of LiveHosts() or CandidatesFor() may have
  // changed.
  uint64_t view_version() const { return view_version_; }

  // The latest known digest of each zone, this one included, with its age at
  // `now`.
  std::vector<ZoneDigest> Digests(Instant now) const;
  // The load that other hosts reported about themselves.
  std::vector<HostLoad> Loads() const;
  // The configuration version of each host of the zone (and mesh).
  std::map<HostId, ConfigStamp> Configs() const;

 private:
  struct MeshHost {
    Member member;
    // Whether it is in this host's own zone.
    bool in_zone = false;
    // Its rank among the hosts that carry digests and watch the store.
    uint64_t rank = 0;
  };

  Duration HeartbeatInterval() const;
  Duration DigestInterval() const;
  Duration StaleDigestAfter() const;
  SilenceLimits CurrentSilenceLimits() const;
  Liveness LivenessOf(const HostId& host,
                      const Member& member,
                      Instant now) const;
  // Whether hosts of `zone` exchange heartbeats with this one.
  bool IsInMesh(const ZoneId& zone) const { return mesh_zones_.contains(zone); }
  // For this host and those it exchanges heartbeats with: whether it is serving
  // and not dead.
  bool IsUsable(const HostId& host, Instant now) const;
  bool IsConfirmed(const HostId& host, Instant now) const;
  bool IsCarrier(Instant now) const;
  std::vector<HostId> ExcludedHosts(const Roster::Zone& zone,
                                    Instant now) const;
  std::vector<EntryCandidate> CandidatesIn(const ZoneId& id, Instant now) const;
  void AppendCandidates(const ZoneId& zone,
                        Proximity proximity,
                        uint64_t salt,
                        Instant now,
                        std::vector<EntryCandidate>* out) const;
  ZoneDigest OwnDigest(Instant now) const;
  Heartbeat OwnHeartbeat(Instant now);

  void FindMeshZones();
  void AddMembers(bool assume_live, Instant now);
  void DropMembers();
  void OnHeartbeat(const PeerSender& from,
                   const Heartbeat& heartbeat,
                   Instant now);
  void OnLeavingNotice(const PeerSender& from, const LeavingNotice& notice);
  void OnZoneDigests(const PeerSender& from,
                     const ZoneDigests& digests,
                     Instant now);
  // After this process itself was paused for long, the pause does not count as
  // silence of the others.
  void DiscountOwnPause(Instant now);
  void RefreshView(Instant now);
  void SendHeartbeats(Instant now);
  void SendDigests(Instant now);
  void SendOwnDigestIfChanged(Instant now);
  void SendNotice(HostState state, Instant now);
  void StartRelayInZone(const ZoneDigests& digests, Instant now);
  void RelayInZone(const ZoneDigests& digests, Instant now);

  const PeerSender self_;
  const ZoneId zone_;
  const MembershipOptions options_;
  std::mt19937_64 random_;
  HostLifeCycle life_cycle_;
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

  // The hosts missing from the platform's list, while it is recent.
  std::set<HostId> unlisted_;
  Instant host_list_until_;

  std::vector<OutgoingMessage> pending_;
  Instant last_tick_;
  Instant next_heartbeat_;
  Instant next_digest_;
  // The earliest time for another digest outside the regular interval.
  Instant next_extra_digest_;
  // The excluded hosts of this zone as last sent to other zones.
  std::vector<HostId> sent_excluded_;
  // The view version from which they were computed.
  uint64_t sent_view_version_ = 0;
  // Rounds of digests that were already relayed in the zone.
  std::vector<uint64_t> relayed_rounds_;
  uint64_t view_hash_ = 0;
  uint64_t view_version_ = 1;
};

}  // namespace toucanknot

#endif  // INCLUDE_MEMBERSHIP_MEMBERSHIP_H_
