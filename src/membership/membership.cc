#include "include/membership/membership.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "include/membership/rank.h"

namespace toucanknot {
namespace {

// Rounds of relayed digests that are remembered, so that each is relayed once.
constexpr size_t kRememberedRounds = 32;

}  // namespace

Membership::Membership(PeerSender self,
                       ZoneId zone,
                       MembershipOptions options,
                       uint64_t seed)
    : self_(std::move(self)),
      zone_(std::move(zone)),
      options_(options),
      random_(seed) {}

void Membership::OnRoster(RosterPtr roster, Instant now) {
  const bool is_first = !roster_;
  roster_ = std::move(roster);
  if (is_first)
    last_tick_ = next_heartbeat_ = next_digest_ = now;
  FindMeshZones();
  DropMembers();
  AddMembers(is_first, now);
  ++view_version_;
}

// This zone, and the other zones of its region while the region is small.
void Membership::FindMeshZones() {
  mesh_zones_ = {zone_};
  const Roster::Zone* own = roster_->FindZone(zone_);
  std::set<ZoneId> in_region;
  size_t hosts = 0;
  for (const Roster::Zone& it : roster_->zones()) {
    if (!own || it.region != own->region)
      continue;
    in_region.insert(it.id);
    hosts += it.hosts.size();
  }
  if (hosts <= options_.max_region_mesh)
    mesh_zones_.merge(in_region);
}

void Membership::AddMembers(bool assume_live, Instant now) {
  for (const ZoneId& id : mesh_zones_) {
    const Roster::Zone* zone = roster_->FindZone(id);
    if (!zone)
      continue;
    for (const HostId& it : zone->hosts) {
      if (it == self_.host)
        continue;
      members_.try_emplace(it, MeshHost{Member(assume_live, now), id == zone_,
                                        RankOf(it.str(), kCarrierTag)});
    }
  }
}

void Membership::DropMembers() {
  std::erase_if(members_, [&](const auto& item) {
    const Roster::Zone* zone = roster_->ZoneOf(item.first);
    return !zone || !IsInMesh(zone->id);
  });
}

void Membership::OnMessage(const PeerSender& from,
                           const PeerMessage& message,
                           Instant now) {
  if (!roster_ || from.host == self_.host)
    return;
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message))
    OnHeartbeat(from, *heartbeat, now);
  else if (const auto* notice = std::get_if<LeavingNotice>(&message))
    OnLeavingNotice(from, *notice);
  else if (const auto* digests = std::get_if<ZoneDigests>(&message))
    OnZoneDigests(from, *digests, now);
}

void Membership::OnHeartbeat(const PeerSender& from,
                             const Heartbeat& heartbeat,
                             Instant now) {
  const auto member = members_.find(from.host);
  if (member == members_.end())
    return;
  if (!member->second.member.OnHeartbeat(from, heartbeat,
                                         CurrentSilenceLimits(), now))
    return;
  const Instant until = now + HeartbeatInterval() * options_.suspect_intervals;
  for (const HostId& it : heartbeat.unlisted) {
    if (const auto other = members_.find(it); other != members_.end())
      other->second.member.OnUnlistedHint(until);
  }
}

void Membership::OnLeavingNotice(const PeerSender& from,
                                 const LeavingNotice& notice) {
  const auto member = members_.find(from.host);
  if (member != members_.end())
    member->second.member.OnNotice(from, notice.state);
}

void Membership::OnZoneDigests(const PeerSender& from,
                               const ZoneDigests& digests,
                               Instant now) {
  ZoneDigests changed;
  for (const ZoneDigest& it : digests.zones) {
    if (it.zone != zone_ && roster_->FindZone(it.zone) &&
        zones_.Merge(it, now)) {
      changed.zones.push_back(it);
    }
  }
  const Roster::Zone* sender_zone = roster_->ZoneOf(from.host);
  if (sender_zone && sender_zone->id == zone_) {
    RelayInZone(digests, now);
  } else if (!changed.zones.empty()) {
    changed.round = random_();
    StartRelayInZone(changed, now);
  }
}

// The origin sends only to the root of the tree of the round, and to its own
// children when the round comes back to it.
void Membership::StartRelayInZone(const ZoneDigests& digests, Instant now) {
  const HostId root = SortedByRank(PresentHosts(now), digests.round).front();
  if (root == self_.host)
    RelayInZone(digests, now);
  else
    pending_.push_back({{root}, digests});
}

void Membership::RelayInZone(const ZoneDigests& digests, Instant now) {
  auto& rounds = relayed_rounds_;
  if (std::find(rounds.begin(), rounds.end(), digests.round) != rounds.end())
    return;
  if (rounds.size() == kRememberedRounds)
    rounds.erase(rounds.begin());
  rounds.push_back(digests.round);
  auto targets = RelayTargets(PresentHosts(now), self_.host, digests.round,
                              options_.relay_fan_out);
  if (!targets.empty())
    pending_.push_back({std::move(targets), digests});
}

void Membership::OnHostList(const std::vector<HostListEntry>& list,
                            Instant now) {
  if (!roster_)
    return;
  std::set<HostId> listed;
  for (const HostListEntry& it : list) {
    if (!it.leaving)
      listed.insert(it.host);
  }
  unlisted_.clear();
  for (const auto& [host, member] : members_) {
    if (!listed.contains(host))
      unlisted_.insert(host);
  }
  host_list_until_ = now + options_.max_host_list_age;
}

void Membership::Ready(Instant now) {
  if (!life_cycle_.Ready())
    return;
  next_heartbeat_ = now;
  ++view_version_;
}

void Membership::Leave(Instant now) {
  if (life_cycle_.Leave())
    SendNotice(HostState::kLeaving, now);
}

void Membership::Stop(Instant now) {
  if (life_cycle_.Stop())
    SendNotice(HostState::kStopped, now);
}

void Membership::SendNotice(HostState state, Instant now) {
  ++view_version_;
  next_heartbeat_ = now;
  std::vector<HostId> targets;
  for (const auto& [host, member] : members_)
    targets.push_back(host);
  if (!targets.empty())
    pending_.push_back({std::move(targets), LeavingNotice{state}});
}

void Membership::SetOwnLoad(std::vector<ServerInFlight> in_flight,
                            int64_t capacity,
                            Instant now) {
  own_in_flight_total_ = 0;
  for (const ServerInFlight& it : in_flight)
    own_in_flight_total_ += it.requests;
  own_in_flight_ = std::move(in_flight);
  own_capacity_ = capacity;
  own_load_at_ = now;
}

void Membership::SetOwnConfig(const ConfigStamp& stamp) {
  own_config_ = stamp;
}

std::vector<OutgoingMessage> Membership::Tick(Instant now) {
  if (!roster_)
    return {};
  DiscountOwnPause(now);
  RefreshView(now);
  if (life_cycle_.state() != HostState::kStopped) {
    if (now >= next_heartbeat_)
      SendHeartbeats(now);
    SendOwnDigestIfChanged(now);
    if (now >= next_digest_)
      SendDigests(now);
  }
  last_tick_ = now;
  return std::exchange(pending_, {});
}

Instant Membership::NextWake() const {
  if (!roster_)
    return Instant::Never();
  if (!pending_.empty())
    return last_tick_;
  if (life_cycle_.state() == HostState::kStopped)
    return Instant::Never();
  return std::min(next_heartbeat_, next_digest_);
}

void Membership::DiscountOwnPause(Instant now) {
  const Duration gap = now - last_tick_;
  if (gap <= HeartbeatInterval() * 2)
    return;
  for (auto& [host, it] : members_)
    it.member.DiscountPause(gap);
}

void Membership::SendHeartbeats(Instant now) {
  next_heartbeat_ = now + HeartbeatInterval();
  std::vector<HostId> targets;
  targets.reserve(members_.size());
  for (const auto& [host, member] : members_)
    targets.push_back(host);
  if (!targets.empty())
    pending_.push_back({std::move(targets), OwnHeartbeat(now)});
}

Heartbeat Membership::OwnHeartbeat(Instant now) {
  Heartbeat heartbeat;
  heartbeat.zone = zone_;
  heartbeat.sequence = ++sequence_;
  heartbeat.state = life_cycle_.state();
  heartbeat.config = own_config_;
  heartbeat.capacity = own_capacity_;
  heartbeat.in_flight_total = own_in_flight_total_;
  heartbeat.in_flight_age = now - own_load_at_;
  if (HeartbeatInterval() <= options_.max_load_interval)
    heartbeat.in_flight = own_in_flight_;
  if (now < host_list_until_)
    heartbeat.unlisted = {unlisted_.begin(), unlisted_.end()};
  return heartbeat;
}

bool Membership::IsCarrier(Instant now) const {
  const auto first = TopRankedHosts(options_.carriers, now);
  return std::find(first.begin(), first.end(), self_.host) != first.end();
}

void Membership::SendDigests(Instant now) {
  next_digest_ = now + DigestInterval();
  if (!IsCarrier(now))
    return;
  ZoneDigests bundle{Digests(now), random_()};
  std::vector<const Roster::Zone*> others;
  for (const Roster::Zone& it : roster_->zones()) {
    if (it.id != zone_ && !it.hosts.empty())
      others.push_back(&it);
  }
  std::shuffle(others.begin(), others.end(), random_);
  others.resize(std::min(others.size(), options_.digest_fan_out));
  std::vector<HostId> targets;
  for (const Roster::Zone* it : others) {
    const auto contacts = ContactsIn(it->id, options_.carriers);
    if (!contacts.empty())
      targets.push_back(contacts[random_() % contacts.size()]);
  }
  if (!targets.empty())
    pending_.push_back({std::move(targets), bundle});
  StartRelayInZone(bundle, now);
}

// A change of the excluded hosts is sent to the other zones at once, outside
// the regular interval.
void Membership::SendOwnDigestIfChanged(Instant now) {
  const Roster::Zone* own = roster_->FindZone(zone_);
  if (!own || now < next_extra_digest_ || sent_view_version_ == view_version_)
    return;
  sent_view_version_ = view_version_;
  std::vector<HostId> excluded = ExcludedHosts(*own, now);
  if (excluded == sent_excluded_)
    return;
  sent_excluded_ = std::move(excluded);
  if (!IsCarrier(now))
    return;
  next_extra_digest_ = now + options_.min_digest_interval;
  std::vector<HostId> targets;
  for (const Roster::Zone& it : roster_->zones()) {
    const auto contacts =
        it.id == zone_ ? std::vector<HostId>() : ContactsIn(it.id, 1);
    targets.insert(targets.end(), contacts.begin(), contacts.end());
  }
  if (!targets.empty()) {
    pending_.push_back(
        {std::move(targets), ZoneDigests{{OwnDigest(now)}, random_()}});
  }
}

}  // namespace toucanknot
