#include "src/steering/region_shifter.h"

#include <algorithm>

namespace toucanknot {
namespace {

// Load reports of another region that are older than this are ignored.
constexpr Duration kMaxFigureAge{500};
// A shift to save time is worthwhile only if the wait exceeds the round trip by
// this factor.
constexpr double kMinGainRatio = 1.2;
// A wait of more than this many round trips means that the own region is
// overloaded: the load of the other region is no longer compared.
constexpr double kOverloadRatio = 4;
// The window in requests: its initial and minimum size, its growth per
// response, and its factor on a refusal. Refusals within kShrinkInterval count
// once.
constexpr double kInitialWindow = 4;
constexpr double kMinWindow = 1;
constexpr double kWindowGrowth = 0.2;
constexpr double kWindowShrink = 0.7;
constexpr Duration kShrinkInterval{50};

int SlotsOf(const FleetView::RegionView& region) {
  int slots = 0;
  for (const FleetView::Server& it : region.servers)
    slots += it.slots;
  return slots;
}

}  // namespace

RegionShifter::Window& RegionShifter::WindowOf(const RegionId& region) {
  const auto it =
      std::find_if(windows_.begin(), windows_.end(),
                   [&](const Window& w) { return w.region == region; });
  if (it != windows_.end())
    return *it;
  windows_.push_back({.region = region, .size = kInitialWindow});
  return windows_.back();
}

void RegionShifter::OnEnded(const RegionId& region,
                            AttemptEnd end,
                            Instant now) {
  Window& window = WindowOf(region);
  window.in_flight = std::max(window.in_flight - 1, 0);
  if (end == AttemptEnd::kAnswered) {
    window.size += kWindowGrowth;
  } else if (end == AttemptEnd::kShed || end == AttemptEnd::kNotSent) {
    if (now - window.shrunk_at < kShrinkInterval)
      return;
    window.size = std::max(window.size * kWindowShrink, kMinWindow);
    window.shrunk_at = now;
  }
}

HostId RegionShifter::HomeHostIn(const FleetView::RegionView& region,
                                 const DispatchRequest& request) const {
  if (region.pools.empty() || region.servers.empty())
    return {};
  const bool avoided =
      std::any_of(request.avoid_hosts.begin(), request.avoid_hosts.end(),
                  [&](const HostId& it) {
                    return std::find(region.hosts.begin(), region.hosts.end(),
                                     it) != region.hosts.end();
                  });
  return avoided ? HostId()
                 : region.pools[request.id % region.pools.size()].home;
}

bool RegionShifter::IsWorthForwarding(const FleetView::RegionView& region,
                                      const HostTable& hosts,
                                      const Need& need,
                                      Instant now) const {
  const auto round_trip_ms = static_cast<double>(region.one_way.ms()) * 2;
  if (need.must || need.wait_ms > kOverloadRatio * round_trip_ms)
    return true;
  if (need.wait_ms <= kMinGainRatio * round_trip_ms)
    return false;
  double remote_wait_ms = round_trip_ms * kMinGainRatio;
  for (const HostId& it : region.live) {
    const HostTable::State* state = hosts.Find(it);
    if (state && state->slots > 0 && now - state->at <= kMaxFigureAge)
      remote_wait_ms += state->waiting * need.mean_ms / state->slots;
  }
  return need.wait_ms > remote_wait_ms;
}

RegionShifter::Choice RegionShifter::Choose(const FleetView& view,
                                            const HostTable& hosts,
                                            const DispatchRequest& request,
                                            const Need& need,
                                            Instant now) {
  Choice choice;
  const auto& regions = view.regions();
  // Start the search at a region that depends on the request, so that shifted
  // requests are spread over the regions.
  for (size_t k = 0; k < regions.size(); ++k) {
    const FleetView::RegionView& region =
        regions[(request.id + k) % regions.size()];
    if (&region == &view.own_region())
      continue;
    const HostId host = HomeHostIn(region, request);
    if (host.empty() || !IsWorthForwarding(region, hosts, need, now))
      continue;
    Window& window = WindowOf(region.id);
    window.size = std::min<double>(window.size, SlotsOf(region));
    if (window.in_flight >= window.size)
      continue;
    choice.refusal = may_forward_(region.id, request, now);
    if (choice.refusal == Refusal::kNone) {
      ++window.in_flight;
      choice.host = host;
      return choice;
    }
  }
  return choice;
}

}  // namespace toucanknot
