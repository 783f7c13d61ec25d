#include "include/membership/part_dissemination.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "include/base/digest.h"
#include "include/membership/rank.h"

namespace toucanknot {
namespace {

// Every attempt with a number divisible by this reads from the store.
constexpr int kStoreAttempt = 4;
// The most hosts that may wait here for one part.
constexpr size_t kMaxWaiting = 64;
constexpr uint64_t kPartTag = 2;

bool MatchesName(const std::string& name, const std::string& bytes) {
  return !name.empty() && DigestOf(bytes).starts_with(name);
}

}  // namespace

PartDissemination::PartDissemination(const Membership* membership,
                                     PartDisseminationOptions options,
                                     FindFn find,
                                     uint64_t seed)
    : membership_(membership),
      options_(options),
      find_(std::move(find)),
      random_(seed) {}

void PartDissemination::SetWanted(const std::vector<std::string>& names,
                                  Instant now) {
  const std::set<std::string> set(names.begin(), names.end());
  std::erase_if(wanted_,
                [&](const auto& it) { return !set.contains(it.first); });
  std::erase_if(fetched_,
                [&](const auto& it) { return !set.contains(it.first); });
  for (const std::string& it : set) {
    if (!fetched_.contains(it))
      wanted_.try_emplace(it, Fetch{.next = now});
  }
}

void PartDissemination::OnMessage(const PeerSender& from,
                                  const PeerMessage& message,
                                  Instant now) {
  if (const auto* ask = std::get_if<PartAsk>(&message)) {
    OnPartAsk(from.host, ask->digest);
    return;
  }
  const auto* give = std::get_if<PartGive>(&message);
  if (!give || !wanted_.contains(give->digest))
    return;
  if (give->found && MatchesName(give->digest, give->data))
    StorePart(give->digest, give->data);
  else
    Retry(give->digest, now);
}

void PartDissemination::OnStorePart(const std::string& name,
                                    const std::optional<std::string>& bytes,
                                    Instant now) {
  if (!wanted_.contains(name))
    return;
  if (bytes && MatchesName(name, *bytes))
    StorePart(name, *bytes);
  else
    Retry(name, now);
}

// A host that wants the part too replies later; one that does not know it
// replies at once.
void PartDissemination::OnPartAsk(const HostId& from, const std::string& name) {
  const auto wanted = wanted_.find(name);
  if (wanted != wanted_.end() && wanted->second.waiting.size() < kMaxWaiting) {
    wanted->second.waiting.insert(from);
    return;
  }
  const auto fetched = fetched_.find(name);
  SendPart(
      {from}, name,
      fetched != fetched_.end() ? std::optional(fetched->second) : find_(name));
}

void PartDissemination::SendPart(const std::vector<HostId>& to,
                                 const std::string& name,
                                 const std::optional<std::string>& bytes) {
  if (!to.empty())
    pending_.push_back(
        {to, PartGive{name, bytes.has_value(), bytes.value_or("")}});
}

void PartDissemination::StorePart(const std::string& name,
                                  const std::string& bytes) {
  auto fetch = wanted_.extract(name);
  const std::set<HostId>& waiting = fetch.mapped().waiting;
  SendPart({waiting.begin(), waiting.end()}, name, bytes);
  fetched_.emplace(name, bytes);
}

void PartDissemination::Retry(const std::string& name, Instant now) {
  Fetch& fetch = wanted_.at(name);
  Duration pause = options_.min_backoff;
  for (int i = 1; i < fetch.attempts && pause < options_.max_backoff; ++i)
    pause = pause * 2;
  std::uniform_int_distribution<int64_t> ms(pause.ms() / 2, pause.ms());
  fetch.requested = false;
  fetch.next = now + Duration(ms(random_));
}

std::vector<OutgoingMessage> PartDissemination::Tick(
    Instant now,
    std::vector<std::string>* store_reads) {
  size_t outstanding = 0;
  for (auto& [name, fetch] : wanted_) {
    if (fetch.requested && now >= fetch.next)
      Retry(name, now);
    outstanding += fetch.requested;
  }
  for (auto& [name, fetch] : wanted_) {
    if (outstanding == options_.max_outstanding)
      break;
    if (fetch.requested || now < fetch.next)
      continue;
    RequestPart(name, fetch, now, store_reads);
    ++outstanding;
  }
  return std::exchange(pending_, {});
}

void PartDissemination::RequestPart(const std::string& name,
                                    Fetch& fetch,
                                    Instant now,
                                    std::vector<std::string>* store_reads) {
  const auto source = SourceFor(name, ++fetch.attempts, now);
  fetch.requested = true;
  fetch.next = now + options_.response_timeout;
  if (source) {
    pending_.push_back({{*source}, PartAsk{name}});
    return;
  }
  ++store_reads_;
  store_reads->push_back(name);
}

std::optional<HostId> PartDissemination::SourceFor(const std::string& name,
                                                   int attempt,
                                                   Instant now) {
  if (attempt % kStoreAttempt == 0)
    return std::nullopt;
  if (attempt > 1)
    return RandomHost(now);
  const auto order =
      SortedByRank(membership_->PresentHosts(now), RankOf(name, kPartTag));
  const auto at =
      std::find(order.begin(), order.end(), membership_->self().host);
  const auto place = static_cast<size_t>(at - order.begin());
  if (place == 0 || at == order.end())
    return std::nullopt;
  return order[(place - 1) / options_.fan_out];
}

// A random host of a random zone, other than this one.
std::optional<HostId> PartDissemination::RandomHost(Instant now) {
  const RosterPtr& roster = membership_->roster();
  const auto& zones = roster->zones();
  const Roster::Zone& zone = zones[random_() % zones.size()];
  std::vector<HostId> hosts =
      zone.id == membership_->zone()
          ? membership_->PresentHosts(now)
          : membership_->ContactsIn(zone.id, zone.hosts.size());
  std::erase(hosts, membership_->self().host);
  if (hosts.empty())
    return std::nullopt;
  return hosts[random_() % hosts.size()];
}

Instant PartDissemination::NextWake() const {
  if (!pending_.empty())
    return Instant();
  size_t outstanding = 0;
  Instant timeouts = Instant::Never();
  Instant retries = Instant::Never();
  for (const auto& [name, fetch] : wanted_) {
    outstanding += fetch.requested;
    Instant& next = fetch.requested ? timeouts : retries;
    next = std::min(next, fetch.next);
  }
  return outstanding < options_.max_outstanding ? std::min(timeouts, retries)
                                                : timeouts;
}

}  // namespace toucanknot
