#include "src/daemon/idempotent_runner.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <map>
#include <utility>

#include "include/attempt/attempt_plan.h"
#include "src/daemon/answers.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;

constexpr int kMaxAttempts = 4;

// The answer for a request whose last attempt gave none.
HttpResponse NoAnswer(const AttemptAction& action, const std::string& error) {
  const bool late = action.end == AttemptEnd::kTimedOut;
  return HostResponse(
      late ? 504 : 502, action.verdict, kAttemptEndNames.Name(action.end),
      "no whole answer was had: " + (error.empty() ? "late" : error));
}

}  // namespace

struct IdempotentRunner::Attempt {
  int number = 0;
  asio::cancellation_signal cancel;
  bool cancelled = false;
  SendResult result;
};

// The attempts of one request. Used by one worker only.
struct IdempotentRunner::Race {
  Race(asio::io_context& worker_loop,
       ServiceRequestPtr the_call,
       AttemptPlan::Options options)
      : loop(worker_loop),
        call(std::move(the_call)),
        plan(std::move(options)),
        item(call->ToDispatchRequest(0)),
        wake(worker_loop) {}

  void Cancel(int number) {
    const AttemptPtr it = attempts.at(number);
    it->cancelled = true;
    it->cancel.emit(asio::cancellation_type::terminal);
  }
  // What the plan does next: on the end of an attempt, or on time.
  std::vector<AttemptAction> Next() {
    const Instant now = SteadyNow();
    if (ended.empty())
      return plan.OnTime(now);
    const AttemptPtr it = ended.front();
    ended.pop_front();
    if (!it->result.error.empty())
      last_error = it->result.error;
    return plan.OnEnd(it->number, it->result.end,
                      it->result.verdict == Verdict::kNotRun, now);
  }
  HttpResponse Finish(const AttemptAction& action) {
    if (action.step == AttemptStep::kDeliver) {
      SendResult& result = attempts.at(action.attempt)->result;
      return ToCaller(std::move(result.response), action.verdict);
    }
    if (!any_sent)
      return RefusalResponse(refusal);
    return NoAnswer(action, last_error);
  }

  asio::io_context& loop;
  const ServiceRequestPtr call;
  AttemptPlan plan;
  // As the next attempt is offered: knows where earlier ones went.
  DispatchRequest item;
  std::map<int, AttemptPtr> attempts;
  std::deque<AttemptPtr> ended;
  asio::steady_timer wake;
  // Some attempt was placed.
  bool any_sent = false;
  Refusal refusal = Refusal::kDeadline;
  std::string last_error;
};

IdempotentRunner::IdempotentRunner(WorkerPool& workers,
                                   Sender& sender,
                                   CrashAdmission& gate,
                                   std::atomic<uint64_t>& next_item,
                                   Hooks hooks)
    : workers_(workers),
      sender_(sender),
      gate_(gate),
      next_item_(next_item),
      hooks_(std::move(hooks)) {}

IdempotentRunner::RacePtr IdempotentRunner::MakeRace(ServiceRequestPtr call) {
  const ServiceEntryPtr entry = call->entry;
  AttemptPlan::Options options;
  options.deadline = call->deadline;
  options.max_attempts = kMaxAttempts;
  options.hedge_after = hooks_.hedge_after(*entry);
  options.take_retry = [this, entry](Instant) {
    return hooks_.take_retry(*entry);
  };
  options.take_hedge = [this, entry](Instant) {
    return hooks_.take_hedge(*entry);
  };
  return std::make_shared<Race>(workers_.loop(WorkerPool::Current()),
                                std::move(call), std::move(options));
}

asio::awaitable<HttpResponse> IdempotentRunner::Serve(ServiceRequestPtr call) {
  const RacePtr race = MakeRace(std::move(call));
  std::vector<AttemptAction> actions = race->plan.Start(SteadyNow());
  for (;;) {
    for (const AttemptAction& it : actions) {
      if (it.step == AttemptStep::kSend)
        StartAttempt(race, it.attempt);
      else if (it.step == AttemptStep::kCancel)
        race->Cancel(it.attempt);
      else
        co_return race->Finish(it);
    }
    if (race->ended.empty()) {
      const Duration left = race->plan.NextWake() - SteadyNow();
      race->wake.expires_after(
          std::chrono::milliseconds(std::max<int64_t>(left.ms(), 0)));
      co_await race->wake.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    actions = race->Next();
  }
}

void IdempotentRunner::StartAttempt(const RacePtr& race, int number) {
  const auto attempt = std::make_shared<Attempt>();
  attempt->number = number;
  race->attempts[number] = attempt;
  auto on_end = [race, attempt](const std::exception_ptr& failure) {
    if (failure) {
      attempt->result.end = AttemptEnd::kBroken;
      attempt->result.verdict = Verdict::kUnknown;
      attempt->result.error = "the host failed on this request";
    }
    race->ended.push_back(attempt);
    race->wake.cancel();
  };
  asio::co_spawn(
      race->loop, RunAttempt(race, attempt),
      asio::bind_cancellation_slot(attempt->cancel.slot(), std::move(on_end)));
}

asio::awaitable<void> IdempotentRunner::RunAttempt(RacePtr race,
                                                   AttemptPtr attempt) {
  // A cancelled attempt ends by its results, so that it is always reported.
  co_await asio::this_coro::throw_if_cancelled(false);
  DispatchRequest item = race->item;
  item.id = next_item_.fetch_add(1);
  const DispatchDecision decision = co_await gate_.Decide(race->call, item);
  if (decision.step == Step::kRefuse) {
    race->refusal = decision.refusal;
    // Nothing was sent, and another try would be refused as well.
    attempt->result.end = AttemptEnd::kCancelled;
    co_return;
  }
  if (attempt->cancelled) {
    AttemptResult unused;
    unused.request_id = decision.request_id;
    unused.server = decision.server;
    unused.host = decision.host;
    unused.end = AttemptEnd::kCancelled;
    race->call->entry->desk->Finish(unused);
    attempt->result.end = AttemptEnd::kCancelled;
    co_return;
  }
  race->any_sent = true;
  race->plan.OnSent(attempt->number, decision.server);
  // The next attempt, be it a retry or a hedge, goes elsewhere.
  Avoid(decision, race->item);
  attempt->result = co_await sender_.Send(*race->call, decision, nullptr);
}

}  // namespace toucanknot
