#include "src/daemon/shared_dispatcher.h"

#include <utility>

namespace toucanknot {

SharedDispatcher::SharedDispatcher(std::unique_ptr<Dispatcher> dispatcher)
    : dispatcher_(std::move(dispatcher)) {}

boost::asio::awaitable<DispatchDecision> SharedDispatcher::Place(
    boost::asio::io_context& loop,
    DispatchRequest item) {
  std::shared_ptr<Waiter> waiter;
  {
    const std::lock_guard lock(mutex_);
    const DispatchDecision decision = dispatcher_->Offer(item, SteadyNow());
    if (decision.step != Step::kWait)
      co_return decision;
    waiter = std::make_shared<Waiter>(loop);
    waiters_[item.id] = waiter;
  }
  co_return co_await AwaitDecision(std::move(waiter), std::move(item));
}

boost::asio::awaitable<DispatchDecision> SharedDispatcher::AwaitDecision(
    std::shared_ptr<Waiter> waiter,
    DispatchRequest item) {
  if (auto decision = co_await waiter->Wait(item.deadline))
    co_return *decision;
  {
    const std::lock_guard lock(mutex_);
    if (waiters_.erase(item.id) > 0) {
      dispatcher_->Withdraw(item.id, SteadyNow());
      DispatchDecision late;
      late.request_id = item.id;
      late.step = Step::kRefuse;
      late.refusal = Refusal::kDeadline;
      co_return late;
    }
  }
  // The decision was made concurrently with the timeout; it is being delivered.
  co_return *(co_await waiter->Wait(Instant::Never()));
}

void SharedDispatcher::Finish(const AttemptResult& result) {
  const std::lock_guard lock(mutex_);
  const Instant now = SteadyNow();
  dispatcher_->Finish(result, now);
  AdvanceLocked(now);
}

void SharedDispatcher::Update(
    const std::function<void(Dispatcher&, Instant now)>& update) {
  const std::lock_guard lock(mutex_);
  const Instant now = SteadyNow();
  update(*dispatcher_, now);
  AdvanceLocked(now);
}

void SharedDispatcher::Tick() {
  const std::lock_guard lock(mutex_);
  const Instant now = SteadyNow();
  if (dispatcher_->NextWake() <= now)
    AdvanceLocked(now);
}

PeerLoad SharedDispatcher::OwnLoad() const {
  const std::lock_guard lock(mutex_);
  return dispatcher_->OwnLoad();
}

std::string SharedDispatcher::Explain() const {
  const std::lock_guard lock(mutex_);
  return dispatcher_->Explain(SteadyNow());
}

void SharedDispatcher::AdvanceLocked(Instant now) {
  for (const DispatchDecision& it : dispatcher_->Advance(now)) {
    const auto waiter = waiters_.find(it.request_id);
    if (waiter == waiters_.end())
      continue;
    waiter->second->Set(it);
    waiters_.erase(waiter);
  }
}

}  // namespace toucanknot
