#ifndef SRC_STEERING_HOST_TABLE_H_
#define SRC_STEERING_HOST_TABLE_H_

#include <vector>

#include "include/base/clock.h"
#include "include/base/ids.h"
#include "include/steering/dispatcher.h"

namespace toucanknot {

// What one host knows of the other entry hosts: which live, what they told of
// their queues, and which could not be reached.
class HostTable {
 public:
  struct State {
    HostId id;
    int waiting = 0;
    int free_slots = 0;
    int slots = 0;
    // Requests passed to it since the figures were true.
    int passed = 0;
    // When the figures were true.
    Instant at{-Duration::Max().ms()};
    // It could not be reached; not used until this time.
    Instant suspended_until{-Duration::Max().ms()};
  };

  void SetLive(const std::vector<HostId>& live);
  void OnPeerLoad(const PeerLoad& load, Instant now);
  void Passed(const HostId& host);
  // `host` could not be reached. Ends by time or by news from the host.
  void Suspend(const HostId& host, Instant now);

  // Live hosts that are not suspended.
  std::vector<HostId> Usable(Instant now) const;
  // When the next suspension ends; Never() without one.
  Instant NextReturn(Instant now) const;
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
