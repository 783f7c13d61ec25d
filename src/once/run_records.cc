#include "include/once/run_records.h"

#include <algorithm>
#include <utility>

namespace toucanknot {
namespace {

Verdict VerdictOf(TicketState state) {
  switch (state) {
    case TicketState::kRan:
      return Verdict::kRan;
    case TicketState::kVoided:
      return Verdict::kNotRun;
    default:
      return Verdict::kUnknown;
  }
}

}  // namespace

RunRecords::RunRecords(Limits limits, std::shared_ptr<ResponseCache> cache)
    : limits_(limits), cache_(std::move(cache)) {}

RunView RunRecords::View(uint64_t run) const {
  RunView view;
  const auto it = records_.find(run);
  if (it == records_.end()) {
    view.forgotten = run <= forgotten_mark_;
    view.dead = run <= dead_mark_;
    return view;
  }
  view.state = it->second.state;
  view.fingerprint = it->second.fingerprint;
  view.response = it->second.response.lock();
  return view;
}

bool RunRecords::Admit(uint64_t run,
                       uint64_t fingerprint,
                       bool needs_claim,
                       Instant expires,
                       Instant now) {
  Expire(now);
  if (records_.size() >= limits_.max_records && !DropOldestFinished()) {
    dead_mark_ = std::max(dead_mark_, run);
    return false;
  }
  const auto next = NextTicketState(TicketState::kUnused, TicketEvent::kAdmit);
  Record record;
  record.state = *next;
  record.needs_claim = needs_claim;
  record.fingerprint = fingerprint;
  record.forget_at = expires;
  if (!records_.emplace(run, record).second)
    return false;
  ++unfinished_;
  return true;
}

void RunRecords::Join(uint64_t run, uint64_t waiter) {
  const auto it = records_.find(run);
  if (it != records_.end() && IsUnfinished(it->second.state))
    waiters_[run].push_back(waiter);
}

size_t RunRecords::RemoveWaiter(uint64_t run, uint64_t waiter) {
  const auto it = waiters_.find(run);
  if (it == waiters_.end())
    return 0;
  std::erase(it->second, waiter);
  return it->second.size();
}

bool RunRecords::MayChooseAgain(uint64_t run) const {
  const auto it = records_.find(run);
  return it != records_.end() && it->second.state == TicketState::kAdmitted;
}

void RunRecords::OnClaimGranted(uint64_t run) {
  const auto it = records_.find(run);
  if (it != records_.end())
    it->second.needs_claim = false;
}

std::optional<RunAttempt> RunRecords::HandOver(uint64_t run) {
  const auto it = records_.find(run);
  if (it == records_.end() || it->second.needs_claim ||
      it->second.attempts >= kMaxAttempts ||
      !Apply(it->second, TicketEvent::kHandOver)) {
    return std::nullopt;
  }
  return RunAttempt{run, ++it->second.attempts};
}

bool RunRecords::TakeBack(const RunAttempt& attempt) {
  Record* record = FindAttempt(attempt);
  return record && Apply(*record, TicketEvent::kTakeBack);
}

RunEnd RunRecords::RecordResponse(const RunAttempt& attempt,
                                  CachedResponsePtr response,
                                  Instant now) {
  Record* record = FindAttempt(attempt);
  if (!record || !Apply(*record, TicketEvent::kResponse))
    return {};
  return Finish(attempt.run, *record, std::move(response), now);
}

RunEnd RunRecords::RecordNotRun(const RunAttempt& attempt,
                                CachedResponsePtr response,
                                Instant now) {
  Record* record = FindAttempt(attempt);
  if (!record || !Apply(*record, TicketEvent::kRefuse))
    return {};
  return Finish(attempt.run, *record, std::move(response), now);
}

RunEnd RunRecords::RecordBroken(const RunAttempt& attempt, Instant now) {
  Record* record = FindAttempt(attempt);
  if (!record || !Apply(*record, TicketEvent::kBreak))
    return {};
  return Finish(attempt.run, *record, nullptr, now);
}

RunEnd RunRecords::Void(uint64_t run, Instant expires, Instant now) {
  auto it = records_.find(run);
  if (it == records_.end()) {
    if (run <= forgotten_mark_)
      return {};
    if (records_.size() >= limits_.max_records && !DropOldestFinished()) {
      dead_mark_ = std::max(dead_mark_, run);
      return {true, Verdict::kNotRun, nullptr, {}};
    }
    it = records_.emplace(run, Record()).first;
    it->second.forget_at = expires;
  }
  if (!Apply(it->second, TicketEvent::kVoid))
    return {};
  return Finish(run, it->second, nullptr, now);
}

void RunRecords::Expire(Instant now) {
  // Drops by number, so that the marks never pass an unused ticket issued after
  // the last one dropped. Unfinished runs are skipped.
  auto it = records_.begin();
  while (it != records_.end()) {
    if (IsUnfinished(it->second.state))
      ++it;
    else if (it->second.forget_at <= now)
      it = DropRecord(it);
    else
      break;
  }
}

void RunRecords::SetLimits(Limits limits, Instant now) {
  limits_ = limits;
  Expire(now);
}

std::vector<RunRecords::Finished> RunRecords::FinishedRuns() const {
  std::vector<Finished> list;
  for (const auto& [run, record] : records_) {
    if (record.state != TicketState::kVoided)
      list.push_back({run, VerdictOf(record.state)});
  }
  return list;
}

bool RunRecords::IsUnfinished(TicketState state) {
  return state == TicketState::kAdmitted || state == TicketState::kHandedOver;
}

RunRecords::Record* RunRecords::FindAttempt(const RunAttempt& attempt) {
  const auto it = records_.find(attempt.run);
  if (it == records_.end() || it->second.attempts != attempt.number)
    return nullptr;
  return &it->second;
}

bool RunRecords::Apply(Record& record, TicketEvent event) {
  const auto next = NextTicketState(record.state, event);
  if (!next)
    return false;
  unfinished_ -= IsUnfinished(record.state) ? 1 : 0;
  unfinished_ += IsUnfinished(*next) ? 1 : 0;
  record.state = *next;
  return true;
}

RunEnd RunRecords::Finish(uint64_t run,
                          Record& record,
                          CachedResponsePtr response,
                          Instant now) {
  RunEnd end{true, VerdictOf(record.state), response, {}};
  if (response) {
    record.response = response;
    cache_->Add(std::move(response), now);
  }
  if (record.state != TicketState::kVoided)
    record.forget_at = std::max(record.forget_at, now + limits_.keep);
  const auto it = waiters_.find(run);
  if (it != waiters_.end()) {
    end.waiters = std::move(it->second);
    waiters_.erase(it);
  }
  return end;
}

bool RunRecords::DropOldestFinished() {
  const auto it = std::find_if(
      records_.begin(), records_.end(),
      [](const auto& entry) { return !IsUnfinished(entry.second.state); });
  if (it == records_.end())
    return false;
  DropRecord(it);
  return true;
}

RunRecords::Records::iterator RunRecords::DropRecord(Records::iterator it) {
  dead_mark_ = std::max(dead_mark_, it->first);
  if (it->second.state != TicketState::kVoided)
    forgotten_mark_ = std::max(forgotten_mark_, it->first);
  return records_.erase(it);
}

}  // namespace toucanknot
