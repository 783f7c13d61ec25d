#include "src/steering/wait_queue.h"

namespace toucanknot {
namespace {

// With kLifoUnderOverload: the wait of the oldest from which on the youngest
// goes first.
constexpr Duration kOverloadWait{100};

}  // namespace

void WaitQueue::Push(const WorkItem& item, Instant now) {
  const uint64_t place = next_++;
  items_.emplace(place, Waiting{item, now});
  deadlines_.emplace(item.deadline, place);
  place_of_.emplace(item.id, place);
}

const WorkItem* WaitQueue::Next(Instant now) const {
  if (items_.empty())
    return nullptr;
  switch (order_) {
    case QueueOrder::kFifo:
      break;
    case QueueOrder::kLifoUnderOverload:
      if (OldestWait(now) > kOverloadWait)
        return &items_.rbegin()->second.item;
      break;
    case QueueOrder::kDeadline:
      return &items_.at(deadlines_.begin()->second).item;
  }
  return &items_.begin()->second.item;
}

void WaitQueue::Remove(uint64_t item) {
  const auto place = place_of_.find(item);
  if (place == place_of_.end())
    return;
  const auto it = items_.find(place->second);
  deadlines_.erase({it->second.item.deadline, place->second});
  items_.erase(it);
  place_of_.erase(place);
}

std::optional<WorkItem> WaitQueue::TakeExpired(Instant time) {
  if (deadlines_.empty() || deadlines_.begin()->first >= time)
    return std::nullopt;
  WorkItem item = items_.at(deadlines_.begin()->second).item;
  Remove(item.id);
  return item;
}

Instant WaitQueue::EarliestDeadline() const {
  return deadlines_.empty() ? Instant::Never() : deadlines_.begin()->first;
}

Duration WaitQueue::OldestWait(Instant now) const {
  return items_.empty() ? Duration() : now - items_.begin()->second.since;
}

}  // namespace toucanknot
