#include "include/membership/fleet_agent.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "include/base/error.h"

namespace toucanknot {

FleetAgent::FleetAgent(const Builder& builder)
    : membership_(builder.self_,
                  builder.zone_,
                  builder.membership_options_,
                  builder.seed_),
      dissemination_(&membership_,
                     builder.dissemination_options_,
                     builder.stamp_of_,
                     builder.accept_,
                     builder.seed_ + 1),
      parts_(&membership_, {}, builder.find_part_, builder.seed_ + 3),
      list_backoff_(builder.list_backoff_options_, builder.seed_ + 2) {}

void FleetAgent::OnRoster(RosterPtr roster, Instant now) {
  membership_.OnRoster(std::move(roster), now);
}

void FleetAgent::OnMessage(const PeerSender& from,
                           const PeerMessage& message,
                           Instant now) {
  membership_.OnMessage(from, message, now);
  dissemination_.OnMessage(from, message, now);
  parts_.OnMessage(from, message, now);
}

void FleetAgent::OnWatchValue(uint64_t revision,
                              const std::string& text,
                              Instant now) {
  dissemination_.OnWatchValue(revision, text, now);
}

void FleetAgent::OnWatchTimeout(Instant now) {
  dissemination_.OnWatchTimeout(now);
}

void FleetAgent::OnWatchFailure(Instant now) {
  dissemination_.OnWatchFailure(now);
}

void FleetAgent::OnHostList(const std::vector<HostListEntry>& list,
                            Instant now) {
  list_backoff_.OnSuccess(now);
  membership_.OnHostList(list, now);
}

void FleetAgent::OnHostListFailure(Instant now) {
  list_backoff_.OnFailure(now);
}

void FleetAgent::OnStorePart(const std::string& name,
                             const std::optional<std::string>& bytes,
                             Instant now) {
  parts_.OnStorePart(name, bytes, now);
}

FleetActions FleetAgent::Tick(Instant now) {
  FleetActions actions;
  const auto add = [&](std::vector<OutgoingMessage> more) {
    std::move(more.begin(), more.end(), std::back_inserter(actions.messages));
  };
  add(membership_.Tick(now));
  add(dissemination_.Tick(now, &actions.watch));
  add(parts_.Tick(now, &actions.part_reads));
  is_reader_ = dissemination_.is_reader();
  if (is_reader_ && list_backoff_.IsDue(now)) {
    list_backoff_.OnStart(now);
    actions.list_hosts = true;
  }
  return actions;
}

Instant FleetAgent::NextWake() const {
  Instant wake = std::min(
      {membership_.NextWake(), dissemination_.NextWake(), parts_.NextWake()});
  if (is_reader_)
    wake = std::min(wake, list_backoff_.NextDue());
  return wake;
}

uint64_t FleetAgent::store_calls() const {
  return dissemination_.stats().store_calls + list_backoff_.calls() +
         parts_.store_reads();
}

FleetAgent::Builder& FleetAgent::Builder::SetSelf(PeerSender self,
                                                  ZoneId zone) {
  self_ = std::move(self);
  zone_ = std::move(zone);
  return *this;
}

FleetAgent::Builder& FleetAgent::Builder::SetMembershipOptions(
    MembershipOptions options) {
  membership_options_ = options;
  return *this;
}

FleetAgent::Builder& FleetAgent::Builder::SetDisseminationOptions(
    ConfigDisseminationOptions options) {
  dissemination_options_ = options;
  return *this;
}

FleetAgent::Builder& FleetAgent::Builder::SetHostListBackoff(
    StoreBackoffOptions options) {
  list_backoff_options_ = options;
  return *this;
}

FleetAgent::Builder& FleetAgent::Builder::SetHooks(
    ConfigDissemination::StampFn stamp_of,
    ConfigDissemination::AcceptFn accept) {
  stamp_of_ = std::move(stamp_of);
  accept_ = std::move(accept);
  return *this;
}

FleetAgent::Builder& FleetAgent::Builder::SetPartHook(
    PartDissemination::FindFn find) {
  find_part_ = std::move(find);
  return *this;
}

FleetAgent::Builder& FleetAgent::Builder::SetSeed(uint64_t seed) {
  seed_ = seed;
  return *this;
}

std::unique_ptr<FleetAgent> FleetAgent::Builder::Build() const {
  if (self_.host.empty() || zone_.empty() || !stamp_of_ || !accept_)
    throw Error("a fleet agent needs a host, its zone and both hooks");
  return std::unique_ptr<FleetAgent>(new FleetAgent(*this));
}

}  // namespace toucanknot
