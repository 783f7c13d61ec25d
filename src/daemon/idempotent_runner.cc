#include "src/daemon/idempotent_runner.h"

#include <utility>

#include "src/daemon/answers.h"

namespace toucanknot {
namespace {

constexpr int kMaxAttempts = 4;

// The answer for a request whose last attempt gave none.
HttpResponse NoAnswer(const SendResult& result) {
  const bool late = result.end == AttemptEnd::kTimedOut;
  return HostAnswer(late ? 504 : 502, result.verdict,
                    kAttemptEndNames.Name(result.end),
                    "no whole answer was had: " + result.error);
}

}  // namespace

IdempotentRunner::IdempotentRunner(WorkerPool& workers,
                                   Sender& sender,
                                   std::atomic<uint64_t>& next_item,
                                   TakeRetry take_retry)
    : workers_(workers),
      sender_(sender),
      next_item_(next_item),
      take_retry_(std::move(take_retry)) {}

boost::asio::awaitable<HttpResponse> IdempotentRunner::Serve(CallPtr call) {
  WorkItem item = call->ToWorkItem(0);
  SendResult last;
  for (int i = 0; i < kMaxAttempts; ++i) {
    item.id = next_item_.fetch_add(1);
    const Decision decision = co_await call->entry->desk->Place(
        workers_.loop(WorkerPool::Current()), item);
    if (decision.step == Step::kRefuse) {
      if (i == 0)
        co_return RefusalAnswer(decision.refusal);
      break;
    }
    last = co_await sender_.Send(*call, decision, nullptr);
    if (last.end == AttemptEnd::kAnswered)
      break;
    if (SteadyNow() >= call->deadline || !take_retry_(*call->entry))
      break;
    Avoid(decision, item);
  }
  if (last.has_answer)
    co_return ToCaller(std::move(last.response), last.verdict);
  co_return NoAnswer(last);
}

}  // namespace toucanknot
