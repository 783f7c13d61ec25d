// The queries of Membership about the hosts.

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include "include/membership/membership.h"
#include "include/membership/rank.h"

namespace toucanknot {

Duration Membership::HeartbeatInterval() const {
  const auto targets = static_cast<int64_t>(members_.size());
  return std::max(options_.min_heartbeat_interval,
                  options_.heartbeat_spacing * targets);
}

Duration Membership::DigestInterval() const {
  const auto zones = static_cast<int64_t>(roster_->zones().size());
  return std::max(options_.min_digest_interval,
                  options_.digest_spacing * zones);
}

SilenceLimits Membership::CurrentSilenceLimits() const {
  const Duration interval = HeartbeatInterval();
  return {interval * options_.suspect_intervals,
          interval * options_.dead_intervals};
}

Duration Membership::StaleDigestAfter() const {
  return DigestInterval() * options_.stale_digest_rounds;
}

Liveness Membership::LivenessOf(const HostId& host,
                                const Member& member,
                                Instant now) const {
  const bool unlisted = now < host_list_until_ && unlisted_.contains(host);
  return member.LivenessAt(now, CurrentSilenceLimits(), unlisted);
}

bool Membership::IsUsable(const HostId& host, Instant now) const {
  if (host == self_.host)
    return life_cycle_.state() == HostState::kServing;
  const auto it = members_.find(host);
  return it != members_.end() &&
         it->second.member.state() == HostState::kServing &&
         LivenessOf(host, it->second.member, now) != Liveness::kDead;
}

bool Membership::IsConfirmed(const HostId& host, Instant now) const {
  if (host == self_.host)
    return true;
  const auto it = members_.find(host);
  return it != members_.end() &&
         LivenessOf(host, it->second.member, now) == Liveness::kLive;
}

std::vector<HostId> Membership::ExcludedHosts(const Roster::Zone& zone,
                                              Instant now) const {
  std::vector<HostId> excluded;
  if (IsInMesh(zone.id)) {
    for (const HostId& it : zone.hosts) {
      if (!IsUsable(it, now))
        excluded.push_back(it);
    }
  } else if (const ZoneDigest* digest = zones_.Find(zone.id)) {
    excluded = digest->excluded;
  }
  return excluded;
}

std::vector<HostId> Membership::LiveHosts(const ZoneId& zone,
                                          Instant now) const {
  std::vector<HostId> live;
  for (const EntryCandidate& it : CandidatesIn(zone, now)) {
    if (it.confirmed)
      live.push_back(it.host);
  }
  return live;
}

std::vector<EntryCandidate> Membership::CandidatesIn(const ZoneId& id,
                                                     Instant now) const {
  std::vector<EntryCandidate> hosts;
  const Roster::Zone* zone = roster_ ? roster_->FindZone(id) : nullptr;
  if (!zone)
    return hosts;
  const bool mesh = IsInMesh(id);
  const bool fresh = now - zones_.MadeAt(id) <= StaleDigestAfter();
  const std::vector<HostId> excluded = ExcludedHosts(*zone, now);
  for (const HostId& it : zone->hosts) {
    if (std::find(excluded.begin(), excluded.end(), it) != excluded.end())
      continue;
    hosts.push_back(
        {it, id, Proximity::kZone, mesh ? IsConfirmed(it, now) : fresh});
  }
  return hosts;
}

std::vector<HostId> Membership::PresentHosts(Instant now) const {
  std::vector<HostId> present;
  const Roster::Zone* own = roster_ ? roster_->FindZone(zone_) : nullptr;
  if (!own)
    return {self_.host};
  for (const HostId& it : own->hosts) {
    if (it == self_.host) {
      present.push_back(it);
      continue;
    }
    const auto member = members_.find(it);
    if (member != members_.end() &&
        LivenessOf(it, member->second.member, now) == Liveness::kLive) {
      present.push_back(it);
    }
  }
  return present;
}

std::vector<HostId> Membership::TopRankedHosts(size_t count,
                                               Instant now) const {
  using RankedHost = std::pair<uint64_t, const HostId*>;
  std::vector<RankedHost> staying;
  std::vector<RankedHost> leaving;
  const auto add = [&](HostState state, uint64_t rank, const HostId& host) {
    (state <= HostState::kServing ? staying : leaving)
        .emplace_back(rank, &host);
  };
  add(life_cycle_.state(), RankOf(self_.host.str(), kCarrierTag), self_.host);
  for (const auto& [host, it] : members_) {
    if (it.in_zone && LivenessOf(host, it.member, now) == Liveness::kLive)
      add(it.member.state(), it.rank, host);
  }
  std::vector<RankedHost>& ranked_hosts = staying.empty() ? leaving : staying;
  const size_t n = std::min(ranked_hosts.size(), count);
  const auto by_rank = [](const RankedHost& a, const RankedHost& b) {
    return std::tie(a.first, *a.second) < std::tie(b.first, *b.second);
  };
  std::partial_sort(ranked_hosts.begin(),
                    ranked_hosts.begin() + static_cast<long>(n),
                    ranked_hosts.end(), by_rank);
  std::vector<HostId> first;
  for (size_t i = 0; i < n; ++i)
    first.push_back(*ranked_hosts[i].second);
  return first;
}

std::vector<HostId> Membership::ContactsIn(const ZoneId& id,
                                           size_t count) const {
  const Roster::Zone* zone = roster_ ? roster_->FindZone(id) : nullptr;
  if (!zone)
    return {};
  std::vector<HostId> hosts;
  const ZoneDigest* digest = zones_.Find(id);
  for (const HostId& it : zone->hosts) {
    if (!digest || std::find(digest->excluded.begin(), digest->excluded.end(),
                             it) == digest->excluded.end()) {
      hosts.push_back(it);
    }
  }
  // If all are excluded, the digest may be out of date, so all remain
  // candidates.
  auto ranked = SortedByRank(hosts.empty() ? zone->hosts : hosts, kCarrierTag);
  ranked.resize(std::min(ranked.size(), count));
  return ranked;
}

std::vector<EntryCandidate> Membership::CandidatesFor(const ZoneId& zone,
                                                      uint64_t salt,
                                                      Instant now) const {
  std::vector<EntryCandidate> out;
  const Roster::Zone* own = roster_ ? roster_->FindZone(zone) : nullptr;
  if (!own)
    return out;
  AppendCandidates(zone, Proximity::kZone, salt, now, &out);
  for (const RegionId& region : roster_->RegionsFrom(own->region)) {
    const auto proximity =
        region == own->region ? Proximity::kRegion : Proximity::kOtherRegion;
    for (const Roster::Zone& it : roster_->zones()) {
      if (it.region == region && it.id != zone)
        AppendCandidates(it.id, proximity, salt, now, &out);
    }
  }
  std::stable_partition(out.begin(), out.end(),
                        [](const EntryCandidate& c) { return c.confirmed; });
  return out;
}

void Membership::AppendCandidates(const ZoneId& zone,
                                  Proximity proximity,
                                  uint64_t salt,
                                  Instant now,
                                  std::vector<EntryCandidate>* out) const {
  std::vector<EntryCandidate> hosts = CandidatesIn(zone, now);
  std::sort(hosts.begin(), hosts.end(), [&](const auto& a, const auto& b) {
    return RankOf(a.host.str(), salt) < RankOf(b.host.str(), salt);
  });
  for (EntryCandidate& it : hosts) {
    it.proximity = proximity;
    out->push_back(std::move(it));
  }
}

ZoneDigest Membership::OwnDigest(Instant now) const {
  ZoneDigest digest;
  digest.zone = zone_;
  digest.capacity = own_capacity_;
  digest.config = own_config_;
  digest.in_flight = own_in_flight_total_;
  for (const auto& [host, it] : members_) {
    const Member& member = it.member;
    if (!it.in_zone || LivenessOf(host, member, now) != Liveness::kLive)
      continue;
    digest.capacity += member.capacity();
    digest.config = std::max(digest.config, member.config());
    digest.in_flight += member.in_flight_total();
  }
  if (const Roster::Zone* own = roster_->FindZone(zone_)) {
    digest.excluded = ExcludedHosts(*own, now);
    digest.live_hosts =
        static_cast<int32_t>(own->hosts.size() - digest.excluded.size());
  }
  return digest;
}

std::vector<ZoneDigest> Membership::Digests(Instant now) const {
  if (!roster_)
    return {};
  auto digests = zones_.Since(now - StaleDigestAfter(), now);
  digests.push_back(OwnDigest(now));
  return digests;
}

std::vector<HostLoad> Membership::Loads() const {
  std::vector<HostLoad> loads;
  for (const auto& [host, it] : members_) {
    const Member& member = it.member;
    if (member.seen()) {
      loads.push_back(
          {host, member.in_flight(), member.capacity(), member.in_flight_at()});
    }
  }
  return loads;
}

std::map<HostId, ConfigStamp> Membership::Configs() const {
  std::map<HostId, ConfigStamp> configs;
  configs[self_.host] = own_config_;
  for (const auto& [host, it] : members_)
    configs[host] = it.member.config();
  return configs;
}

// Hashes everything that query results depend on, to detect possible changes.
void Membership::RefreshView(Instant now) {
  uint64_t hash = 0;
  const auto add = [&](std::string_view text, uint64_t fact) {
    hash = XXH64(text.data(), text.size(), hash * 31 + fact);
  };
  for (const auto& [host, it] : members_) {
    const Liveness liveness = LivenessOf(host, it.member, now);
    add(host.str(), static_cast<uint64_t>(liveness) * 4 +
                        static_cast<uint64_t>(it.member.state()));
  }
  for (const Roster::Zone& zone : roster_->zones()) {
    const ZoneDigest* digest = zones_.Find(zone.id);
    if (!digest)
      continue;
    add(zone.id.str(), now - zones_.MadeAt(zone.id) <= StaleDigestAfter());
    for (const HostId& it : digest->excluded)
      add(it.str(), 0);
  }
  if (hash != view_hash_)
    ++view_version_;
  view_hash_ = hash;
}

}  // namespace toucanknot
