#include "src/entry/placement_queue.h"

#include <utility>

namespace toucanknot {

PlacementQueue::PlacementQueue(boost::asio::io_context& loop, Placer& placer)
    : loop_(loop), placer_(placer), timer_(loop) {}

boost::asio::awaitable<std::optional<Placement>> PlacementQueue::Place(
    PlacementRequest item,
    std::shared_ptr<CallerWatch> caller) {
  const Placement first = placer_.Offer(item, SteadyNow());
  if (first.step != PlacementStep::kWait)
    co_return first;
  const auto answer = std::make_shared<Answer>(loop_);
  waiting_[item.id] = answer;
  if (caller)
    caller->OnLeft([answer] { answer->Set(std::nullopt); });
  Arm();
  std::optional<std::optional<Placement>> got =
      co_await answer->Wait(item.deadline);
  if (caller)
    caller->Clear();
  waiting_.erase(item.id);
  if (got && *got)
    co_return **got;
  // A decision that came too late for this request is taken back.
  placer_.Withdraw(item.id);
  SendResult unused;
  unused.item = item.id;
  unused.end = ServerAttemptEnd::kCancelled;
  placer_.Finish(unused, SteadyNow());
  if (got)
    co_return std::nullopt;
  Placement late;
  late.item = item.id;
  late.step = PlacementStep::kRefuse;
  late.refusal = PlacementRefusal::kTooLate;
  co_return late;
}

void PlacementQueue::Finish(const SendResult& result) {
  placer_.Finish(result, SteadyNow());
  Wake();
}

void PlacementQueue::Wake() {
  if (placer_.waiting() > 0)
    Deliver();
}

void PlacementQueue::Deliver() {
  for (Placement& it : placer_.Advance(SteadyNow())) {
    const auto answer = waiting_.find(it.item);
    if (answer == waiting_.end())
      continue;
    answer->second->Set(it);
    waiting_.erase(answer);
  }
}

void PlacementQueue::Arm() {
  if (armed_)
    return;
  armed_ = true;
  timer_.expires_after(std::chrono::milliseconds(Placer::kAdvanceEvery.ms()));
  timer_.async_wait([this](const boost::system::error_code& ec) {
    armed_ = false;
    if (ec)
      return;
    Wake();
    if (placer_.waiting() > 0)
      Arm();
  });
}

}  // namespace toucanknot
