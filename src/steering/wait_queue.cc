#include "src/steering/wait_queue.h"

namespace toucanknot {
namespace {

// With kLifoUnderOverload: the wait of the oldest from which on the youngest
// goes first.
constexpr Duration kOverloadWait{100};

}  // namespace

void WaitQueue::Push(const DispatchRequest& request, Instant now) {
  const uint64_t place = next_++;
  items_.emplace(place, Waiting{request, now});
  deadlines_.emplace(request.deadline, place);
  place_of_.emplace(request.id, place);
}

const DispatchRequest* WaitQueue::Next(Instant now) const {
  if (items_.empty())
    return nullptr;
  switch (order_) {
    case QueueOrder::kFifo:
      break;
    case QueueOrder::kLifoUnderOverload:
      if (OldestWait(now) > kOverloadWait)
        return &items_.rbegin()->second.request;
      break;
    case QueueOrder::kDeadline:
      return &items_.at(deadlines_.begin()->second).request;
  }
  return &items_.begin()->second.request;
}

void WaitQueue::Remove(uint64_t request_id) {
  const auto place = place_of_.find(request_id);
  if (place == place_of_.end())
    return;
  const auto it = items_.find(place->second);
  deadlines_.erase({it->second.request.deadline, place->second});
  items_.erase(it);
  place_of_.erase(place);
}

std::optional<DispatchRequest> WaitQueue::TakeExpired(Instant time) {
  if (deadlines_.empty() || deadlines_.begin()->first >= time)
    return std::nullopt;
  DispatchRequest request = items_.at(deadlines_.begin()->second).request;
  Remove(request.id);
  return request;
}

Instant WaitQueue::EarliestDeadline() const {
  return deadlines_.empty() ? Instant::Never() : deadlines_.begin()->first;
}

Duration WaitQueue::OldestWait(Instant now) const {
  return items_.empty() ? Duration() : now - items_.begin()->second.since;
}

}  // namespace toucanknot
