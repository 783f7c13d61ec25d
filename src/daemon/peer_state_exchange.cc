#include "src/daemon/peer_state_exchange.h"

#include <utility>
#include <variant>

namespace toucanknot {

PeerStateExchange::PeerStateExchange(States states, FindState find_state)
    : states_(std::move(states)), find_state_(std::move(find_state)) {}

LoadNotice PeerStateExchange::MakeLoadNotice() const {
  LoadNotice notice;
  for (const auto& state : states_()) {
    const PeerLoad own_load = state->dispatcher()->OwnLoad();
    LoadNotice::ServiceLoad load;
    load.service = state->service();
    load.waiting = own_load.waiting;
    load.free_slots = own_load.free_slots;
    load.slots = own_load.slots;
    for (const PeerLoad::InFlight& it : own_load.in_flight)
      load.in_flight.push_back({it.server, it.requests});
    notice.services.push_back(std::move(load));
  }
  return notice;
}

std::vector<ServerViews> PeerStateExchange::MakeServerViews(Instant now) const {
  std::vector<ServerViews> messages;
  for (const auto& state : states_()) {
    ServerViews views{state->service(), state->OwnView(now)};
    if (!views.views.empty())
      messages.push_back(std::move(views));
  }
  return messages;
}

std::vector<CrashNotices> PeerStateExchange::TakeCrashNotices() const {
  std::vector<CrashNotices> messages;
  for (const auto& state : states_()) {
    CrashNotices notices{state->service(), state->quarantine().TakeNotices()};
    if (!notices.notices.empty())
      messages.push_back(std::move(notices));
  }
  return messages;
}

void PeerStateExchange::OnMessage(const PeerSender& from,
                                  const PeerMessage& message,
                                  Instant now) const {
  if (const auto* load = std::get_if<LoadNotice>(&message))
    OnLoad(from.host, *load, now);
  if (const auto* views = std::get_if<ServerViews>(&message)) {
    if (const auto state = find_state_(views->service)) {
      for (const ServerView& it : views->views)
        state->OnPeerView(it, now);
    }
  }
  if (const auto* crashes = std::get_if<CrashNotices>(&message)) {
    if (const auto state = find_state_(crashes->service)) {
      for (const CrashNotice& it : crashes->notices)
        state->quarantine().OnNotice(it, now);
    }
  }
}

void PeerStateExchange::OnLoad(const HostId& from,
                               const LoadNotice& notice,
                               Instant now) const {
  for (const LoadNotice::ServiceLoad& it : notice.services) {
    const auto state = find_state_(it.service);
    if (!state)
      continue;
    PeerLoad load;
    load.host = from;
    load.waiting = it.waiting;
    load.free_slots = it.free_slots;
    load.slots = it.slots;
    for (const ServerInFlight& server : it.in_flight)
      load.in_flight.push_back({server.server, server.requests});
    state->OnPeerLoad(load, now);
  }
}

}  // namespace toucanknot
