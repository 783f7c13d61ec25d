#include "bench/once/ticket_host_model.h"

#include <algorithm>
#include <utility>

namespace toucanknot::bench {
namespace {

constexpr int64_t kCacheBytes = 1'000;
constexpr Instant kStart{0};
constexpr uint32_t kShownAttempts = 3;

std::unique_ptr<TicketIssuer> NewIssuer(const HostIncarnation& self) {
  TicketKey key{};
  key[0] = static_cast<uint8_t>(self.incarnation);
  return std::make_unique<TicketIssuer>(self, key, kStart);
}

RunRecords::Limits ModelLimits() {
  return {kRecordLifetime, 16};
}

}  // namespace

TicketHostModel::TicketHostModel(int index,
                                 int hosts,
                                 Incarnation incarnation,
                                 Fault fault)
    : index_(index),
      hosts_(hosts),
      self_(IncarnationOf(index, incarnation)),
      fault_(fault),
      table_(NewIssuer(self_),
             ModelLimits(),
             std::make_shared<ResponseCache>(kCacheBytes, kRecordLifetime)),
      witness_(self_, {kRecordLifetime, kRecordLifetime * 4, 16}),
      forwarded_runs_(
          ModelLimits(),
          std::make_shared<ResponseCache>(kCacheBytes, kRecordLifetime)) {}

HostIncarnation TicketHostModel::IncarnationOf(int index,
                                               Incarnation incarnation) {
  return {HostId("h" + std::to_string(index)), incarnation};
}

int TicketHostModel::IndexOf(const HostIncarnation& incarnation) {
  return incarnation.host.str().back() - '0';
}

Ticket TicketHostModel::Issue(int witness, Incarnation witness_incarnation) {
  std::optional<HostIncarnation> second;
  if (witness >= 0)
    second = IncarnationOf(witness, witness_incarnation);
  return table_.Issue(kTicketLifetime, kStart, second);
}

void TicketHostModel::SetTicket(const std::string& text) {
  text_ = text;
  ticket_ = *Ticket::Parse(text);
}

std::unique_ptr<HostModel> TicketHostModel::Clone() const {
  return std::make_unique<TicketHostModel>(*this);
}

std::string TicketHostModel::Key() const {
  std::string key;
  const auto add = [&key](auto n) { key += std::to_string(n) + ","; };
  const auto add_view = [&](const RunView& view) {
    add(static_cast<int>(view.state) + 10 * view.forgotten + 20 * view.dead);
  };
  add(self_.incarnation);
  add(closed_);
  add(handed_over_);
  add_view(table_.runs().View(ticket_.sequence));
  WitnessTable queried = witness_;
  WitnessTable claimed = witness_;
  add(static_cast<int>(queried.Query(ticket_, kStart)));
  add(static_cast<int>(claimed.Claim(ticket_, kStart)));
  add(witness_.HasTakenOver(ticket_.owner));
  ForwardedRunTable forwards = forwarded_runs_;
  for (uint32_t n = 1; n <= kShownAttempts; ++n) {
    add_view(forwards.RunsOf(ticket_.owner)
                 .View(ForwardedRunTable::Key({ticket_.sequence, n})));
  }
  key += '|';
  for (const Run& it : runs_) {
    add(it.forwarded_here);
    add(it.key);
    add(static_cast<int>(it.stage));
    add(it.attempt.number);
    add(it.participant);
    add(it.participant_incarnation);
    add(it.handed_at.ms());
    add(it.claimed);
  }
  key += '|';
  for (const Waiter& it : waiters_) {
    add(it.id);
    add(static_cast<int>(it.query.kind));
    add(it.query.from);
    add(it.query.from_incarnation);
    add(it.query.tag);
  }
  key += '|';
  for (const PendingQuery& it : pending_queries_) {
    add(it.id);
    add(it.query.tag);
    add(it.actions);
    add(static_cast<int>(it.awaiting.step));
  }
  return key;
}

void TicketHostModel::OnMessage(const Message& m,
                                Instant now,
                                std::vector<Message>& out) {
  switch (m.kind) {
    case MessageKind::kRequest:
      return OnRequest(m, now, out);
    case MessageKind::kQuery:
      return OnQuery(m, now, out);
    case MessageKind::kClaim:
      return out.push_back(
          MakeMessage(m.from, MessageKind::kClaimReply, m.tag,
                      static_cast<int>(witness_.Claim(ticket_, now))));
    case MessageKind::kWitnessQuery:
      return out.push_back(
          MakeMessage(m.from, MessageKind::kWitnessReply, m.tag,
                      static_cast<int>(witness_.Query(ticket_, now))));
    case MessageKind::kOutcome:
      return witness_.RecordOutcome(ticket_, static_cast<Verdict>(m.value),
                                    now);
    case MessageKind::kClaimReply:
      return OnClaimReply(m, now, out);
    case MessageKind::kRan:
    case MessageKind::kRunRefused:
      return OnServerReply(m, now, out);
    case MessageKind::kForward:
    case MessageKind::kForwardQuery:
      return OnForward(m, now, out);
    case MessageKind::kForwardReply:
      return OnForwardReply(m, now, out);
    case MessageKind::kQueryReply:
    case MessageKind::kWitnessReply:
      return OnOwnerQueryReply(m, now, out);
    case MessageKind::kHandoff: {
      TicketHandoff handoff{IncarnationOf(m.from, m.from_incarnation), 0, {}};
      if (m.value >= 0) {
        handoff.finished.push_back(
            {ticket_.sequence, static_cast<Verdict>(m.value)});
      }
      handoff.forgotten_mark = m.tag;
      return witness_.TakeOver(handoff, now);
    }
    default:
      return;
  }
}

size_t TicketHostModel::PendingReplies() const {
  return runs_.size() - ReadyRuns() + pending_queries_.size();
}

void TicketHostModel::OnSilence(size_t i,
                                Instant now,
                                std::vector<Message>& out) {
  const size_t waiting_runs = runs_.size() - ReadyRuns();
  if (i >= waiting_runs) {
    const size_t n = i - waiting_runs;
    return ApplyAction(n, pending_queries_[n].owner_query.OnSilence(now), now,
                       out);
  }
  const size_t n = NthInStage(i, false);
  Run& run = runs_[n];
  if (run.stage == Stage::kClaiming)
    return VoidRun(n, now, out);
  // A reply about a forwarded request is relied on only while the other host
  // cannot have dropped its record.
  if (run.stage == Stage::kForwarded && now < run.handed_at + kRecordLifetime) {
    run.stage = Stage::kQueryingForward;
    Message query =
        MakeMessage(run.participant, MessageKind::kForwardQuery, run.key, 1);
    query.to_incarnation = run.participant_incarnation;
    query.attempt = run.attempt.number;
    return out.push_back(query);
  }
  if (fault_ == Fault::kSendsAgain && run.stage == Stage::kAtServer &&
      !run.forwarded_here) {
    run.stage = Stage::kReady;
    return;
  }
  BreakRun(n, now, out);
}

size_t TicketHostModel::ReadyRuns() const {
  return static_cast<size_t>(
      std::count_if(runs_.begin(), runs_.end(),
                    [](const Run& r) { return r.stage == Stage::kReady; }));
}

void TicketHostModel::Send(size_t i,
                           int participant,
                           Incarnation incarnation,
                           Instant now,
                           std::vector<Message>& out) {
  const size_t n = NthInStage(i, true);
  Run& run = runs_[n];
  run.participant = participant;
  run.participant_incarnation = incarnation;
  const bool claims = !run.forwarded_here && !run.claimed &&
                      ticket_.witness.has_value() && fault_ != Fault::kNoClaim;
  if (!claims)
    return HandOver(n, now, out);
  run.stage = Stage::kClaiming;
  out.push_back(
      MakeMessage(IndexOf(*ticket_.witness), MessageKind::kClaim, run.key, 0));
}

void TicketHostModel::HandOver(size_t n,
                               Instant now,
                               std::vector<Message>& out) {
  Run& run = runs_[n];
  const auto attempt = RunsFor(run).HandOver(run.key);
  const bool careless =
      fault_ == Fault::kNoClaim || fault_ == Fault::kSendsAgain;
  if (!attempt && !careless)
    return VoidRun(n, now, out);
  if (attempt)
    run.attempt = *attempt;
  if (!run.forwarded_here)
    ++handed_over_;
  run.handed_at = now;
  const bool to_server = run.participant >= kFirstServer;
  run.stage = to_server ? Stage::kAtServer : Stage::kForwarded;
  Message message = MakeMessage(
      run.participant, to_server ? MessageKind::kRun : MessageKind::kForward,
      run.key, 0);
  message.to_incarnation = run.participant_incarnation;
  message.attempt = run.attempt.number;
  message.value =
      run.forwarded_here ? IndexOf(run.forwarded_run.owner) : index_;
  out.push_back(message);
}

void TicketHostModel::Refuse(size_t i, Instant now, std::vector<Message>& out) {
  VoidRun(NthInStage(i, true), now, out);
}

bool TicketHostModel::MayForward(size_t i) const {
  return !runs_[NthInStage(i, true)].forwarded_here;
}

void TicketHostModel::Close() {
  closed_ = true;
  handoff_ = table_.Close();
}

bool TicketHostModel::Idle() const {
  return closed_ && runs_.empty() && pending_queries_.empty() &&
         waiters_.empty();
}

void TicketHostModel::HandOff(std::vector<Message>& out) {
  handoff_ = table_.Close();
  int value = -1;
  for (const auto& it : handoff_.finished) {
    if (it.run == ticket_.sequence)
      value = static_cast<int>(it.verdict);
  }
  // The model sends it to every host; World sets the receivers.
  out.push_back(MakeMessage(kCaller, MessageKind::kHandoff,
                            handoff_.forgotten_mark, value));
}

void TicketHostModel::OnTime(Instant now) {
  table_.runs().Expire(now);
  witness_.Expire(now);
  forwarded_runs_.Expire(now);
}

RunRecords& TicketHostModel::RunsFor(const Run& run) {
  return run.forwarded_here ? forwarded_runs_.RunsOf(run.forwarded_run.owner)
                            : table_.runs();
}

uint64_t TicketHostModel::AddWaiter(const Message& query) {
  uint64_t id = 1;
  const auto used = [&](const Waiter& w) { return w.id == id; };
  while (std::any_of(waiters_.begin(), waiters_.end(), used))
    ++id;
  waiters_.push_back({id, query});
  return id;
}

void TicketHostModel::DropWaiter(uint64_t id) {
  std::erase_if(waiters_, [id](const Waiter& w) { return w.id == id; });
}

size_t TicketHostModel::NthInStage(size_t i, bool ready) const {
  size_t n = 0;
  for (; n < runs_.size(); ++n) {
    if ((runs_[n].stage == Stage::kReady) != ready)
      continue;
    if (i-- == 0)
      break;
  }
  return n;
}

// Sends the final reply to a query, or tells another host that the run
// continues.
void TicketHostModel::Reply(const Message& query,
                            const TicketReply& reply,
                            std::vector<Message>& out) {
  Message m = MakeMessage(query.from, MessageKind::kVerdict, query.tag,
                          static_cast<int>(reply.verdict));
  if (query.kind != MessageKind::kRequest) {
    m.kind = query.kind == MessageKind::kQuery ? MessageKind::kQueryReply
                                               : MessageKind::kForwardReply;
    m.value = static_cast<int>(reply.step);
    m.attempt = query.attempt;
  }
  m.to_incarnation = query.from_incarnation;
  out.push_back(m);
}

void TicketHostModel::End(const Run& run,
                          const RunEnd& end,
                          std::vector<Message>& out) {
  if (!end.accepted)
    return;
  if (!run.forwarded_here)
    SendOutcome(end.verdict, out);
  TicketReply reply;
  reply.verdict = end.verdict;
  reply.step = end.verdict == Verdict::kRan      ? TicketStep::kDeliverResponse
               : end.verdict == Verdict::kNotRun ? TicketStep::kNotRun
                                                 : TicketStep::kUnknown;
  for (const uint64_t id : end.waiters) {
    const auto it = std::find_if(waiters_.begin(), waiters_.end(),
                                 [id](const Waiter& w) { return w.id == id; });
    if (it == waiters_.end())
      continue;
    Reply(it->query, reply, out);
    waiters_.erase(it);
  }
}

void TicketHostModel::SendOutcome(Verdict verdict, std::vector<Message>& out) {
  if (!ticket_.witness || verdict == Verdict::kUnknown)
    return;
  Message m = MakeMessage(IndexOf(*ticket_.witness), MessageKind::kOutcome, 0,
                          static_cast<int>(verdict));
  m.to_incarnation = ticket_.witness->incarnation;
  out.push_back(m);
}

Message TicketHostModel::MakeMessage(int participant,
                                     MessageKind kind,
                                     uint64_t tag,
                                     int value) const {
  Message m;
  m.kind = kind;
  m.from = index_;
  m.to = participant;
  m.from_incarnation = self_.incarnation;
  m.tag = tag;
  m.value = value;
  return m;
}

}  // namespace toucanknot::bench
