#include "src/steering/picker.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "src/steering/home_picker.h"
#include "src/steering/local_picker.h"

namespace toucanknot {
namespace {

constexpr int kPoolSlots = 64;

// Round robin over the region's servers, without limits.
class RoundRobinPicker : public LocalPicker {
 public:
  using LocalPicker::LocalPicker;

  Pick Choose(const DispatchRequest&, bool, Instant) override {
    if (in().servers->size() == 0)
      return {};
    const size_t server = next_++ % in().servers->size();
    return {.kind = Pick::Kind::kServer, .server = server};
  }

 private:
  size_t next_ = 0;
};

// The less loaded of two random servers, by their load reports.
class TwoChoicesPicker : public LocalPicker {
 public:
  using LocalPicker::LocalPicker;

  Pick Choose(const DispatchRequest&, bool, Instant now) override {
    std::vector<size_t> usable;
    for (size_t i = 0; i < in().servers->size(); ++i) {
      if (in().servers->UsableSlots(i, now) > 0)
        usable.push_back(i);
    }
    if (usable.empty())
      return {};
    const size_t a = usable[random().Below(usable.size())];
    const size_t b = usable[random().Below(usable.size())];
    const size_t best = Load(a, now) <= Load(b, now) ? a : b;
    const auto& state = in().servers->at(best);
    if (state.own >= state.info.connection_share)
      return {.kind = Pick::Kind::kWait};
    return {.kind = Pick::Kind::kServer, .server = best};
  }

 private:
  // The reported load while it is recent enough, but at least the requests in
  // flight from this host.
  int Load(size_t server, Instant now) const {
    const auto& state = in().servers->at(server);
    const Duration age = now - state.reported_at;
    if (age > state.info.tunables.max_report_age)
      return state.own;
    return std::max(state.reported, state.own);
  }
};

// Uses a fixed share of every server's slots.
class StaticSharePicker : public LocalPicker {
 public:
  using LocalPicker::LocalPicker;

  int UsableSlots(size_t server, Instant now) const override {
    const int slots = in().servers->UsableSlots(server, now);
    const auto& hosts = view().own_region().hosts;
    if (hosts.empty())
      return slots;
    const std::string& key = in().servers->at(server).info.id.str();
    const uint64_t own = RendezvousWeight(in().own.str(), key);
    const auto before =
        std::count_if(hosts.begin(), hosts.end(), [&](const HostId& it) {
          return RendezvousWeight(it.str(), key) > own;
        });
    const int n = static_cast<int>(hosts.size());
    return slots / n + (before < slots % n ? 1 : 0);
  }
  int FreeSlots(size_t server, Instant now) const override {
    return UsableSlots(server, now) - in().servers->at(server).own;
  }
};

// Forwards each request to the home host of one pool, chosen by the request id.
// A host that is home of no pool may send to all servers.
class PoolPicker : public LocalPicker {
 public:
  using LocalPicker::LocalPicker;

  Pick Choose(const DispatchRequest& request,
              bool may_forward,
              Instant now) override {
    const auto& pools = view().own_region().pools;
    if (!may_forward || pools.empty())
      return LocalPicker::Choose(request, false, now);
    const HostId& home = pools[request.id % pools.size()].home;
    const bool avoided =
        std::find(request.avoid_hosts.begin(), request.avoid_hosts.end(),
                  home) != request.avoid_hosts.end();
    if (home.empty() || home == in().own || avoided)
      return LocalPicker::Choose(request, false, now);
    return {.kind = Pick::Kind::kHost, .host = home};
  }

  bool IsHomeOf(size_t server) const override {
    return view().own_region().pools[view().PoolOf(server)].home == in().own;
  }

  bool MaySendTo(size_t server) const override {
    const auto& region = view().own_region();
    const HostId& own = in().own;
    return region.pools[view().PoolOf(server)].home == own ||
           std::none_of(region.pools.begin(), region.pools.end(),
                        [&](const auto& pool) { return pool.home == own; });
  }
};

}  // namespace

uint64_t Random::Next() {
  uint64_t z = (state_ += 0x9e3779b97f4a7c15);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
  z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
  return z ^ (z >> 31);
}

std::unique_ptr<Picker> MakePicker(Policy policy, PickerInputs inputs) {
  switch (policy) {
    case Policy::kNaive:
    case Policy::kRegionRoundRobin:
      return std::make_unique<RoundRobinPicker>(std::move(inputs));
    case Policy::kStaticShare:
      return std::make_unique<StaticSharePicker>(std::move(inputs));
    case Policy::kTwoChoices:
      return std::make_unique<TwoChoicesPicker>(std::move(inputs));
    case Policy::kPeerLoad:
      return std::make_unique<LocalPicker>(std::move(inputs));
    case Policy::kHoming:
      return std::make_unique<HomePicker>(std::move(inputs),
                                          HomePicker::Strategy::kRandom);
    case Policy::kHomingLeastWait:
      return std::make_unique<HomePicker>(std::move(inputs),
                                          HomePicker::Strategy::kLeastWait);
    case Policy::kPool:
      return std::make_unique<PoolPicker>(std::move(inputs));
  }
  return nullptr;
}

int PoolSlots(Policy policy) {
  const bool per_server =
      policy == Policy::kHoming || policy == Policy::kHomingLeastWait;
  return per_server ? 1 : kPoolSlots;
}

}  // namespace toucanknot
