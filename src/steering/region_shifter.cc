#include "src/steering/region_shifter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace toucanknot {
namespace {

constexpr Duration kRestAfterRefusal{100};
// Figures of another region older than this do not count as free slots.
constexpr Duration kFreshFor{500};
// A shift for speed has to save this many times the way there and back.
constexpr double kWorthRatio = 1.2;

// Free slots of a region that stay free for its own callers.
int Reserve(const FleetView::Place& place, double load_limit) {
  int slots = 0;
  for (const FleetView::Server& it : place.servers)
    slots += it.slots;
  return std::max(1, static_cast<int>(std::lround(slots * (1 - load_limit))));
}

}  // namespace

void RegionShifter::Refused(const RegionId& region, Instant now) {
  std::erase_if(rests_, [&](const Rest& it) {
    return it.region == region || it.until <= now;
  });
  rests_.push_back({region, now + kRestAfterRefusal});
}

bool RegionShifter::Rests(const RegionId& region, Instant now) const {
  return std::any_of(rests_.begin(), rests_.end(), [&](const Rest& it) {
    return it.region == region && it.until > now;
  });
}

HostId RegionShifter::HomeIn(const FleetView::Place& place,
                             const WorkItem& item) const {
  if (place.pools.empty() || place.servers.empty())
    return {};
  const HostId& home = place.pools[item.id % place.pools.size()].home;
  const bool avoided = std::any_of(
      item.avoid_hosts.begin(), item.avoid_hosts.end(), [&](const HostId& it) {
        return std::find(place.hosts.begin(), place.hosts.end(), it) !=
               place.hosts.end();
      });
  return avoided ? HostId() : home;
}

bool RegionShifter::WorthPassing(const FleetView::Place& place,
                                 const HostTable& hosts,
                                 const Need& need,
                                 Instant now) const {
  int free = 0;
  bool fresh = false;
  for (const HostId& it : place.live) {
    const HostTable::State* state = hosts.Find(it);
    if (!state || now - state->at > kFreshFor)
      continue;
    fresh = true;
    free += state->free_slots - state->passed;
  }
  if (!fresh)
    return need.must;
  if (free <= Reserve(place, place.load_limit))
    return false;
  const auto way_ms = static_cast<double>(place.one_way.ms()) * 2;
  return need.must || need.wait_ms > kWorthRatio * way_ms;
}

RegionShifter::Choice RegionShifter::Choose(const FleetView& view,
                                            const HostTable& hosts,
                                            const WorkItem& item,
                                            const Need& need,
                                            Instant now) {
  Choice choice;
  const auto& places = view.places();
  // Each request starts at another region, so that they share the shift.
  for (size_t k = 0; k < places.size(); ++k) {
    const FleetView::Place& place = places[(item.id + k) % places.size()];
    if (&place == &view.own_place() || Rests(place.id, now))
      continue;
    const HostId host = HomeIn(place, item);
    if (host.empty() || !WorthPassing(place, hosts, need, now))
      continue;
    choice.refusal = may_pass_(place.id, item, now);
    if (choice.refusal == Refusal::kNone) {
      choice.host = host;
      return choice;
    }
  }
  return choice;
}

}  // namespace toucanknot
