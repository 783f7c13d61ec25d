#ifndef SRC_DAEMON_PEER_FAILURE_DETECTOR_H_
#define SRC_DAEMON_PEER_FAILURE_DETECTOR_H_

#include <map>
#include <vector>

#include "include/base/clock.h"
#include "include/base/ids.h"

namespace toucanknot {

// Detects hosts of the region whose load notices have stopped, before
// membership declares them dead: a frozen or disconnected host must not be the
// home of requests meanwhile. A host from which no notice was ever received is
// not considered silent. Not thread-safe.
class PeerFailureDetector {
 public:
  // A host is silent after this many missed notices, but not before the minimum
  // time.
  static constexpr int kMissedNotices = 4;
  static constexpr Duration kMinSilence{300};

  explicit PeerFailureDetector(HostId self);

  // A load notice of `host` was received.
  void OnLoadNotice(const HostId& host, Instant now);
  // This process did not run for `pause`, which therefore does not count as
  // silence of other hosts.
  void ExcludePause(Duration pause);

  // Returns `live` without the silent hosts; `interval` is the expected time
  // between notices. Forgets hosts that are not in `live`.
  std::vector<HostId> FilterResponsive(const std::vector<HostId>& live,
                                       Duration interval,
                                       Instant now);

 private:
  const HostId self_;
  std::map<HostId, Instant> last_notice_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_PEER_FAILURE_DETECTOR_H_
