#include "src/steering/home_picker.h"

#include <algorithm>

namespace toucanknot {
namespace {

// Milliseconds added for forwarding when expected waits are compared.
constexpr double kForwardCostMs = 3;

bool IsAvoided(const DispatchRequest& request, const HostId& host) {
  return std::find(request.avoid_hosts.begin(), request.avoid_hosts.end(),
                   host) != request.avoid_hosts.end();
}

}  // namespace

bool HomePicker::IsHomeOfAny() const {
  const auto& pools = view().own_region().pools;
  return std::any_of(pools.begin(), pools.end(),
                     [&](const auto& pool) { return pool.home == in().own; });
}

bool HomePicker::IsHomeOf(size_t server) const {
  return view().own_region().pools[view().PoolOf(server)].home == in().own;
}

bool HomePicker::MaySendTo(size_t server) const {
  const auto& region = view().own_region();
  const HostId& home = region.pools[view().PoolOf(server)].home;
  return home == in().own || home.empty() || !IsHomeOfAny();
}

HostId HomePicker::PickRandomHome(const DispatchRequest& request) {
  const auto& pools = view().own_region().pools;
  const HostId& home = pools[random().Below(pools.size())].home;
  return IsAvoided(request, home) ? in().own : home;
}

double HomePicker::ExpectedWaitMsAt(const HostTable::State& host,
                                    Instant) const {
  const int slots = std::max(host.slots, 1);
  const int ahead = host.waiting + host.forwarded - host.free_slots + 1;
  return kForwardCostMs + std::max(ahead, 0) * in().servers->mean_ms() / slots;
}

HostId HomePicker::FindLeastWaitHome(const DispatchRequest& request,
                                     Instant now) const {
  HostId best = in().own;
  double best_wait = kForwardCostMs + ExpectedWaitMs(now);
  if (!IsHomeOfAny())
    best_wait = 1e12;
  for (const HostTable::State& it : in().hosts->states()) {
    const auto& live = view().own_region().live;
    const bool here = std::find(live.begin(), live.end(), it.id) != live.end();
    if (!here || it.id == in().own || it.slots == 0 ||
        IsAvoided(request, it.id))
      continue;
    const double wait = ExpectedWaitMsAt(it, now);
    if (wait < best_wait) {
      best = it.id;
      best_wait = wait;
    }
  }
  return best;
}

Pick HomePicker::Choose(const DispatchRequest& request,
                        bool may_forward,
                        Instant now) {
  if (!may_forward || view().own_region().servers.empty())
    return LocalPicker::Choose(request, false, now);
  if (strategy_ == Strategy::kRandom) {
    const HostId home = PickRandomHome(request);
    if (!home.empty() && home != in().own)
      return {.kind = Pick::Kind::kHost, .host = home};
    return LocalPicker::Choose(request, false, now);
  }
  if (IsHomeOfAny()) {
    Pick local = LocalPicker::Choose(request, false, now);
    if (local.kind == Pick::Kind::kServer)
      return local;
  }
  const HostId home = FindLeastWaitHome(request, now);
  if (home != in().own)
    return {.kind = Pick::Kind::kHost, .host = home};
  return LocalPicker::Choose(request, false, now);
}

}  // namespace toucanknot
