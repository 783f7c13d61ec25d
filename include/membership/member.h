#ifndef INCLUDE_MEMBERSHIP_MEMBER_H_
#define INCLUDE_MEMBERSHIP_MEMBER_H_

#include <vector>

#include "include/base/clock.h"
#include "include/base/enum_names.h"
#include "include/base/ids.h"
#include "include/membership/host_life_cycle.h"
#include "include/peer/messages.h"

namespace toucanknot {

// Whether a host still runs, as far as another can tell.
enum class Liveness { kLive, kSuspect, kDead };

inline constexpr EnumNames<Liveness, 3> kLivenessNames{
    {"live", "suspect", "dead"}};

// How long a host may be silent.
struct SilenceLimits {
  Duration suspect_after;
  Duration dead_after;
};

// Another host, as heartbeats show it.
class Member {
 public:
  // A host that was not heard yet. If `assumed`, it is taken to serve until it
  // has been silent for long; otherwise to be dead.
  Member(bool assumed, Instant now);

  // Both return whether the message was taken: late ones and those of earlier
  // incarnations are not. An incarnation that is not greater than the present
  // one replaces it only when that one is suspect.
  bool OnHeartbeat(const PeerSender& from,
                   const Heartbeat& heartbeat,
                   const SilenceLimits& limits,
                   Instant now);
  bool OnNotice(const PeerSender& from, HostState state);

  // Another host saw, until `until`, that the platform does not list this one.
  void OnUnlistedHint(Instant until);
  // Takes the silence of the last `pause` back: the observer was not running.
  void Forgive(Duration pause);

  // `unlisted`: this host's own list lacks it.
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
  // When the figures in the last heartbeat were made; before the first one,
  // Instant().
  Instant in_flight_at() const { return in_flight_at_; }
  bool heard() const { return heard_; }

 private:
  bool IsNewer(const PeerSender& from,
               const SilenceLimits& limits,
               Instant now) const;

  HostLifeCycle life_;
  bool assumed_;
  bool heard_ = false;
  Incarnation incarnation_ = 0;
  Instant last_heard_;
  Heartbeat last_;
  Instant in_flight_at_;
  Instant hint_until_;
};

}  // namespace toucanknot

#endif  // INCLUDE_MEMBERSHIP_MEMBER_H_
