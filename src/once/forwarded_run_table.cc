#include "include/once/forwarded_run_table.h"

#include <utility>

namespace toucanknot {
namespace {

// Enough for RunRecords::kMaxAttempts.
constexpr int kAttemptBits = 4;

}  // namespace

ForwardedRunTable::ForwardedRunTable(RunRecords::Limits limits,
                                     std::shared_ptr<ResponseCache> cache)
    : limits_(limits), cache_(std::move(cache)) {}

TicketReply ForwardedRunTable::Begin(const ForwardedRunId& forwarded_run,
                                     uint64_t fingerprint,
                                     uint64_t waiter,
                                     Instant now) {
  RunRecords& runs = RunsOf(forwarded_run.owner);
  TicketReply reply;
  reply.run = Key(forwarded_run.attempt);
  const RunView view = runs.View(reply.run);
  if (view.state != TicketState::kUnused || view.forgotten || view.dead) {
    reply = ReplyFromView(view, fingerprint, std::move(reply));
  } else if (runs.Admit(reply.run, fingerprint, false, now + limits_.keep,
                        now)) {
    reply.step = TicketStep::kStart;
  } else {
    reply.step = TicketStep::kNotRun;
    reply.verdict = Verdict::kNotRun;
    reply.reason = TicketReason::kTableFull;
  }
  if (reply.step == TicketStep::kStart || reply.step == TicketStep::kJoin)
    runs.Join(reply.run, waiter);
  return reply;
}

TicketReply ForwardedRunTable::Query(const ForwardedRunId& forwarded_run,
                                     bool give_up,
                                     uint64_t waiter,
                                     Instant now) {
  RunRecords& runs = RunsOf(forwarded_run.owner);
  TicketReply reply;
  reply.run = Key(forwarded_run.attempt);
  const TicketState state = runs.View(reply.run).state;
  const bool unsent = state == TicketState::kUnused ||
                      (give_up && state == TicketState::kAdmitted);
  if (unsent)
    runs.Void(reply.run, now + limits_.keep, now);
  const RunView view = runs.View(reply.run);
  reply = ReplyFromView(view, view.fingerprint, std::move(reply));
  if (reply.step == TicketStep::kJoin)
    runs.Join(reply.run, waiter);
  return reply;
}

RunRecords& ForwardedRunTable::RunsOf(const HostIncarnation& owner) {
  return owners_.try_emplace(owner, limits_, cache_).first->second;
}

uint64_t ForwardedRunTable::Key(const RunAttempt& attempt) {
  return attempt.run << kAttemptBits | attempt.number;
}

RunEnd ForwardedRunTable::Void(const ForwardedRunId& forwarded_run,
                               Instant now) {
  return RunsOf(forwarded_run.owner)
      .Void(Key(forwarded_run.attempt), now + limits_.keep, now);
}

void ForwardedRunTable::Expire(Instant now) {
  for (auto it = owners_.begin(); it != owners_.end();) {
    it->second.Expire(now);
    it = it->second.size() == 0 ? owners_.erase(it) : std::next(it);
  }
}

size_t ForwardedRunTable::size() const {
  size_t n = 0;
  for (const auto& [owner, runs] : owners_)
    n += runs.size();
  return n;
}

}  // namespace toucanknot
