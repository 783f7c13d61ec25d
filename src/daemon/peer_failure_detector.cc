#include "src/daemon/peer_failure_detector.h"

#include <algorithm>
#include <utility>

namespace toucanknot {

PeerFailureDetector::PeerFailureDetector(HostId self)
    : self_(std::move(self)) {}

void PeerFailureDetector::OnHeard(const HostId& host, Instant now) {
  last_heard_[host] = now;
}

void PeerFailureDetector::Forgive(Duration pause) {
  for (auto& [host, at] : last_heard_)
    at = at + pause;
}

std::vector<HostId> PeerFailureDetector::Heard(const std::vector<HostId>& live,
                                               Duration interval,
                                               Instant now) {
  std::erase_if(last_heard_, [&](const auto& it) {
    return std::find(live.begin(), live.end(), it.first) == live.end();
  });
  const Duration limit = std::max(interval * kMissedNotices, kLeastSilence);
  std::vector<HostId> heard;
  for (const HostId& it : live) {
    const auto last = last_heard_.find(it);
    if (it == self_ || last == last_heard_.end() || now - last->second <= limit)
      heard.push_back(it);
  }
  return heard;
}

}  // namespace toucanknot
