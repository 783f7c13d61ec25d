#include "bench/once/plain_host_model.h"

#include <algorithm>
#include <utility>

namespace toucanknot::bench {
namespace {

constexpr uint64_t kRun = 1;
constexpr uint64_t kFingerprint = 7;
constexpr int kKeyOwner = 0;

}  // namespace

PlainHostModel::PlainHostModel(int index,
                               Incarnation incarnation,
                               Design design)
    : index_(index),
      incarnation_(incarnation),
      design_(design),
      runs_({}, std::make_shared<ResponseCache>(0, Duration(0))) {}

std::unique_ptr<HostModel> PlainHostModel::Clone() const {
  return std::make_unique<PlainHostModel>(*this);
}

void PlainHostModel::OnMessage(const Message& m,
                               Instant now,
                               std::vector<Message>& out) {
  switch (m.kind) {
    case MessageKind::kRequest:
      return OnRequest(m, now, out);
    case MessageKind::kQuery:
      return RunOrJoin(m, now, out);
    case MessageKind::kQueryReply: {
      const auto query = TakeWait(MessageKind::kQueryReply, m.tag);
      if (query)
        SendVerdict(*query, static_cast<Verdict>(m.value), out);
      return;
    }
    case MessageKind::kStoreReply:
      return OnStoreReply(m, now, out);
    case MessageKind::kRan:
    case MessageKind::kRunRefused: {
      TakeWait(MessageKind::kRan, kRun);
      const RunAttempt attempt{kRun, m.attempt};
      return End(m.kind == MessageKind::kRan
                     ? runs_.RecordResponse(attempt, nullptr, now)
                     : runs_.RecordNotRun(attempt, nullptr, now),
                 out);
    }
    default:
      return;
  }
}

void PlainHostModel::OnSilence(size_t i,
                               Instant now,
                               std::vector<Message>& out) {
  const Wait wait = waits_[i];
  waits_.erase(waits_.begin() + static_cast<ptrdiff_t>(i));
  if (wait.awaited == MessageKind::kRan)
    return End(runs_.RecordBroken({kRun, wait.query.attempt}, now), out);
  // Neither the store nor another host knows whether it ran under this key.
  SendVerdict(wait.query, Verdict::kUnknown, out);
}

void PlainHostModel::Send(size_t,
                          int participant,
                          Incarnation,
                          Instant,
                          std::vector<Message>& out) {
  ready_ = false;
  const auto attempt = runs_.HandOver(kRun);
  if (!attempt)
    return;
  Message m = MakeMessage(participant, MessageKind::kRun, kRun);
  m.attempt = attempt->number;
  waits_.push_back({MessageKind::kRan, m});
  out.push_back(m);
}

void PlainHostModel::Refuse(size_t, Instant now, std::vector<Message>& out) {
  ready_ = false;
  End(runs_.Void(kRun, Instant::Never(), now), out);
}

void PlainHostModel::OnRequest(const Message& m,
                               Instant now,
                               std::vector<Message>& out) {
  if (design_ == Design::kKeyOwner) {
    if (index_ == kKeyOwner)
      return RunOrJoin(m, now, out);
    waits_.push_back({MessageKind::kQueryReply, m});
    return out.push_back(MakeMessage(kKeyOwner, MessageKind::kQuery, m.tag));
  }
  if (runs_.View(kRun).state != TicketState::kUnused)
    return RunOrJoin(m, now, out);
  waits_.push_back({MessageKind::kStoreReply, m});
  out.push_back(MakeMessage(kStore, MessageKind::kStoreClaim, m.tag));
}

// m.value is a Verdict when the store holds the outcome, else -1 - HOLDER.
void PlainHostModel::OnStoreReply(const Message& m,
                                  Instant now,
                                  std::vector<Message>& out) {
  const auto query = TakeWait(MessageKind::kStoreReply, m.tag);
  if (!query)
    return;
  if (m.value >= 0)
    return SendVerdict(*query, static_cast<Verdict>(m.value), out);
  const int holder = -1 - m.value;
  const bool mine = holder == index_ && m.attempt == incarnation_;
  if (mine)
    return RunOrJoin(*query, now, out);
  if (holder == index_)
    return SendVerdict(*query, Verdict::kUnknown, out);
  waits_.push_back({MessageKind::kQueryReply, *query});
  out.push_back(MakeMessage(holder, MessageKind::kQuery, m.tag));
}

void PlainHostModel::RunOrJoin(const Message& m,
                               Instant now,
                               std::vector<Message>& out) {
  const RunView view = runs_.View(kRun);
  const bool queried = m.kind == MessageKind::kQuery;
  const bool lost_record =
      incarnation_ > 1 && view.state == TicketState::kUnused;
  const bool only_queried = queried && design_ == Design::kStoreClaim;
  switch (view.state) {
    case TicketState::kUnused:
      if ((design_ == Design::kKeyOwner && lost_record) || only_queried)
        return SendVerdict(m, Verdict::kUnknown, out);
      runs_.Admit(kRun, kFingerprint, false, Instant::Never(), now);
      ready_ = true;
      break;
    case TicketState::kRan:
      return SendVerdict(m, Verdict::kRan, out);
    case TicketState::kVoided:
      return SendVerdict(m, Verdict::kNotRun, out);
    case TicketState::kBroken:
      return SendVerdict(m, Verdict::kUnknown, out);
    default:
      break;
  }
  queries_.push_back(m);
  runs_.Join(kRun, queries_.size() - 1);
}

void PlainHostModel::SendVerdict(const Message& query,
                                 Verdict verdict,
                                 std::vector<Message>& out) const {
  const bool queried = query.kind == MessageKind::kQuery;
  Message m = MakeMessage(
      query.from, queried ? MessageKind::kQueryReply : MessageKind::kVerdict,
      query.tag);
  m.to_incarnation = query.from_incarnation;
  m.value = static_cast<int>(verdict);
  out.push_back(m);
}

void PlainHostModel::End(const RunEnd& end, std::vector<Message>& out) {
  if (!end.accepted)
    return;
  for (const uint64_t it : end.waiters)
    SendVerdict(queries_[it], end.verdict, out);
  if (design_ != Design::kStoreClaim || end.verdict == Verdict::kUnknown)
    return;
  Message m = MakeMessage(kStore, MessageKind::kStoreOutcome, 0);
  m.value = static_cast<int>(end.verdict);
  out.push_back(m);
}

std::optional<Message> PlainHostModel::TakeWait(MessageKind kind,
                                                uint64_t tag) {
  const auto it = std::find_if(
      waits_.begin(), waits_.end(),
      [&](const Wait& w) { return w.awaited == kind && w.query.tag == tag; });
  if (it == waits_.end())
    return std::nullopt;
  const Message query = it->query;
  waits_.erase(it);
  return query;
}

Message PlainHostModel::MakeMessage(int participant,
                                    MessageKind kind,
                                    uint64_t tag) const {
  Message m;
  m.kind = kind;
  m.from = index_;
  m.to = participant;
  m.from_incarnation = incarnation_;
  m.tag = tag;
  return m;
}

}  // namespace toucanknot::bench
