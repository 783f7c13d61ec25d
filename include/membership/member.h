#ifndef INCLUDE_MEMBERSHIP_MEMBER_H_
#define INCLUDE_MEMBERSHIP_MEMBER_H_

#include <vector>

#include "include/base/clock.h"
#include "include/base/enum_names.h"
#include "include/base/ids.h"
#include "include/membership/host_life_cycle.h"
#include "include/peer/messages.h"

namespace toucanknot {

// Whether a host is running, as far as another host can tell.
enum class Liveness { kLive, kSuspect, kDead };

inline constexpr EnumNames<Liveness, 3> kLivenessNames{
    {"live", "suspect", "dead"}};

// How long a host may be silent before it is suspect or dead.
struct SilenceLimits {
  Duration suspect_after;
  Duration dead_after;
};

// Another host as seen through its heartbeats.
class Member {
 public:
  // A host that has not sent anything yet. If `assumed_live`, it counts as
  // serving until it has been silent for too long; otherwise as dead.
  Member(bool assumed_live, Instant now);

  // Both return whether the message was accepted: late ones and those of
  // earlier incarnations are not. An incarnation that is not greater than the
  // present one replaces it only when that one is suspect.
  bool OnHeartbeat(const PeerSender& from,
                   const Heartbeat& heartbeat,
                   const SilenceLimits& limits,
                   Instant now);
  bool OnNotice(const PeerSender& from, HostState state);

  // Another host reported that the platform's list does not contain this one;
  // applies until `until`.
  void OnUnlistedHint(Instant until);
  // Does not count the last `pause` as silence: the observer itself was not
  // running.
  void DiscountPause(Duration pause);

  // `unlisted`: the observer's own copy of the host list does not contain this
  // host.
  Liveness LivenessAt(Instant now,
                      const SilenceLimits& limits,
                      bool unlisted) const;
  HostState state() const;

  const ConfigStamp& config() const { return last_.config; }
  int64_t capacity() const { return last_.capacity; }
  int64_t in_flight_total() const { return last_.in_flight_total; }
  const std::vector<ServerInFlight>& in_flight() const {
    return last_.in_flight;
  }
  // When the figures in the last heartbeat were measured; Instant() before the
  // first one.
  Instant in_flight_at() const { return in_flight_at_; }
  bool seen() const { return seen_; }

 private:
  bool IsNewer(const PeerSender& from,
               const SilenceLimits& limits,
               Instant now) const;

  HostLifeCycle life_cycle_;
  bool assumed_live_;
  bool seen_ = false;
  Incarnation incarnation_ = 0;
  Instant last_seen_;
  Heartbeat last_;
  Instant in_flight_at_;
  Instant unlisted_hint_until_;
};

}  // namespace toucanknot

#endif  // INCLUDE_MEMBERSHIP_MEMBER_H_
