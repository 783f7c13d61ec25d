#include "src/daemon/peer_failure_detector.h"

#include <algorithm>
#include <utility>

namespace toucanknot {

PeerFailureDetector::PeerFailureDetector(HostId self)
    : self_(std::move(self)) {}

void PeerFailureDetector::OnLoadNotice(const HostId& host, Instant now) {
  last_notice_[host] = now;
}

void PeerFailureDetector::ExcludePause(Duration pause) {
  for (auto& [host, time] : last_notice_)
    time = time + pause;
}

std::vector<HostId> PeerFailureDetector::FilterResponsive(
    const std::vector<HostId>& live,
    Duration interval,
    Instant now) {
  std::erase_if(last_notice_, [&](const auto& it) {
    return std::find(live.begin(), live.end(), it.first) == live.end();
  });
  const Duration limit = std::max(interval * kMissedNotices, kMinSilence);
  std::vector<HostId> responsive;
  for (const HostId& it : live) {
    const auto last = last_notice_.find(it);
    if (it == self_ || last == last_notice_.end() ||
        now - last->second <= limit)
      responsive.push_back(it);
  }
  return responsive;
}

}  // namespace toucanknot
