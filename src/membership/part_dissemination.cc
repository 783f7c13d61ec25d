#include "include/membership/part_dissemination.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "include/base/digest.h"
#include "include/membership/rank.h"

namespace toucanknot {
namespace {

// Attempts after which a host asks the store itself, and again at each
// multiple.
constexpr int kStoreAttempt = 4;
// The most hosts that may wait here for one part.
constexpr size_t kMaxWaiting = 64;
constexpr uint64_t kPartTag = 2;

bool IsNamedSo(const std::string& name, const std::string& bytes) {
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

void PartDissemination::Want(const std::vector<std::string>& names,
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
    OnAsk(from.host, ask->digest);
    return;
  }
  const auto* give = std::get_if<PartGive>(&message);
  if (!give || !wanted_.contains(give->digest))
    return;
  if (give->found && IsNamedSo(give->digest, give->data))
    Take(give->digest, give->data);
  else
    Retry(give->digest, now);
}

void PartDissemination::OnStorePart(const std::string& name,
                                    const std::optional<std::string>& bytes,
                                    Instant now) {
  if (!wanted_.contains(name))
    return;
  if (bytes && IsNamedSo(name, *bytes))
    Take(name, *bytes);
  else
    Retry(name, now);
}

// Who wants the part, too, answers later; who does not know of it, at once.
void PartDissemination::OnAsk(const HostId& from, const std::string& name) {
  const auto wanted = wanted_.find(name);
  if (wanted != wanted_.end() && wanted->second.waiting.size() < kMaxWaiting) {
    wanted->second.waiting.insert(from);
    return;
  }
  const auto fetched = fetched_.find(name);
  Give(
      {from}, name,
      fetched != fetched_.end() ? std::optional(fetched->second) : find_(name));
}

void PartDissemination::Give(const std::vector<HostId>& to,
                             const std::string& name,
                             const std::optional<std::string>& bytes) {
  if (!to.empty())
    pending_.push_back(
        {to, PartGive{name, bytes.has_value(), bytes.value_or("")}});
}

void PartDissemination::Take(const std::string& name,
                             const std::string& bytes) {
  auto fetch = wanted_.extract(name);
  const std::set<HostId>& waiting = fetch.mapped().waiting;
  Give({waiting.begin(), waiting.end()}, name, bytes);
  fetched_.emplace(name, bytes);
}

void PartDissemination::Retry(const std::string& name, Instant now) {
  Fetch& fetch = wanted_.at(name);
  Duration pause = options_.min_backoff;
  for (int i = 1; i < fetch.attempts && pause < options_.max_backoff; ++i)
    pause = pause * 2;
  std::uniform_int_distribution<int64_t> ms(pause.ms() / 2, pause.ms());
  fetch.asked = false;
  fetch.next = now + Duration(ms(random_));
}

std::vector<OutgoingMessage> PartDissemination::Tick(
    Instant now,
    std::vector<std::string>* store_reads) {
  size_t outstanding = 0;
  for (auto& [name, fetch] : wanted_) {
    if (fetch.asked && now >= fetch.next)
      Retry(name, now);
    outstanding += fetch.asked;
  }
  for (auto& [name, fetch] : wanted_) {
    if (outstanding == options_.max_outstanding)
      break;
    if (fetch.asked || now < fetch.next)
      continue;
    Start(name, fetch, now, store_reads);
    ++outstanding;
  }
  return std::exchange(pending_, {});
}

void PartDissemination::Start(const std::string& name,
                              Fetch& fetch,
                              Instant now,
                              std::vector<std::string>* store_reads) {
  const auto source = SourceFor(name, ++fetch.attempts, now);
  fetch.asked = true;
  fetch.next = now + options_.answer_limit;
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
      Ranked(membership_->PresentHosts(now), RankOf(name, kPartTag));
  const auto at =
      std::find(order.begin(), order.end(), membership_->self().host);
  const auto place = static_cast<size_t>(at - order.begin());
  if (place == 0 || at == order.end())
    return std::nullopt;
  return order[(place - 1) / options_.fan_out];
}

// Any host of any zone, but for this one.
std::optional<HostId> PartDissemination::RandomHost(Instant now) {
  const RosterPtr& roster = membership_->roster();
  const auto& zones = roster->zones();
  const Roster::Zone& zone = zones[random_() % zones.size()];
  std::vector<HostId> hosts =
      zone.id == membership_->zone()
          ? membership_->PresentHosts(now)
          : membership_->ContactsOf(zone.id, zone.hosts.size());
  std::erase(hosts, membership_->self().host);
  if (hosts.empty())
    return std::nullopt;
  return hosts[random_() % hosts.size()];
}

Instant PartDissemination::NextWake() const {
  if (!pending_.empty())
    return Instant();
  size_t outstanding = 0;
  Instant answers = Instant::Never();
  Instant starts = Instant::Never();
  for (const auto& [name, fetch] : wanted_) {
    outstanding += fetch.asked;
    Instant& next = fetch.asked ? answers : starts;
    next = std::min(next, fetch.next);
  }
  return outstanding < options_.max_outstanding ? std::min(answers, starts)
                                                : answers;
}

}  // namespace toucanknot
