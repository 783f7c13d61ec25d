// How a host of the model handles messages.

#include <algorithm>
#include <utility>

#include "bench/once/ticket_host_model.h"

namespace toucanknot::bench {
namespace {

constexpr uint64_t kFingerprint = 7;
// Hosts that are queried for the records of an owner that stopped.
constexpr int kSuccessors = 3;

const CachedResponsePtr& FixedResponse() {
  static const CachedResponsePtr response =
      std::make_shared<CachedResponse>(CachedResponse{200, "", "done"});
  return response;
}

}  // namespace

TicketReply TicketHostModel::ApplyFault(TicketReply reply) const {
  if (fault_ == Fault::kExpiredIsNotRun &&
      reply.reason == TicketReason::kForgotten) {
    reply.step = TicketStep::kNotRun;
    reply.verdict = Verdict::kNotRun;
  }
  return reply;
}

void TicketHostModel::OnRequest(const Message& m,
                                Instant now,
                                std::vector<Message>& out) {
  const uint64_t waiter = AddWaiter(m);
  const TicketReply reply =
      ApplyFault(table_.Begin(text_, kFingerprint, waiter, now));
  if (reply.step == TicketStep::kStart) {
    Run run;
    run.key = reply.run;
    return runs_.push_back(run);
  }
  if (reply.step == TicketStep::kJoin)
    return;
  DropWaiter(waiter);
  if (reply.step != TicketStep::kNotMine)
    return Reply(m, reply, out);
  OwnerQuery::Options options;
  if (ticket_.owner.host == self_.host)
    options.known_incarnation = self_.incarnation;
  // This host's own record of the handoff is queried when the owner is silent.
  options.successors.push_back(self_);
  for (int i = 1; i < std::min(hosts_, kSuccessors); ++i)
    options.successors.push_back(IncarnationOf((index_ + i) % hosts_, 0));
  uint64_t id = 1;
  for (const PendingQuery& it : pending_queries_)
    id = std::max(id, it.id + 1);
  pending_queries_.push_back(
      {id, m, OwnerQuery(ticket_, options, Instant::Never()), {}, 0});
  ApplyAction(pending_queries_.size() - 1,
              pending_queries_.back().owner_query.Start(now), now, out);
}

void TicketHostModel::OnQuery(const Message& m,
                              Instant now,
                              std::vector<Message>& out) {
  const uint64_t waiter = AddWaiter(m);
  // With the fault, the void is recorded only in a copy.
  TicketTable copy = table_;
  TicketTable& table = fault_ == Fault::kVoidNotRecorded ? copy : table_;
  TicketReply reply = ApplyFault(table.Query(text_, kFingerprint, waiter, now));
  if (reply.step == TicketStep::kNotMine &&
      fault_ == Fault::kEarlierIncarnationIsNotRun) {
    reply.step = TicketStep::kNotRun;
    reply.verdict = Verdict::kNotRun;
  }
  if (reply.step != TicketStep::kJoin)
    DropWaiter(waiter);
  Reply(m, reply, out);
}

void TicketHostModel::OnClaimReply(const Message& m,
                                   Instant now,
                                   std::vector<Message>& out) {
  for (size_t n = 0; n < runs_.size(); ++n) {
    if (runs_[n].stage != Stage::kClaiming)
      continue;
    if (static_cast<WitnessReply>(m.value) != WitnessReply::kGranted)
      return VoidRun(n, now, out);
    table_.runs().OnClaimGranted(runs_[n].key);
    runs_[n].claimed = true;
    return HandOver(n, now, out);
  }
}

void TicketHostModel::OnServerReply(const Message& m,
                                    Instant now,
                                    std::vector<Message>& out) {
  Run run;
  run.forwarded_here = m.value != index_;
  run.forwarded_run.owner = ticket_.owner;
  run.key = m.tag;
  const RunAttempt attempt{m.tag, m.attempt};
  RunRecords& runs = RunsFor(run);
  const RunEnd end = m.kind == MessageKind::kRan
                         ? runs.RecordResponse(attempt, FixedResponse(), now)
                         : runs.RecordNotRun(attempt, nullptr, now);
  std::erase_if(runs_, [&](const Run& r) {
    return r.forwarded_here == run.forwarded_here && r.key == run.key &&
           r.stage == Stage::kAtServer;
  });
  End(run, end, out);
}

void TicketHostModel::OnForward(const Message& m,
                                Instant now,
                                std::vector<Message>& out) {
  Run run;
  run.forwarded_here = true;
  run.forwarded_run = {IncarnationOf(m.from, m.from_incarnation),
                       {m.tag, m.attempt}};
  run.key = ForwardedRunTable::Key(run.forwarded_run.attempt);
  const uint64_t waiter = AddWaiter(m);
  if (m.kind == MessageKind::kForward) {
    const TicketReply reply =
        forwarded_runs_.Begin(run.forwarded_run, kFingerprint, waiter, now);
    if (reply.step == TicketStep::kStart)
      return runs_.push_back(run);
    if (reply.step != TicketStep::kJoin) {
      DropWaiter(waiter);
      Reply(m, reply, out);
    }
    return;
  }
  const bool was_ready =
      forwarded_runs_.RunsOf(run.forwarded_run.owner).MayChooseAgain(run.key);
  ForwardedRunTable copy = forwarded_runs_;
  ForwardedRunTable& forwards =
      fault_ == Fault::kForwardVoidNotRecorded ? copy : forwarded_runs_;
  const TicketReply reply =
      forwards.Query(run.forwarded_run, true, waiter, now);
  if (was_ready) {
    std::erase_if(runs_, [&](const Run& r) {
      return r.forwarded_here && r.key == run.key;
    });
    // Those that waited for it query under the same tag.
    std::erase_if(waiters_, [](const Waiter& w) {
      return w.query.kind == MessageKind::kForward;
    });
  }
  if (reply.step == TicketStep::kJoin)
    return;
  DropWaiter(waiter);
  Reply(m, reply, out);
}

void TicketHostModel::OnForwardReply(const Message& m,
                                     Instant now,
                                     std::vector<Message>& out) {
  const RunAttempt attempt{m.tag, m.attempt};
  const auto step = static_cast<TicketStep>(m.value);
  const auto it = std::find_if(runs_.begin(), runs_.end(), [&](const Run& r) {
    return !r.forwarded_here && r.attempt == attempt &&
           (r.stage == Stage::kForwarded || r.stage == Stage::kQueryingForward);
  });
  Run run;
  run.key = m.tag;
  if (step == TicketStep::kDeliverResponse ||
      step == TicketStep::kResponseGone) {
    if (it != runs_.end())
      runs_.erase(it);
    return End(run, table_.runs().RecordResponse(attempt, FixedResponse(), now),
               out);
  }
  if (it == runs_.end())
    return;
  const bool reply_valid = now < it->handed_at + kRecordLifetime;
  if (step == TicketStep::kNotRun && reply_valid &&
      table_.runs().TakeBack(attempt)) {
    it->stage = Stage::kReady;
    return;
  }
  BreakRun(static_cast<size_t>(it - runs_.begin()), now, out);
}

void TicketHostModel::OnOwnerQueryReply(const Message& m,
                                        Instant now,
                                        std::vector<Message>& out) {
  const bool from_owner = m.kind == MessageKind::kQueryReply;
  for (size_t n = 0; n < pending_queries_.size(); ++n) {
    PendingQuery& it = pending_queries_[n];
    const bool to_owner = it.awaiting.step == OwnerQueryStep::kQueryOwner;
    if (it.id != m.tag || to_owner != from_owner)
      continue;
    if (!from_owner) {
      return ApplyAction(n,
                         it.owner_query.OnWitnessReply(
                             static_cast<WitnessReply>(m.value), now),
                         now, out);
    }
    TicketReply reply;
    reply.step = static_cast<TicketStep>(m.value);
    if (reply.step == TicketStep::kDeliverResponse ||
        reply.step == TicketStep::kResponseGone)
      reply.verdict = Verdict::kRan;
    if (reply.step == TicketStep::kNotRun)
      reply.verdict = Verdict::kNotRun;
    return ApplyAction(n, it.owner_query.OnOwnerReply(reply, now), now, out);
  }
}

void TicketHostModel::ApplyAction(size_t i,
                                  const OwnerQueryAction& action,
                                  Instant now,
                                  std::vector<Message>& out) {
  PendingQuery& it = pending_queries_[i];
  ++it.actions;
  const bool waits_on = it.awaiting.step == OwnerQueryStep::kQueryOwner &&
                        action.step == OwnerQueryStep::kQueryOwner &&
                        it.actions > 1;
  it.awaiting = action;
  if (waits_on)
    return;
  if (action.step == OwnerQueryStep::kReply) {
    Reply(it.query, action.reply, out);
    pending_queries_.erase(pending_queries_.begin() +
                           static_cast<ptrdiff_t>(i));
    return;
  }
  if (action.step == OwnerQueryStep::kQueryWitness && action.target == self_) {
    return ApplyAction(
        i, it.owner_query.OnWitnessReply(witness_.Query(ticket_, now), now),
        now, out);
  }
  const bool owner = action.step == OwnerQueryStep::kQueryOwner;
  Message m = MakeMessage(
      IndexOf(action.target),
      owner ? MessageKind::kQuery : MessageKind::kWitnessQuery, it.id, 0);
  out.push_back(m);
}

void TicketHostModel::VoidRun(size_t i,
                              Instant now,
                              std::vector<Message>& out) {
  const Run run = runs_[i];
  runs_.erase(runs_.begin() + static_cast<ptrdiff_t>(i));
  const RunEnd end = run.forwarded_here
                         ? forwarded_runs_.Void(run.forwarded_run, now)
                         : table_.Void(ticket_, now);
  End(run, end, out);
}

void TicketHostModel::BreakRun(size_t i,
                               Instant now,
                               std::vector<Message>& out) {
  const Run run = runs_[i];
  runs_.erase(runs_.begin() + static_cast<ptrdiff_t>(i));
  End(run, RunsFor(run).RecordBroken(run.attempt, now), out);
}

}  // namespace toucanknot::bench
