#include "include/entry/store_readers.h"

#include <algorithm>
#include <utility>

#include "include/membership/rank.h"

namespace toucanknot {
namespace {

// The tag of the rank by which the readers of a zone are chosen.
constexpr uint64_t kStoreReaderTag = 3;

}  // namespace

void StoreReaders::SetSelf(std::optional<HostRecord> self) {
  self_ = std::move(self);
  UpdateRole();
}

void StoreReaders::OnHost(const HostRecord& record) {
  hosts_[record.host] = {record.zone, record.incarnation};
  UpdateRole();
}

void StoreReaders::OnHostRemoved(const HostId& host) {
  hosts_.erase(host);
  sources_.erase(host);
  UpdateRole();
}

void StoreReaders::OnHostsListed(const std::set<HostId>& hosts) {
  const auto unlisted = [&](const auto& it) {
    return !hosts.contains(it.first);
  };
  std::erase_if(hosts_, unlisted);
  std::erase_if(sources_, unlisted);
  UpdateRole();
}

void StoreReaders::UpdateRole() {
  role_ = StoreRole::kAlone;
  if (!self_)
    return;
  // A record of an earlier run of this host may still be listed: the other
  // hosts do not send news to this run yet.
  const auto own = hosts_.find(self_->host);
  if (own == hosts_.end() || own->second.incarnation != self_->incarnation)
    return;
  std::vector<HostId> zone;
  for (const auto& [id, host] : hosts_) {
    if (host.zone == self_->zone)
      zone.push_back(id);
  }
  if (zone.size() < kMinHosts)
    return;
  zone = SortedByRank(std::move(zone), kStoreReaderTag);
  const auto end = zone.begin() + kReaders;
  role_ = std::find(zone.begin(), end, self_->host) != end
              ? StoreRole::kReader
              : StoreRole::kFollower;
}

void StoreReaders::OnOwnRead(uint64_t revision) {
  revision_ = std::max(revision_, revision);
  read_required_ = false;
  if (revision_ >= gap_revision_)
    gap_since_.reset();
}

void StoreReaders::OnEra(uint64_t era) {
  era_ = era;
  revision_ = gap_revision_ = 0;
  gap_since_.reset();
  known_until_.reset();
  sound_since_.reset();
  sources_.clear();
  read_required_ = true;
  following_ = false;
}

bool StoreReaders::IsPeer(const StoreNews& news) const {
  if (!self_ || news.host == self_->host)
    return false;
  // News of any listed host of the zone counts, whether or not this host would
  // choose it as a reader: views of the hosts may differ for a moment.
  const auto it = hosts_.find(news.host);
  return it != hosts_.end() && it->second.zone == self_->zone &&
         it->second.incarnation == news.incarnation;
}

std::vector<StoreChange> StoreReaders::OnNews(const StoreNews& news,
                                              Instant now) {
  // Before its first own read, a host has no state to which changes apply.
  if (!IsPeer(news) || revision_ == 0)
    return {};
  if (news.era != 0 && era_ != 0 && news.era != era_) {
    // The host learns of a later era from the store itself.
    read_required_ = read_required_ || news.era > era_;
    return {};
  }
  NoteSuspension(now);
  std::vector<StoreChange> changes;
  // A host that watches gets a value that was left out from its own watch.
  const bool complete =
      following_ ||
      std::all_of(news.changes.begin(), news.changes.end(),
                  [](const StoreChange& it) { return it.removed || it.value; });
  if (complete && news.before <= revision_ && news.revision > revision_) {
    for (const StoreChange& it : news.changes) {
      if (it.revision > revision_)
        changes.push_back(it);
    }
    revision_ = news.revision;
  }
  if (revision_ >= gap_revision_)
    gap_since_.reset();
  if (news.age || news.lost)
    sources_[news.host] = {now, news.lost};
  if (!news.age || news.lost)
    return changes;
  if (news.revision > revision_) {
    gap_revision_ = std::max(gap_revision_, news.revision);
    if (!gap_since_)
      gap_since_ = now;
  } else if (now >= distrust_until_) {
    // The datagram may have waited since the host last ran.
    const Instant received_at = advanced_at_.value_or(now);
    const Instant known = received_at - std::max(*news.age, Duration(0));
    known_until_ = std::max(known_until_.value_or(known), known);
  }
  return changes;
}

void StoreReaders::NoteSuspension(Instant now) {
  if (!advanced_at_ || now - *advanced_at_ <= kSuspended)
    return;
  distrust_until_ = now + kSuspended;
  sound_since_.reset();
  sources_.clear();
}

bool StoreReaders::ReadersLost(Instant now) const {
  bool lost = false;
  for (const auto& [id, it] : sources_) {
    if (now - it.heard_at > kSourceLimit)
      continue;
    if (!it.lost)
      return false;
    lost = true;
  }
  return lost;
}

bool StoreReaders::Sound(Instant now) const {
  return role_ == StoreRole::kFollower && !read_required_ && known_until_ &&
         now - *known_until_ <= max_age_ && now >= distrust_until_ &&
         !(gap_since_ && now - *gap_since_ > kGapLimit) && !ReadersLost(now);
}

void StoreReaders::Advance(bool own_sound, Instant now) {
  NoteSuspension(now);
  advanced_at_ = now;
  if (!Sound(now)) {
    sound_since_.reset();
    following_ = false;
    return;
  }
  if (!sound_since_)
    sound_since_ = now;
  if (!following_)
    following_ = own_sound && !gap_since_ && now - *sound_since_ >= kSettle;
}

}  // namespace toucanknot
