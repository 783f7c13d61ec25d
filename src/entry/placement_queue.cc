#include "src/entry/placement_queue.h"

#include <utility>

namespace toucanknot {

namespace {

Placement Refused(uint64_t request_id, PlacementRefusal refusal) {
  Placement placement;
  placement.request_id = request_id;
  placement.step = PlacementStep::kRefuse;
  placement.refusal = refusal;
  return placement;
}

}  // namespace

PlacementQueue::PlacementQueue(boost::asio::io_context& loop,
                               Placer& placer,
                               const PlannedStop& stop)
    : loop_(loop), placer_(placer), stop_(stop), timer_(loop) {}

boost::asio::awaitable<std::optional<Placement>> PlacementQueue::Place(
    PlacementRequest request,
    PlannedStop::Work work,
    std::shared_ptr<CallerWatch> caller) {
  const Placement first = placer_.Offer(request, SteadyNow());
  if (first.step != PlacementStep::kWait)
    co_return first;
  const auto waiter = std::make_shared<PlacementWaiter>(loop_);
  waiting_[request.id] = {waiter, work};
  if (caller)
    caller->OnLeft([waiter] { waiter->Set(std::nullopt); });
  ArmTimer();
  std::optional<std::optional<Placement>> decision =
      co_await waiter->Wait(request.deadline);
  if (caller)
    caller->Clear();
  waiting_.erase(request.id);
  if (decision && *decision && (*decision)->step == PlacementStep::kSend)
    co_return **decision;
  // Withdraws the request, or cancels a decision that came too late.
  placer_.Withdraw(request.id);
  PlacedAttemptResult unused;
  unused.request_id = request.id;
  unused.end = ServerAttemptEnd::kCancelled;
  placer_.Finish(unused, SteadyNow());
  co_return decision ? *decision
                     : Refused(request.id, PlacementRefusal::kTooLate);
}

void PlacementQueue::Finish(const PlacedAttemptResult& result) {
  placer_.Finish(result, SteadyNow());
  Wake();
}

void PlacementQueue::Wake() {
  if (placer_.waiting() > 0)
    Deliver();
}

void PlacementQueue::Deliver() {
  for (Placement& it : placer_.Advance(SteadyNow())) {
    const auto waiting = waiting_.find(it.request_id);
    if (waiting == waiting_.end())
      continue;
    waiting->second.waiter->Set(it);
    waiting_.erase(waiting);
  }
  if (stop_.begun())
    RefuseStopping();
}

void PlacementQueue::RefuseStopping() {
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    const auto& [id, waiting] = *it;
    if (stop_.MaySend(waiting.work)) {
      ++it;
      continue;
    }
    waiting.waiter->Set(Refused(id, PlacementRefusal::kStopping));
    it = waiting_.erase(it);
  }
}

void PlacementQueue::ArmTimer() {
  if (armed_)
    return;
  armed_ = true;
  timer_.expires_after(std::chrono::milliseconds(Placer::kAdvanceEvery.ms()));
  timer_.async_wait([this, alive = std::weak_ptr<const bool>(alive_)](
                        const boost::system::error_code& ec) {
    // The handler may be queued already when the queue is destroyed.
    if (alive.expired())
      return;
    armed_ = false;
    if (ec)
      return;
    Wake();
    if (placer_.waiting() > 0)
      ArmTimer();
  });
}

}  // namespace toucanknot
