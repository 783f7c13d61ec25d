#include "src/daemon/peer_state_broadcaster.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>
#include <variant>

#include "src/http/one_shot.h"

namespace toucanknot {
namespace {

// Load is sent to the region's hosts every kLoadInterval, or every kLoadSpacing
// times the number of hosts if that is longer, which bounds the cost.
constexpr Duration kLoadInterval{50};
constexpr Duration kLoadSpacing{10};
constexpr Duration kViewInterval{250};
// If the loop wakes up this much late, the process is assumed to have been
// paused.
constexpr Duration kOwnPause{200};

Duration LoadInterval(size_t hosts) {
  return std::max(kLoadInterval, kLoadSpacing * static_cast<int64_t>(hosts));
}

}  // namespace

PeerStateBroadcaster::PeerStateBroadcaster(WorkerPool& workers,
                                           const HostId& self,
                                           FleetLink& fleet,
                                           ServiceStates& states)
    : workers_(workers),
      fleet_(fleet),
      states_(states),
      news_([&states] { return states.All(); },
            [&states](const ServiceId& id) { return states.Find(id); }),
      silence_(self) {}

void PeerStateBroadcaster::Start() {
  boost::asio::co_spawn(workers_.loop(0), Loop(), boost::asio::detached);
}

void PeerStateBroadcaster::OnMessage(const PeerSender& from,
                                     const PeerMessage& message) {
  const Instant now = SteadyNow();
  if (std::holds_alternative<LoadNotice>(message)) {
    const std::lock_guard lock(mutex_);
    silence_.OnHeard(from.host, now);
  }
  news_.OnMessage(from, message, now);
}

void PeerStateBroadcaster::RefreshHomes() {
  SetHomes(fleet_.LiveInRegion(), SteadyNow());
}

void PeerStateBroadcaster::SetHomes(const std::vector<HostId>& live,
                                    Instant now) {
  const std::lock_guard lock(mutex_);
  std::vector<HostId> heard =
      silence_.Heard(live, LoadInterval(live.size()), now);
  if (heard == homes_)
    return;
  homes_ = std::move(heard);
  for (const auto& it : states_.All())
    it->OnHosts(homes_, now);
}

void PeerStateBroadcaster::SendCrashes() {
  for (CrashNotices& it : news_.Crashes())
    fleet_.Send({fleet_.Others(), std::move(it)});
}

void PeerStateBroadcaster::ForgiveOwnPause(Instant due, Instant now) {
  if (now - due <= kOwnPause)
    return;
  const std::lock_guard lock(mutex_);
  silence_.Forgive(now - due);
}

boost::asio::awaitable<void> PeerStateBroadcaster::Loop() {
  Instant next_views;
  Instant due = SteadyNow();
  for (;;) {
    const Instant now = SteadyNow();
    ForgiveOwnPause(due, now);
    const std::vector<HostId> near = fleet_.LiveInRegion();
    SetHomes(near, now);
    if (near.size() > 1) {
      fleet_.Send({near, news_.Load()});
      if (now >= next_views) {
        for (ServerViews& it : news_.Views(now))
          fleet_.Send({near, std::move(it)});
        next_views = now + kViewInterval;
      }
    }
    SendCrashes();
    const Duration interval = LoadInterval(near.size());
    due = now + interval;
    co_await SleepFor(interval);
  }
}

}  // namespace toucanknot
