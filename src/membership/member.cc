#include "include/membership/member.h"

#include <algorithm>

namespace toucanknot {

Member::Member(bool assumed, Instant now)
    : assumed_(assumed), last_heard_(now) {}

bool Member::OnHeartbeat(const PeerSender& from,
                         const Heartbeat& heartbeat,
                         const SilenceLimits& limits,
                         Instant now) {
  if (!heard_ || from.incarnation != incarnation_) {
    if (heard_ && !IsNewer(from, limits, now))
      return false;
    incarnation_ = from.incarnation;
    life_ = HostLifeCycle();
  } else if (heartbeat.sequence <= last_.sequence) {
    return false;
  }
  heard_ = true;
  last_heard_ = now;
  last_ = heartbeat;
  in_flight_at_ = now - heartbeat.in_flight_age;
  life_.Report(heartbeat.state);
  return true;
}

bool Member::IsNewer(const PeerSender& from,
                     const SilenceLimits& limits,
                     Instant now) const {
  return from.incarnation > incarnation_ ||
         now - last_heard_ > limits.suspect_after;
}

bool Member::OnNotice(const PeerSender& from, HostState state) {
  if (heard_ && from.incarnation != incarnation_)
    return false;
  heard_ = true;
  incarnation_ = from.incarnation;
  return life_.Report(state);
}

void Member::OnUnlistedHint(Instant until) {
  hint_until_ = std::max(hint_until_, until);
}

void Member::Forgive(Duration pause) {
  last_heard_ = last_heard_ + pause;
}

Liveness Member::LivenessAt(Instant now,
                            const SilenceLimits& limits,
                            bool unlisted) const {
  if (!heard_ && !assumed_)
    return Liveness::kDead;
  if (life_.state() == HostState::kStopped)
    return Liveness::kDead;
  const Duration silence = now - last_heard_;
  if (silence <= limits.suspect_after)
    return Liveness::kLive;
  if (silence > limits.dead_after || unlisted || now < hint_until_)
    return Liveness::kDead;
  return Liveness::kSuspect;
}

HostState Member::state() const {
  return heard_ ? life_.state() : HostState::kServing;
}

}  // namespace toucanknot
