#ifndef SRC_STEERING_HOST_TABLE_H_
#define SRC_STEERING_HOST_TABLE_H_

#include <vector>

#include "include/base/clock.h"
#include "include/base/ids.h"
#include "include/steering/dispatcher.h"

namespace toucanknot {

// What one host knows about the other entry hosts: which are live, the load
// that they reported, and which could not be reached.
class HostTable {
 public:
  struct State {
    HostId id;
    int waiting = 0;
    int free_slots = 0;
    int slots = 0;
    // Requests forwarded to it since `at`.
    int forwarded = 0;
    // The time that the reported load refers to.
    Instant at{-Duration::Max().ms()};
    // Not used until this time, because it could not be reached.
    Instant suspended_until{-Duration::Max().ms()};
  };

  void SetLive(const std::vector<HostId>& live);
  void OnPeerLoad(const PeerLoad& load, Instant now);
  void OnForwarded(const HostId& host);
  // `host` could not be reached. The suspension ends after a fixed time, or
  // when a load report of the host arrives.
  void Suspend(const HostId& host, Instant now);

  // Live hosts that are not suspended.
  std::vector<HostId> Usable(Instant now) const;
  // When the next suspension ends; Never() if there is none.
  Instant NextSuspensionEnd(Instant now) const;
  const std::vector<State>& states() const { return states_; }
  // Null when `host` is not known.
  const State* Find(const HostId& host) const;
  bool IsLive(const HostId& host) const;

 private:
  State& Get(const HostId& host);

  std::vector<HostId> live_;
  std::vector<State> states_;
};

}  // namespace toucanknot

#endif  // SRC_STEERING_HOST_TABLE_H_
