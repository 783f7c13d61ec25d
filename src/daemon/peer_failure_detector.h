#ifndef SRC_DAEMON_PEER_FAILURE_DETECTOR_H_
#define SRC_DAEMON_PEER_FAILURE_DETECTOR_H_

#include <map>
#include <vector>

#include "include/base/clock.h"
#include "include/base/ids.h"

namespace toucanknot {

// Finds hosts of the region whose load notices have stopped, sooner than
// membership can say that they are dead: a host that is frozen or cut off must
// not be the home of requests meanwhile. One that was never heard is not
// silent. Not thread-safe.
class PeerFailureDetector {
 public:
  // Notices missed in a row, and the least time that must pass.
  static constexpr int kMissedNotices = 4;
  static constexpr Duration kLeastSilence{300};

  explicit PeerFailureDetector(HostId self);

  // A load notice of `host` arrived.
  void OnHeard(const HostId& host, Instant now);
  // This process did not run for `pause`: nobody else is blamed for it.
  void Forgive(Duration pause);

  // `live` without the hosts that are silent, when notices come at `interval`.
  // Forgets hosts that are not live any more.
  std::vector<HostId> Heard(const std::vector<HostId>& live,
                            Duration interval,
                            Instant now);

 private:
  const HostId self_;
  std::map<HostId, Instant> last_heard_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_PEER_FAILURE_DETECTOR_H_
