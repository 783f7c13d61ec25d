#include "include/attempt/attempt_plan.h"

#include <algorithm>
#include <utility>

namespace toucanknot {

AttemptPlan::AttemptPlan(Options options) : options_(std::move(options)) {}

std::vector<AttemptAction> AttemptPlan::Start(Instant now) {
  if (now >= options_.deadline)
    return GiveUp(AttemptEnd::kTimedOut);
  if (options_.hedge_after && options_.take_hedge)
    hedge_at_ = now + *options_.hedge_after;
  return {StartAttempt(now)};
}

void AttemptPlan::OnSent(int, const ServerId& server) {
  servers_.push_back(server);
}

std::vector<AttemptAction> AttemptPlan::OnEnd(int attempt,
                                              AttemptEnd end,
                                              bool not_run,
                                              Instant now) {
  if (finished_ || !IsRunning(attempt))
    return {};
  std::erase(running_, attempt);
  if (end == AttemptEnd::kAnswered)
    return Deliver(attempt, Verdict::kRan);
  const bool complete = end == AttemptEnd::kFailed || end == AttemptEnd::kShed;
  if (complete) {
    failed_attempt_ = attempt;
    failed_not_run_ = not_run;
  }
  may_have_run_ = may_have_run_ || (!not_run && end != AttemptEnd::kNotSent);
  broken_ += end == AttemptEnd::kBroken ? 1 : 0;
  if (now >= options_.deadline)
    return GiveUp(AttemptEnd::kTimedOut);
  // The attempt that is still running serves as the retry.
  if (!running_.empty())
    return {};
  if (MayRetry(end, now))
    return {StartAttempt(now)};
  if (failed_attempt_ == 0)
    return GiveUp(end);
  const bool none_ran = failed_not_run_ && !may_have_run_;
  return Deliver(failed_attempt_, none_ran ? Verdict::kNotRun : Verdict::kRan);
}

std::vector<AttemptAction> AttemptPlan::OnTime(Instant now) {
  if (finished_)
    return {};
  if (now >= options_.deadline)
    return GiveUp(AttemptEnd::kTimedOut);
  if (!hedge_at_ || now < *hedge_at_)
    return {};
  hedge_at_.reset();
  const bool only_first = running_.size() == 1 && started_ == 1;
  if (!only_first || !MayStart(now) || !options_.take_hedge(now))
    return {};
  return {StartAttempt(now)};
}

std::vector<AttemptAction> AttemptPlan::OnCallerGone() {
  if (finished_)
    return {};
  finished_ = true;
  return CancelAll();
}

Instant AttemptPlan::NextWake() const {
  if (finished_)
    return Instant::Never();
  return hedge_at_ ? std::min(*hedge_at_, options_.deadline)
                   : options_.deadline;
}

bool AttemptPlan::IsRunning(int attempt) const {
  return std::find(running_.begin(), running_.end(), attempt) != running_.end();
}

bool AttemptPlan::MayStart(Instant now) const {
  return started_ < options_.max_attempts && broken_ < options_.max_broken &&
         now + options_.min_time_left <= options_.deadline;
}

bool AttemptPlan::MayRetry(AttemptEnd end, Instant now) {
  if (end == AttemptEnd::kCancelled ||
      (end == AttemptEnd::kFailed && !options_.retry_failed) ||
      !MayStart(now)) {
    return false;
  }
  if (end == AttemptEnd::kNotSent)
    return true;
  return options_.take_retry && options_.take_retry(now);
}

AttemptAction AttemptPlan::StartAttempt(Instant now) {
  running_.push_back(++started_);
  AttemptAction action;
  action.step = AttemptStep::kSend;
  action.attempt = started_;
  action.time_left = options_.deadline - now;
  return action;
}

std::vector<AttemptAction> AttemptPlan::Deliver(int attempt, Verdict verdict) {
  finished_ = true;
  std::vector<AttemptAction> actions = CancelAll();
  AttemptAction action;
  action.step = AttemptStep::kDeliver;
  action.attempt = attempt;
  action.verdict = verdict;
  actions.push_back(action);
  return actions;
}

std::vector<AttemptAction> AttemptPlan::GiveUp(AttemptEnd end) {
  finished_ = true;
  const bool may_run = may_have_run_ || !running_.empty();
  std::vector<AttemptAction> actions = CancelAll();
  AttemptAction action;
  action.step = AttemptStep::kGiveUp;
  action.verdict = may_run ? Verdict::kUnknown : Verdict::kNotRun;
  action.end = end;
  actions.push_back(action);
  return actions;
}

std::vector<AttemptAction> AttemptPlan::CancelAll() {
  std::vector<AttemptAction> actions;
  for (const int it : running_) {
    AttemptAction action;
    action.step = AttemptStep::kCancel;
    action.attempt = it;
    actions.push_back(action);
  }
  running_.clear();
  return actions;
}

}  // namespace toucanknot
