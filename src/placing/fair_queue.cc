#include "include/placing/fair_queue.h"

#include <algorithm>

namespace toucanknot {

int64_t FairQueue::StartOf(uint32_t workspace) const {
  const auto it = next_start_.find(workspace);
  return it == next_start_.end() ? now_ : std::max(now_, it->second);
}

void FairQueue::OnTaken(uint32_t workspace) {
  // Requests without a workspace need no order as long as no others are there.
  if (workspace == 0 && next_start_.empty())
    return;
  const int64_t start = StartOf(workspace);
  next_start_[workspace] = start + 1;
}

void FairQueue::OnSent(int64_t start) {
  now_ = std::max(now_, start);
  if (++sent_since_prune_ < kPruneEvery)
    return;
  sent_since_prune_ = 0;
  boost::unordered::erase_if(
      next_start_, [this](const auto& it) { return it.second <= now_; });
}

void FairQueue::OnDropped(uint32_t workspace) {
  const auto it = next_start_.find(workspace);
  if (it != next_start_.end())
    it->second = std::max(now_, it->second - 1);
}

}  // namespace toucanknot
