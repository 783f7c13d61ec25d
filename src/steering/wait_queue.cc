#include "src/steering/wait_queue.h"

namespace toucanknot {
namespace {

// For kLifoUnderOverload: once the oldest request has waited longer than this,
// the newest goes first.
constexpr Duration kOverloadWait{100};

}  // namespace

void WaitQueue::Push(const DispatchRequest& request, Instant now) {
  const uint64_t arrival = next_arrival_++;
  waiting_.emplace(arrival, Waiting{request, now});
  deadlines_.emplace(request.deadline, arrival);
  arrival_of_.emplace(request.id, arrival);
}

const DispatchRequest* WaitQueue::Next(Instant now) const {
  if (waiting_.empty())
    return nullptr;
  switch (order_) {
    case QueueOrder::kFifo:
      break;
    case QueueOrder::kLifoUnderOverload:
      if (OldestWait(now) > kOverloadWait)
        return &waiting_.rbegin()->second.request;
      break;
    case QueueOrder::kDeadline:
      return &waiting_.at(deadlines_.begin()->second).request;
  }
  return &waiting_.begin()->second.request;
}

void WaitQueue::Remove(uint64_t request_id) {
  const auto arrival = arrival_of_.find(request_id);
  if (arrival == arrival_of_.end())
    return;
  const auto it = waiting_.find(arrival->second);
  deadlines_.erase({it->second.request.deadline, arrival->second});
  waiting_.erase(it);
  arrival_of_.erase(arrival);
}

std::optional<DispatchRequest> WaitQueue::TakeExpired(Instant time) {
  if (deadlines_.empty() || deadlines_.begin()->first >= time)
    return std::nullopt;
  DispatchRequest request = waiting_.at(deadlines_.begin()->second).request;
  Remove(request.id);
  return request;
}

Instant WaitQueue::EarliestDeadline() const {
  return deadlines_.empty() ? Instant::Never() : deadlines_.begin()->first;
}

Duration WaitQueue::OldestWait(Instant now) const {
  return waiting_.empty() ? Duration() : now - waiting_.begin()->second.since;
}

}  // namespace toucanknot
