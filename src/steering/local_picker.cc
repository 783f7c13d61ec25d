#include "src/steering/local_picker.h"

#include <algorithm>

namespace toucanknot {
namespace {

// A server whose mean time is this many times the mean of all is slow.
constexpr double kSlowRatio = 3;
// More than any server has free.
constexpr int kTrialFirst = 1 << 20;
constexpr Duration kSlowProbeInterval{1'000};

bool IsAvoided(const DispatchRequest& request, const ServerId& server) {
  return std::find(request.avoid.begin(), request.avoid.end(), server) !=
         request.avoid.end();
}

}  // namespace

double LocalPicker::ExpectedWaitMs(Instant now) const {
  int slots = 0;
  for (size_t i = 0; i < in_.servers->size(); ++i) {
    if (Sends(i))
      slots += Slots(i, now);
  }
  return slots == 0 ? 0 : in_.servers->mean_ms() * in_.waiting() / slots;
}

bool LocalPicker::TooSlow(size_t server, double wait_ms) const {
  const double mean = in_.servers->at(server).mean_ms;
  const double all = in_.servers->mean_ms();
  return mean > kSlowRatio * all && mean > all + wait_ms;
}

bool LocalPicker::ProbeDue(size_t server, Instant now) {
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
    if (!Sends(i) || Slots(i, now) == 0)
      continue;
    if (best.kind == Pick::Kind::kNoServer)
      best.kind = Pick::Kind::kWait;
    int free = Free(i, now);
    if (free <= 0 || (TooSlow(i, wait_ms) && !ProbeDue(i, now)))
      continue;
    if (in_.servers->IsTrial(i, now)) {
      // A request that runs once is not risked; any other goes there first.
      if (request.run_once)
        continue;
      free = kTrialFirst;
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
