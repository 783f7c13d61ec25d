#include "src/daemon/peer_state_broadcaster.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>
#include <variant>

#include "src/http/one_shot.h"

namespace toucanknot {
namespace {

// Load is sent to the region's hosts every kLoadInterval, or every
// kLoadIntervalPerHost times the number of hosts if that is longer, which
// bounds the cost.
constexpr Duration kLoadInterval{50};
constexpr Duration kLoadIntervalPerHost{10};
constexpr Duration kViewInterval{250};
// If the loop wakes up this much late, the process is assumed to have been
// paused.
constexpr Duration kMinOwnPause{200};

Duration LoadInterval(size_t hosts) {
  return std::max(kLoadInterval,
                  kLoadIntervalPerHost * static_cast<int64_t>(hosts));
}

}  // namespace

PeerStateBroadcaster::PeerStateBroadcaster(WorkerPool& workers,
                                           const HostId& self,
                                           FleetLink& fleet,
                                           ServiceStates& states)
    : workers_(workers),
      fleet_(fleet),
      states_(states),
      exchange_([&states] { return states.All(); },
                [&states](const ServiceId& id) { return states.Find(id); }),
      failure_detector_(self) {}

void PeerStateBroadcaster::Start() {
  boost::asio::co_spawn(workers_.loop(0), Loop(), boost::asio::detached);
}

void PeerStateBroadcaster::OnMessage(const PeerSender& from,
                                     const PeerMessage& message) {
  const Instant now = SteadyNow();
  if (std::holds_alternative<LoadNotice>(message)) {
    const std::lock_guard lock(mutex_);
    failure_detector_.OnLoadNotice(from.host, now);
  }
  exchange_.OnMessage(from, message, now);
}

void PeerStateBroadcaster::RefreshHomes() {
  SetHomes(fleet_.LiveHostsInRegion(), SteadyNow());
}

void PeerStateBroadcaster::SetHomes(const std::vector<HostId>& live,
                                    Instant now) {
  const std::lock_guard lock(mutex_);
  std::vector<HostId> responsive =
      failure_detector_.FilterResponsive(live, LoadInterval(live.size()), now);
  if (responsive == homes_)
    return;
  homes_ = std::move(responsive);
  for (const auto& it : states_.All())
    it->OnHosts(homes_, now);
}

void PeerStateBroadcaster::SendCrashNotices() {
  for (CrashNotices& it : exchange_.TakeCrashNotices())
    fleet_.Send({fleet_.OtherHosts(), std::move(it)});
}

void PeerStateBroadcaster::ExcludeOwnPause(Instant due, Instant now) {
  if (now - due <= kMinOwnPause)
    return;
  const std::lock_guard lock(mutex_);
  failure_detector_.ExcludePause(now - due);
}

boost::asio::awaitable<void> PeerStateBroadcaster::Loop() {
  Instant next_views;
  Instant due = SteadyNow();
  for (;;) {
    const Instant now = SteadyNow();
    ExcludeOwnPause(due, now);
    const std::vector<HostId> region_hosts = fleet_.LiveHostsInRegion();
    SetHomes(region_hosts, now);
    if (region_hosts.size() > 1) {
      fleet_.Send({region_hosts, exchange_.MakeLoadNotice()});
      if (now >= next_views) {
        for (ServerViews& it : exchange_.MakeServerViews(now))
          fleet_.Send({region_hosts, std::move(it)});
        next_views = now + kViewInterval;
      }
    }
    SendCrashNotices();
    const Duration interval = LoadInterval(region_hosts.size());
    due = now + interval;
    co_await SleepFor(interval);
  }
}

}  // namespace toucanknot
