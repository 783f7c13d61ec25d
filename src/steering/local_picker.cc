#include "src/steering/local_picker.h"

#include <algorithm>

namespace toucanknot {
namespace {

// A server is slow if its mean response time exceeds the mean of all servers by
// this factor.
constexpr double kSlowRatio = 3;
// Exceeds the free slots of any server, so that a server due for a trial is
// chosen first.
constexpr int kTrialPriority = 1 << 20;
constexpr Duration kSlowProbeInterval{1'000};

bool IsAvoided(const DispatchRequest& request, const ServerId& server) {
  return std::find(request.avoid.begin(), request.avoid.end(), server) !=
         request.avoid.end();
}

}  // namespace

double LocalPicker::ExpectedWaitMs(Instant now) const {
  int slots = 0;
  for (size_t i = 0; i < in_.servers->size(); ++i) {
    if (MaySendTo(i))
      slots += UsableSlots(i, now);
  }
  return slots == 0 ? 0 : in_.servers->mean_ms() * in_.waiting() / slots;
}

bool LocalPicker::IsTooSlow(size_t server, double wait_ms) const {
  const double mean = in_.servers->at(server).mean_ms;
  const double all = in_.servers->mean_ms();
  return mean > kSlowRatio * all && mean > all + wait_ms;
}

bool LocalPicker::IsProbeDue(size_t server, Instant now) {
  last_probe_.resize(in_.servers->size(), now);
  if (now - last_probe_[server] < kSlowProbeInterval)
    return false;
  last_probe_[server] = now;
  return true;
}

Pick LocalPicker::Choose(const DispatchRequest& request, bool, Instant now) {
  const size_t n = in_.servers->size();
  Pick best;
  int best_free = 0;
  bool best_avoided = true;
  const double wait_ms = ExpectedWaitMs(now);
  ++rotation_;
  for (size_t k = 0; k < n; ++k) {
    const size_t i = (rotation_ + k) % n;
    if (!MaySendTo(i) || UsableSlots(i, now) == 0)
      continue;
    if (best.kind == Pick::Kind::kNoServer)
      best.kind = Pick::Kind::kWait;
    int free = FreeSlots(i, now);
    if (free <= 0 || (IsTooSlow(i, wait_ms) && !IsProbeDue(i, now)))
      continue;
    if (in_.servers->IsTrial(i, now)) {
      // Run-once requests are not used as trials; any other request goes there
      // first.
      if (request.run_once)
        continue;
      free = kTrialPriority;
    }
    const bool avoided = IsAvoided(request, in_.servers->at(i).info.id);
    const bool better = avoided == best_avoided ? free > best_free : !avoided;
    if (!better)
      continue;
    best = {.kind = Pick::Kind::kServer, .server = i};
    best_free = free;
    best_avoided = avoided;
  }
  return best;
}

}  // namespace toucanknot
