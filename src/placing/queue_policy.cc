#include "include/placing/queue_policy.h"

#include <algorithm>

namespace toucanknot {
namespace {

// Requests that queue at a full server, as a multiple of its slots.
constexpr double kQueuedPerSlot = 1;
// Share of queued requests of returned callers that must be sent in the end.
constexpr double kLikelyShare = 0.5;
// Weight of one queued request in the share, and of one refused at once, which
// counts as sent.
constexpr double kQueuedWeight = 0.1;
constexpr double kRefusedWeight = 0.02;

}  // namespace

double MaxAtServer(double slots, bool late, bool less_urgent) {
  if (late)
    return slots;
  return less_urgent ? slots + 1 : slots * (1 + kQueuedPerSlot);
}

double UsefulTimeLeft(double to_target,
                      double to_deadline,
                      bool slots_scarce,
                      bool past_target) {
  return slots_scarce && !past_target ? std::min(to_target, to_deadline)
                                      : to_deadline;
}

void ReturnedServed::OnLeftQueue(bool sent) {
  share_ += ((sent ? 1 : 0) - share_) * kQueuedWeight;
}

void ReturnedServed::OnRefusedAtOnce() {
  share_ += (1 - share_) * kRefusedWeight;
}

bool ReturnedServed::IsLikely() const {
  return share_ >= kLikelyShare;
}

bool MayFetch(bool cached, int rank, bool late, bool slots_scarce) {
  return cached || rank == 0 || !late || !slots_scarce;
}

double QueueWaitMs(int ahead, int in_flight, double mean_ms) {
  return mean_ms * (ahead + 1) / std::max(1, in_flight);
}

}  // namespace toucanknot
