#include "include/membership/member.h"

#include <algorithm>

namespace toucanknot {

Member::Member(bool assumed_live, Instant now)
    : assumed_live_(assumed_live), last_seen_(now) {}

bool Member::OnHeartbeat(const PeerSender& from,
                         const Heartbeat& heartbeat,
                         const SilenceLimits& limits,
                         Instant now) {
  if (!seen_ || from.incarnation != incarnation_) {
    if (seen_ && !IsNewer(from, limits, now))
      return false;
    incarnation_ = from.incarnation;
    life_cycle_ = HostLifeCycle();
  } else if (heartbeat.sequence <= last_.sequence) {
    return false;
  }
  seen_ = true;
  last_seen_ = now;
  last_ = heartbeat;
  in_flight_at_ = now - heartbeat.in_flight_age;
  life_cycle_.Report(heartbeat.state);
  return true;
}

bool Member::IsNewer(const PeerSender& from,
                     const SilenceLimits& limits,
                     Instant now) const {
  return from.incarnation > incarnation_ ||
         now - last_seen_ > limits.suspect_after;
}

bool Member::OnNotice(const PeerSender& from, HostState state) {
  if (seen_ && from.incarnation != incarnation_)
    return false;
  seen_ = true;
  incarnation_ = from.incarnation;
  return life_cycle_.Report(state);
}

void Member::OnUnlistedHint(Instant until) {
  unlisted_hint_until_ = std::max(unlisted_hint_until_, until);
}

void Member::DiscountPause(Duration pause) {
  last_seen_ = last_seen_ + pause;
}

Liveness Member::LivenessAt(Instant now,
                            const SilenceLimits& limits,
                            bool unlisted) const {
  if (!seen_ && !assumed_live_)
    return Liveness::kDead;
  if (life_cycle_.state() == HostState::kStopped)
    return Liveness::kDead;
  const Duration silence = now - last_seen_;
  if (silence <= limits.suspect_after)
    return Liveness::kLive;
  if (silence > limits.dead_after || unlisted || now < unlisted_hint_until_)
    return Liveness::kDead;
  return Liveness::kSuspect;
}

HostState Member::state() const {
  return seen_ ? life_cycle_.state() : HostState::kServing;
}

}  // namespace toucanknot
