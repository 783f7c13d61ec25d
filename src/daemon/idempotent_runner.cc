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
#include "src/daemon/responses.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;

constexpr int kMaxAttempts = 4;

// The response to a request none of whose attempts got a complete response.
HttpResponse NoResponse(const AttemptAction& action, const std::string& error) {
  const bool late = action.end == AttemptEnd::kTimedOut;
  return HostResponse(
      late ? 504 : 502, action.verdict, kAttemptEndNames.Name(action.end),
      "no complete response was received: " + (error.empty() ? "late" : error));
}

}  // namespace

struct IdempotentRunner::Attempt {
  int number = 0;
  asio::cancellation_signal cancel;
  bool cancelled = false;
  AttemptResponse result;
};

// The concurrent attempts of one request. Used by one worker only.
struct IdempotentRunner::Race {
  Race(asio::io_context& worker_loop,
       ServiceRequestPtr the_request,
       AttemptPlan::Options options)
      : loop(worker_loop),
        service_request(std::move(the_request)),
        plan(std::move(options)),
        item(service_request->ToDispatchRequest(0)),
        wake(worker_loop) {}

  void Cancel(int number) {
    const AttemptPtr it = attempts.at(number);
    it->cancelled = true;
    it->cancel.emit(asio::cancellation_type::terminal);
  }
  // The plan's next actions, after the end of an attempt or a timeout.
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
      AttemptResponse& result = attempts.at(action.attempt)->result;
      return ToCallerResponse(std::move(result.response), action.verdict);
    }
    if (!any_sent)
      return RefusalResponse(refusal);
    return NoResponse(action, last_error);
  }

  asio::io_context& loop;
  const ServiceRequestPtr service_request;
  AttemptPlan plan;
  // The item for the next attempt; excludes the targets of earlier attempts.
  DispatchRequest item;
  std::map<int, AttemptPtr> attempts;
  std::deque<AttemptPtr> ended;
  asio::steady_timer wake;
  // Whether any attempt was sent.
  bool any_sent = false;
  Refusal refusal = Refusal::kDeadline;
  std::string last_error;
};

IdempotentRunner::IdempotentRunner(WorkerPool& workers,
                                   Sender& sender,
                                   CrashAdmission& crash_admission,
                                   std::atomic<uint64_t>& next_item,
                                   Hooks hooks)
    : workers_(workers),
      sender_(sender),
      crash_admission_(crash_admission),
      next_item_(next_item),
      hooks_(std::move(hooks)) {}

IdempotentRunner::RacePtr IdempotentRunner::MakeRace(
    ServiceRequestPtr service_request) {
  const ServiceEntryPtr entry = service_request->entry;
  AttemptPlan::Options options;
  options.deadline = service_request->deadline;
  options.max_attempts = kMaxAttempts;
  options.hedge_after = hooks_.hedge_after(*entry);
  options.take_retry = [this, entry](Instant) {
    return hooks_.try_acquire_retry(*entry);
  };
  options.take_hedge = [this, entry](Instant) {
    return hooks_.try_acquire_hedge(*entry);
  };
  return std::make_shared<Race>(workers_.loop(WorkerPool::CurrentWorker()),
                                std::move(service_request), std::move(options));
}

asio::awaitable<HttpResponse> IdempotentRunner::Serve(
    ServiceRequestPtr service_request) {
  const RacePtr race = MakeRace(std::move(service_request));
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
      attempt->result.error = "internal error of the entry host";
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
  // Cancellation must not throw here: a cancelled attempt still ends with a
  // result, so that it is always reported.
  co_await asio::this_coro::throw_if_cancelled(false);
  DispatchRequest item = race->item;
  item.id = next_item_.fetch_add(1);
  const DispatchDecision decision =
      co_await crash_admission_.Decide(race->service_request, item);
  if (decision.step == Step::kRefuse) {
    race->refusal = decision.refusal;
    // Nothing was sent, and a retry would be refused as well.
    attempt->result.end = AttemptEnd::kCancelled;
    co_return;
  }
  if (attempt->cancelled) {
    AttemptResult unused;
    unused.request_id = decision.request_id;
    unused.server = decision.server;
    unused.host = decision.host;
    unused.end = AttemptEnd::kCancelled;
    race->service_request->entry->dispatcher->Finish(unused);
    attempt->result.end = AttemptEnd::kCancelled;
    co_return;
  }
  race->any_sent = true;
  race->plan.OnSent(attempt->number, decision.server);
  // The next retry or hedge goes to a different target.
  ExcludeTarget(decision, race->item);
  attempt->result =
      co_await sender_.Send(*race->service_request, decision, nullptr);
}

}  // namespace toucanknot
