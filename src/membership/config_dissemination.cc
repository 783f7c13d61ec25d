#include "include/membership/config_dissemination.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "include/membership/rank.h"

namespace toucanknot {

ConfigDissemination::ConfigDissemination(Membership* membership,
                                         ConfigDisseminationOptions options,
                                         StampFn stamp_of,
                                         AcceptFn accept,
                                         uint64_t seed)
    : membership_(membership),
      options_(options),
      stamp_of_(std::move(stamp_of)),
      accept_(std::move(accept)),
      random_(seed),
      watch_backoff_(options.watch_backoff, random_()) {}

void ConfigDissemination::OnMessage(const PeerSender& from,
                                    const PeerMessage& message,
                                    Instant now) {
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message))
    NoteStamp(from.host, heartbeat->config, now);
  else if (const auto* digests = std::get_if<ZoneDigests>(&message))
    NoteDigests(*digests, now);
  else if (const auto* compare = std::get_if<ConfigCompare>(&message))
    OnCompare(from.host, compare->have, now);
  else if (const auto* ask = std::get_if<ConfigAsk>(&message))
    OnCompare(from.host, ask->have, now);
  else if (const auto* push = std::get_if<ConfigPush>(&message))
    OnPush(from.host, *push, now);
}

// Remembers which host has a newer version; its push is probably on its way.
void ConfigDissemination::NoteStamp(const HostId& host,
                                    const ConfigStamp& stamp,
                                    Instant now) {
  if (stamp.version == stamp_.version && stamp.version != 0 &&
      stamp.digest != stamp_.digest) {
    ++stats_.conflicts;
  }
  if (stamp.version <= stamp_.version || stamp == rejected_)
    return;
  newest_known_version_ = std::max(newest_known_version_, stamp.version);
  const Instant since = newer_source_ ? newer_source_->since : now;
  if (!newer_source_ || stamp.version >= newer_source_->stamp.version)
    newer_source_ = NewerSource{host, stamp, since};
}

// Only the zone's readers request from another zone; otherwise all its hosts
// would.
void ConfigDissemination::NoteDigests(const ZoneDigests& digests, Instant now) {
  for (const ZoneDigest& it : digests.zones) {
    if (it.config.version <= stamp_.version || !is_reader_)
      continue;
    const auto contacts = membership_->ContactsIn(it.zone, options_.readers);
    if (!contacts.empty())
      NoteStamp(contacts[random_() % contacts.size()], it.config, now);
  }
}

void ConfigDissemination::OnCompare(const HostId& from,
                                    const ConfigStamp& have,
                                    Instant now) {
  if (have.version < stamp_.version)
    PushTo(from, now);
  else
    NoteStamp(from, have, now);
}

void ConfigDissemination::OnPush(const HostId& from,
                                 const ConfigPush& push,
                                 Instant now) {
  ++stats_.pushes_received;
  if (push.stamp == stamp_ && relayed_version_ != stamp_.version)
    Relay(false, now);
  if (push.stamp.version < stamp_.version || push.stamp == stamp_)
    return;
  if (stamp_of_(push.text) != push.stamp || !TryAccept(push.stamp, push.text))
    return;
  const RosterPtr& roster = membership_->roster();
  const Roster::Zone* zone = roster ? roster->ZoneOf(from) : nullptr;
  Relay(!zone || zone->id != membership_->zone(), now);
}

bool ConfigDissemination::TryAccept(const ConfigStamp& stamp,
                                    const std::string& text) {
  if (stamp.version == stamp_.version && stamp.digest != stamp_.digest)
    ++stats_.conflicts;
  if (stamp.version <= stamp_.version || stamp == rejected_)
    return false;
  newest_known_version_ = std::max(newest_known_version_, stamp.version);
  if (!accept_(stamp, text)) {
    rejected_ = stamp;
    newer_source_.reset();
    ++stats_.rejected;
    return false;
  }
  stamp_ = stamp;
  text_ = text;
  membership_->SetOwnConfig(stamp_);
  pushed_at_.clear();
  if (newer_source_ && newer_source_->stamp.version <= stamp_.version)
    newer_source_.reset();
  return true;
}

void ConfigDissemination::OnWatchValue(uint64_t revision,
                                       const std::string& text,
                                       Instant now) {
  watch_backoff_.OnSuccess(now);
  seen_revision_ = revision;
  const std::optional<ConfigStamp> stamp = stamp_of_(text);
  if (!stamp) {
    ++stats_.rejected;
    return;
  }
  store_version_ = stamp->version;
  if (TryAccept(*stamp, text))
    Relay(true, now);
}

void ConfigDissemination::OnWatchTimeout(Instant now) {
  if (membership_->roster())
    watch_backoff_.OnSuccess(now);
  else
    watch_backoff_.OnFailure(now);
}

void ConfigDissemination::OnWatchFailure(Instant now) {
  watch_backoff_.OnFailure(now);
}

// Each version has its own tree. The origin sends only to the root, and to its
// own children when the version comes back to it through the tree.
void ConfigDissemination::Relay(bool is_origin, Instant now) {
  const HostId& self = membership_->self().host;
  const auto hosts = membership_->PresentHosts(now);
  OutgoingMessage out;
  if (is_origin)
    out.to = {SortedByRank(hosts, stamp_.version).front()};
  if (!is_origin || out.to.front() == self) {
    relayed_version_ = stamp_.version;
    out.to = RelayTargets(hosts, self, stamp_.version, options_.fan_out);
  }
  if (out.to.empty())
    return;
  for (const HostId& it : out.to)
    pushed_at_[it] = now;
  stats_.pushes_sent += out.to.size();
  out.message = ConfigPush{stamp_, text_};
  pending_.push_back(std::move(out));
}

void ConfigDissemination::PushTo(const HostId& host, Instant now) {
  const auto [it, is_new] = pushed_at_.try_emplace(host, now);
  if (!is_new && now - it->second < options_.request_after)
    return;
  it->second = now;
  ++stats_.pushes_sent;
  pending_.push_back({{host}, ConfigPush{stamp_, text_}});
}

std::vector<OutgoingMessage> ConfigDissemination::Tick(
    Instant now,
    std::optional<WatchRequest>* watch) {
  // A host without a roster knows no peers, so it reads the store until it has
  // a version.
  const bool has_roster = membership_->roster() != nullptr;
  is_reader_ = has_roster ? IsReader(now) : stamp_.version == 0;
  if (is_reader_ && watch_backoff_.IsDue(now)) {
    watch_backoff_.OnStart(now);
    *watch = WatchRequest{seen_revision_,
                          has_roster ? options_.watch_limit : Duration()};
  }
  if (newer_source_)
    RequestNewer(now);
  if (now >= next_compare_)
    Compare(now);
  return std::exchange(pending_, {});
}

void ConfigDissemination::RequestNewer(Instant now) {
  const bool wait_for_push = stamp_.version != 0;
  if (now < next_request_ ||
      (wait_for_push && now - newer_source_->since < options_.request_after)) {
    return;
  }
  next_request_ = now + options_.request_timeout;
  ++stats_.requests_sent;
  pending_.push_back({{newer_source_->host}, ConfigAsk{stamp_}});
  // If that host does not respond, the next heartbeat selects another one.
  newer_source_.reset();
}

void ConfigDissemination::Compare(Instant now) {
  std::uniform_int_distribution<int64_t> ms(options_.compare_interval.ms() / 2,
                                            options_.compare_interval.ms());
  next_compare_ = now + Duration(ms(random_));
  const RosterPtr& roster = membership_->roster();
  if (!roster || roster->zones().empty())
    return;
  const auto& zones = roster->zones();
  const Roster::Zone& zone = zones[random_() % zones.size()];
  const auto hosts = membership_->ContactsIn(zone.id, zone.hosts.size());
  if (hosts.empty())
    return;
  const HostId& host = hosts[random_() % hosts.size()];
  if (host != membership_->self().host)
    pending_.push_back({{host}, ConfigCompare{stamp_}});
}

Instant ConfigDissemination::NextWake() const {
  if (!pending_.empty())
    return Instant();
  Instant wake = next_compare_;
  if (is_reader_)
    wake = std::min(wake, watch_backoff_.NextDue());
  if (newer_source_)
    wake = std::min(wake, std::max(next_request_, newer_source_->since +
                                                      options_.request_after));
  return wake;
}

bool ConfigDissemination::IsReader(Instant now) const {
  const auto first = membership_->TopRankedHosts(options_.readers, now);
  return std::find(first.begin(), first.end(), membership_->self().host) !=
         first.end();
}

ConfigDisseminationStats ConfigDissemination::stats() const {
  ConfigDisseminationStats stats = stats_;
  stats.store_calls = watch_backoff_.calls();
  return stats;
}

}  // namespace toucanknot
