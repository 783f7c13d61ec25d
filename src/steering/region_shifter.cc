#include "src/steering/region_shifter.h"

#include <algorithm>

namespace toucanknot {
namespace {

// Figures of another region older than this say nothing of its queue.
constexpr Duration kFreshFor{500};
// A shift for speed has to save this many times the way there and back.
constexpr double kWorthRatio = 1.2;
// A wait of this many times the way there and back means that the own region
// is short.
constexpr double kShortRatio = 4;
// The window in requests: at the start, at least, growth by an answer, and
// what is left of it after a refusal. Refusals close to each other count once.
constexpr double kFirstWindow = 4;
constexpr double kLeastWindow = 1;
constexpr double kWindowGrowth = 0.2;
constexpr double kWindowShrink = 0.7;
constexpr Duration kShrinkInterval{50};

int SlotsOf(const FleetView::Place& place) {
  int slots = 0;
  for (const FleetView::Server& it : place.servers)
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
  windows_.push_back({.region = region, .size = kFirstWindow});
  return windows_.back();
}

void RegionShifter::Ended(const RegionId& region, AttemptEnd end, Instant now) {
  Window& window = WindowOf(region);
  window.under_way = std::max(window.under_way - 1, 0);
  if (end == AttemptEnd::kAnswered) {
    window.size += kWindowGrowth;
  } else if (end == AttemptEnd::kShed || end == AttemptEnd::kNotSent) {
    if (now - window.shrunk_at < kShrinkInterval)
      return;
    window.size = std::max(window.size * kWindowShrink, kLeastWindow);
    window.shrunk_at = now;
  }
}

HostId RegionShifter::HomeIn(const FleetView::Place& place,
                             const DispatchRequest& request) const {
  if (place.pools.empty() || place.servers.empty())
    return {};
  const bool avoided =
      std::any_of(request.avoid_hosts.begin(), request.avoid_hosts.end(),
                  [&](const HostId& it) {
                    return std::find(place.hosts.begin(), place.hosts.end(),
                                     it) != place.hosts.end();
                  });
  return avoided ? HostId() : place.pools[request.id % place.pools.size()].home;
}

bool RegionShifter::WorthPassing(const FleetView::Place& place,
                                 const HostTable& hosts,
                                 const Need& need,
                                 Instant now) const {
  const auto way_ms = static_cast<double>(place.one_way.ms()) * 2;
  if (need.must || need.wait_ms > kShortRatio * way_ms)
    return true;
  if (need.wait_ms <= kWorthRatio * way_ms)
    return false;
  double there_ms = way_ms * kWorthRatio;
  for (const HostId& it : place.live) {
    const HostTable::State* state = hosts.Find(it);
    if (state && state->slots > 0 && now - state->at <= kFreshFor)
      there_ms += state->waiting * need.mean_ms / state->slots;
  }
  return need.wait_ms > there_ms;
}

RegionShifter::Choice RegionShifter::Choose(const FleetView& view,
                                            const HostTable& hosts,
                                            const DispatchRequest& request,
                                            const Need& need,
                                            Instant now) {
  Choice choice;
  const auto& places = view.places();
  // Each request starts at another region, so that they share the shift.
  for (size_t k = 0; k < places.size(); ++k) {
    const FleetView::Place& place = places[(request.id + k) % places.size()];
    if (&place == &view.own_place())
      continue;
    const HostId host = HomeIn(place, request);
    if (host.empty() || !WorthPassing(place, hosts, need, now))
      continue;
    Window& window = WindowOf(place.id);
    window.size = std::min<double>(window.size, SlotsOf(place));
    if (window.under_way >= window.size)
      continue;
    choice.refusal = may_pass_(place.id, request, now);
    if (choice.refusal == Refusal::kNone) {
      ++window.under_way;
      choice.host = host;
      return choice;
    }
  }
  return choice;
}

}  // namespace toucanknot
