#include "src/daemon/silence_watch.h"

#include <algorithm>
#include <utility>

namespace toucanknot {

SilenceWatch::SilenceWatch(HostId self) : self_(std::move(self)) {}

void SilenceWatch::OnHeard(const HostId& host, Instant now) {
  last_heard_[host] = now;
}

void SilenceWatch::Forgive(Duration pause) {
  for (auto& [host, at] : last_heard_)
    at = at + pause;
}

std::vector<HostId> SilenceWatch::Heard(const std::vector<HostId>& live,
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
