// How a host of the model handles messages.

#include <algorithm>
#include <utility>

#include "bench/once/ticket_host_model.h"

namespace toucanknot::bench {
namespace {

constexpr uint64_t kFingerprint = 7;
// Hosts that are queried for the records of an owner that stopped.
constexpr int kSuccessors = 3;

const CachedResponsePtr& TheAnswer() {
  static const CachedResponsePtr answer =
      std::make_shared<CachedResponse>(CachedResponse{200, "", "done"});
  return answer;
}

}  // namespace

TicketReply TicketHostModel::Corrupt(TicketReply reply) const {
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
      Corrupt(table_.Begin(text_, kFingerprint, waiter, now));
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
    options.successors.push_back(LifeOf((index_ + i) % hosts_, 0));
  uint64_t id = 1;
  for (const Inquiry& it : inquiries_)
    id = std::max(id, it.id + 1);
  inquiries_.push_back(
      {id, m, OwnerQuery(ticket_, options, Instant::Never()), {}, 0});
  Act(inquiries_.size() - 1, inquiries_.back().inquiry.Start(now), now, out);
}

void TicketHostModel::OnAsk(const Message& m,
                            Instant now,
                            std::vector<Message>& out) {
  const uint64_t waiter = AddWaiter(m);
  // With the fault, the void is recorded only in a copy.
  TicketTable copy = table_;
  TicketTable& table = fault_ == Fault::kVoidNotKept ? copy : table_;
  TicketReply reply = Corrupt(table.Ask(text_, kFingerprint, waiter, now));
  if (reply.step == TicketStep::kNotMine &&
      fault_ == Fault::kEarlierLifeIsNotRun) {
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
    table_.runs().Claimed(runs_[n].key);
    runs_[n].claimed = true;
    return HandOver(n, now, out);
  }
}

void TicketHostModel::OnServer(const Message& m,
                               Instant now,
                               std::vector<Message>& out) {
  Run run;
  run.passed_here = m.value != index_;
  run.pass.owner = ticket_.owner;
  run.key = m.tag;
  const RunAttempt attempt{m.tag, m.attempt};
  RunRecords& runs = RunsFor(run);
  const RunEnd end = m.kind == MessageKind::kRan
                         ? runs.Answer(attempt, TheAnswer(), now)
                         : runs.Refuse(attempt, nullptr, now);
  std::erase_if(runs_, [&](const Run& r) {
    return r.passed_here == run.passed_here && r.key == run.key &&
           r.stage == Stage::kAtServer;
  });
  End(run, end, out);
}

void TicketHostModel::OnPass(const Message& m,
                             Instant now,
                             std::vector<Message>& out) {
  Run run;
  run.passed_here = true;
  run.pass = {LifeOf(m.from, m.from_life), {m.tag, m.attempt}};
  run.key = ForwardedRunTable::Key(run.pass.attempt);
  const uint64_t waiter = AddWaiter(m);
  if (m.kind == MessageKind::kPass) {
    const TicketReply reply =
        passes_.Begin(run.pass, kFingerprint, waiter, now);
    if (reply.step == TicketStep::kStart)
      return runs_.push_back(run);
    if (reply.step != TicketStep::kJoin) {
      DropWaiter(waiter);
      Reply(m, reply, out);
    }
    return;
  }
  const bool was_ready = passes_.RunsOf(run.pass.owner).MayChooseAgain(run.key);
  ForwardedRunTable copy = passes_;
  ForwardedRunTable& passes =
      fault_ == Fault::kPassVoidNotKept ? copy : passes_;
  const TicketReply reply = passes.Ask(run.pass, true, waiter, now);
  if (was_ready) {
    std::erase_if(
        runs_, [&](const Run& r) { return r.passed_here && r.key == run.key; });
    // Those that waited for it query under the same tag.
    std::erase_if(waiters_, [](const Waiter& w) {
      return w.question.kind == MessageKind::kPass;
    });
  }
  if (reply.step == TicketStep::kJoin)
    return;
  DropWaiter(waiter);
  Reply(m, reply, out);
}

void TicketHostModel::OnPassReply(const Message& m,
                                  Instant now,
                                  std::vector<Message>& out) {
  const RunAttempt attempt{m.tag, m.attempt};
  const auto step = static_cast<TicketStep>(m.value);
  const auto it = std::find_if(runs_.begin(), runs_.end(), [&](const Run& r) {
    return !r.passed_here && r.attempt == attempt &&
           (r.stage == Stage::kPassed || r.stage == Stage::kAskingPass);
  });
  Run run;
  run.key = m.tag;
  if (step == TicketStep::kAnswer || step == TicketStep::kAnswerGone) {
    if (it != runs_.end())
      runs_.erase(it);
    return End(run, table_.runs().Answer(attempt, TheAnswer(), now), out);
  }
  if (it == runs_.end())
    return;
  const bool believed = now < it->handed_at + kRecordKeep;
  if (step == TicketStep::kNotRun && believed &&
      table_.runs().TakeBack(attempt)) {
    it->stage = Stage::kReady;
    return;
  }
  BreakRun(static_cast<size_t>(it - runs_.begin()), now, out);
}

void TicketHostModel::OnInquiryReply(const Message& m,
                                     Instant now,
                                     std::vector<Message>& out) {
  const bool from_owner = m.kind == MessageKind::kAskReply;
  for (size_t n = 0; n < inquiries_.size(); ++n) {
    Inquiry& it = inquiries_[n];
    const bool to_owner = it.awaiting.step == OwnerQueryStep::kAskOwner;
    if (it.id != m.tag || to_owner != from_owner)
      continue;
    if (!from_owner) {
      return Act(
          n, it.inquiry.OnWitnessReply(static_cast<WitnessReply>(m.value), now),
          now, out);
    }
    TicketReply reply;
    reply.step = static_cast<TicketStep>(m.value);
    if (reply.step == TicketStep::kAnswer ||
        reply.step == TicketStep::kAnswerGone)
      reply.verdict = Verdict::kRan;
    if (reply.step == TicketStep::kNotRun)
      reply.verdict = Verdict::kNotRun;
    return Act(n, it.inquiry.OnOwnerReply(reply, now), now, out);
  }
}

void TicketHostModel::Act(size_t i,
                          const OwnerQueryAction& action,
                          Instant now,
                          std::vector<Message>& out) {
  Inquiry& it = inquiries_[i];
  ++it.actions;
  const bool waits_on = it.awaiting.step == OwnerQueryStep::kAskOwner &&
                        action.step == OwnerQueryStep::kAskOwner &&
                        it.actions > 1;
  it.awaiting = action;
  if (waits_on)
    return;
  if (action.step == OwnerQueryStep::kAnswer) {
    Reply(it.question, action.reply, out);
    inquiries_.erase(inquiries_.begin() + static_cast<ptrdiff_t>(i));
    return;
  }
  if (action.step == OwnerQueryStep::kAskWitness && action.target == self_) {
    return Act(i, it.inquiry.OnWitnessReply(witness_.Ask(ticket_, now), now),
               now, out);
  }
  const bool owner = action.step == OwnerQueryStep::kAskOwner;
  Message m =
      To(IndexOf(action.target),
         owner ? MessageKind::kAsk : MessageKind::kWitnessAsk, it.id, 0);
  out.push_back(m);
}

void TicketHostModel::VoidRun(size_t i,
                              Instant now,
                              std::vector<Message>& out) {
  const Run run = runs_[i];
  runs_.erase(runs_.begin() + static_cast<ptrdiff_t>(i));
  const RunEnd end =
      run.passed_here ? passes_.Void(run.pass, now) : table_.Void(ticket_, now);
  End(run, end, out);
}

void TicketHostModel::BreakRun(size_t i,
                               Instant now,
                               std::vector<Message>& out) {
  const Run run = runs_[i];
  runs_.erase(runs_.begin() + static_cast<ptrdiff_t>(i));
  End(run, RunsFor(run).Break(run.attempt, now), out);
}

}  // namespace toucanknot::bench
