#include "bench/once/world_model.h"

#include <algorithm>

#include "bench/once/plain_host_model.h"
#include "bench/once/ticket_host_model.h"

namespace toucanknot::bench {
namespace {

constexpr int kOwner = 0;
constexpr int kWitness = 1;
// One step exceeds the lifetime of a ticket, three that of a record.
constexpr Duration kStep = kTicketLifetime;

}  // namespace

World::World(const WorldOptions& options) : options_(options) {
  for (int i = 0; i < options_.hosts; ++i) {
    hosts_.emplace_back();
    hosts_.back().model = NewHost(i, 1);
  }
  if (!UsesTickets())
    return;
  const bool witnessed = options_.design == Design::kTicketsWithWitness;
  auto* owner = static_cast<TicketHostModel*>(hosts_[kOwner].model.get());
  ticket_ = owner->Issue(witnessed ? kWitness : -1, 1).ToString();
  for (Host& it : hosts_)
    static_cast<TicketHostModel*>(it.model.get())->SetTicket(ticket_);
}

World::World(const World& other)
    : options_(other.options_),
      ticket_(other.ticket_),
      messages_(other.messages_),
      now_(other.now_),
      next_request_(other.next_request_),
      runs_(other.runs_),
      reported_not_run_(other.reported_not_run_),
      bytes_sent_(other.bytes_sent_),
      messages_sent_(other.messages_sent_),
      known_verdict_(other.known_verdict_),
      violation_(other.violation_),
      cut_zone_(other.cut_zone_),
      store_up_(other.store_up_),
      holder_(other.holder_),
      holder_incarnation_(other.holder_incarnation_),
      outcome_(other.outcome_) {
  for (const Host& it : other.hosts_) {
    hosts_.push_back(
        {it.model ? it.model->Clone() : nullptr, it.incarnation, it.closing});
  }
}

std::vector<Action> World::EnabledActions() const {
  std::vector<Action> out;
  if (violation_ != Violation::kNone)
    return out;
  AddRequestActions(out);
  AddMessageActions(out);
  AddHostActions(out);
  AddFaultActions(out);
  return out;
}

void World::AddRequestActions(std::vector<Action>& out) const {
  if (options_.requests == 0 || (options_.sensible_caller && has_verdict()))
    return;
  const bool first = next_request_ == 1;
  if (!first && !options_.early_timeouts && !messages_.empty())
    return;
  for (int i = 0; i < options_.hosts; ++i) {
    const bool any = !options_.sensible_caller || !first ||
                     !hosts_[kOwner].model ||
                     options_.design == Design::kKeyOwner;
    if (hosts_[i].model && (any || i == kOwner))
      out.push_back({ActionKind::kRequest, i});
  }
}

void World::AddMessageActions(std::vector<Action>& out) const {
  for (size_t i = 0; i < messages_.size(); ++i) {
    if (i > 0 && messages_[i] == messages_[i - 1])
      continue;
    const int n = static_cast<int>(i);
    out.push_back({ActionKind::kDeliver, n});
    if (options_.losses)
      out.push_back({ActionKind::kLose, n});
    if (options_.refuses && messages_[i].kind == MessageKind::kRun)
      out.push_back({ActionKind::kServerRefuses, n});
  }
}

void World::AddHostActions(std::vector<Action>& out) const {
  for (int h = 0; h < options_.hosts; ++h) {
    const HostModel* model = hosts_[h].model.get();
    if (!model)
      continue;
    const bool waits_on = !options_.early_timeouts && !messages_.empty();
    const size_t waits = waits_on ? 0 : model->PendingReplies();
    for (int i = 0; i < static_cast<int>(waits); ++i)
      out.push_back({ActionKind::kSilence, h, i});
    for (int i = 0; i < static_cast<int>(model->ReadyRuns()); ++i) {
      for (int s = 0; s < options_.servers; ++s)
        out.push_back({ActionKind::kSend, h, i, kFirstServer + s});
      for (int p = 0; options_.forwards > 0 && p < options_.hosts; ++p) {
        if (p != h && hosts_[p].model && model->MayForward(i))
          out.push_back({ActionKind::kSend, h, i, p});
      }
      if (options_.refuses)
        out.push_back({ActionKind::kRefuse, h, i});
    }
    if (hosts_[h].closing && model->Idle() && !HasForwardInTransit(h))
      out.push_back({ActionKind::kLeave, h});
  }
}

void World::AddFaultActions(std::vector<Action>& out) const {
  for (int h = 0; h < options_.hosts; ++h) {
    const bool alive = hosts_[h].model != nullptr;
    const bool may_die = options_.mortal_host < 0 || options_.mortal_host == h;
    if (alive && may_die && options_.kills > 0)
      out.push_back({ActionKind::kKill, h});
    if (alive && options_.closes > 0 && !hosts_[h].closing && UsesTickets())
      out.push_back({ActionKind::kClose, h});
    if (!alive && options_.restarts > 0)
      out.push_back({ActionKind::kRestart, h});
  }
  if (options_.ticks > 0)
    out.push_back({ActionKind::kTick});
  for (int z = 0; options_.cuts > 0 && cut_zone_ < 0 && z < options_.zones; ++z)
    out.push_back({ActionKind::kCut, z});
  if (cut_zone_ >= 0)
    out.push_back({ActionKind::kHeal});
  if (options_.outages > 0 && store_up_)
    out.push_back({ActionKind::kStoreDown});
  if (!store_up_)
    out.push_back({ActionKind::kStoreUp});
}

void World::Apply(const Action& action) {
  std::vector<Message> out;
  const auto take = [this](int i) {
    const Message m = messages_[i];
    messages_.erase(messages_.begin() + i);
    return m;
  };
  const auto model = [&]() -> HostModel& { return *hosts_[action.a].model; };
  switch (action.kind) {
    case ActionKind::kRequest: {
      --options_.requests;
      Message m{MessageKind::kRequest, kCaller, action.a};
      m.tag = next_request_++;
      out.push_back(m);
      break;
    }
    case ActionKind::kDeliver:
      Deliver(take(action.a), false, out);
      break;
    case ActionKind::kServerRefuses:
      Deliver(take(action.a), true, out);
      break;
    case ActionKind::kLose:
      take(action.a);
      break;
    case ActionKind::kSilence:
      model().OnSilence(action.b, now_, out);
      break;
    case ActionKind::kSend: {
      const bool host = action.c < kFirstServer;
      options_.forwards -= host ? 1 : 0;
      const Incarnation incarnation = host ? hosts_[action.c].incarnation : 0;
      model().Send(action.b, action.c, incarnation, now_, out);
      break;
    }
    case ActionKind::kRefuse:
      model().Refuse(action.b, now_, out);
      break;
    case ActionKind::kKill:
      --options_.kills;
      RemoveHost(action.a);
      break;
    case ActionKind::kRestart:
      --options_.restarts;
      Restart(action.a);
      break;
    case ActionKind::kClose:
      --options_.closes;
      model().Close();
      hosts_[action.a].closing = true;
      break;
    case ActionKind::kLeave:
      model().HandOff(out);
      RemoveHost(action.a);
      break;
    case ActionKind::kTick:
      --options_.ticks;
      now_ = now_ + kStep;
      for (Host& it : hosts_) {
        if (it.model)
          it.model->OnTime(now_);
      }
      break;
    case ActionKind::kCut:
      --options_.cuts;
      cut_zone_ = action.a;
      break;
    case ActionKind::kHeal:
      cut_zone_ = -1;
      break;
    case ActionKind::kStoreDown:
      --options_.outages;
      store_up_ = false;
      break;
    case ActionKind::kStoreUp:
      store_up_ = true;
      break;
  }
  Post(out);
  Check();
}

std::string World::Key() const {
  std::string key;
  const auto add = [&key](auto n) { key += std::to_string(n) + ","; };
  for (const int n : {options_.requests, options_.ticks, options_.kills,
                      options_.closes, options_.restarts, options_.forwards,
                      runs_, static_cast<int>(reported_not_run_)}) {
    add(n);
  }
  for (const Host& it : hosts_) {
    add(it.incarnation);
    add(it.closing);
    key += it.model ? it.model->Key() : "-";
    key += '/';
  }
  for (const Message& it : messages_) {
    add(static_cast<int>(it.kind));
    add(it.from);
    add(it.to);
    add(it.from_incarnation);
    add(it.to_incarnation);
    add(it.tag);
    add(it.attempt);
    add(it.value);
    key += ';';
  }
  return key;
}

std::unique_ptr<HostModel> World::NewHost(int index,
                                          Incarnation incarnation) const {
  switch (options_.design) {
    case Design::kStoreClaim:
      return std::make_unique<PlainHostModel>(
          index, incarnation, PlainHostModel::Design::kStoreClaim);
    case Design::kKeyOwner:
      return std::make_unique<PlainHostModel>(
          index, incarnation, PlainHostModel::Design::kKeyOwner);
    default:
      return std::make_unique<TicketHostModel>(index, options_.hosts,
                                               incarnation, options_.fault);
  }
}

bool World::UsesTickets() const {
  return options_.design == Design::kTickets ||
         options_.design == Design::kTicketsWithWitness;
}

bool World::HasForwardInTransit(int host) const {
  return std::any_of(messages_.begin(), messages_.end(), [&](const Message& m) {
    return m.kind == MessageKind::kForward && m.to == host;
  });
}

int World::ZoneOf(int participant) const {
  if (participant == kStore)
    return 0;
  return (participant >= kFirstServer ? participant - kFirstServer
                                      : participant) %
         options_.zones;
}

// Callers can reach every zone. A zone that is cut off can reach only itself.
bool World::Reachable(int from, int to) const {
  if (from == kCaller || to == kCaller || cut_zone_ < 0)
    return true;
  const int one = ZoneOf(from);
  const int other = ZoneOf(to);
  return one == other || (one != cut_zone_ && other != cut_zone_);
}

void World::Deliver(const Message& m,
                    bool server_refuses,
                    std::vector<Message>& out) {
  if (!Reachable(m.from, m.to))
    return;
  if (m.to == kCaller) {
    const auto verdict = static_cast<Verdict>(m.value);
    if (verdict != Verdict::kUnknown)
      known_verdict_ = verdict;
    return;
  }
  if (m.to == kStore)
    return DeliverToStore(m, out);
  if (m.to >= kFirstServer)
    return DeliverToServer(m, server_refuses, out);
  Host& host = hosts_[m.to];
  const bool for_it =
      m.to_incarnation == 0 || m.to_incarnation == host.incarnation;
  if (host.model && for_it)
    host.model->OnMessage(m, now_, out);
}

void World::DeliverToServer(const Message& m,
                            bool refuses,
                            std::vector<Message>& out) {
  if (!refuses)
    ++runs_;
  Message reply = m;
  reply.kind = refuses ? MessageKind::kRunRefused : MessageKind::kRan;
  reply.from = m.to;
  reply.to = m.from;
  reply.to_incarnation = m.from_incarnation;
  out.push_back(reply);
}

void World::DeliverToStore(const Message& m, std::vector<Message>& out) {
  if (!store_up_)
    return;
  if (m.kind == MessageKind::kStoreOutcome) {
    outcome_ = m.value;
    return;
  }
  if (holder_ < 0) {
    holder_ = m.from;
    holder_incarnation_ = m.from_incarnation;
  }
  Message reply = m;
  reply.kind = MessageKind::kStoreReply;
  reply.from = kStore;
  reply.to = m.from;
  reply.to_incarnation = m.from_incarnation;
  reply.value = outcome_ >= 0 ? outcome_ : -1 - holder_;
  reply.attempt = static_cast<uint32_t>(holder_incarnation_);
  out.push_back(reply);
}

void World::Post(const std::vector<Message>& out) {
  for (const Message& it : out) {
    if (it.kind != MessageKind::kHandoff) {
      PostOne(it);
      continue;
    }
    for (int h = 0; h < options_.hosts; ++h) {
      Message m = it;
      m.to = h;
      if (h != it.from)
        PostOne(m);
    }
  }
}

void World::PostOne(const Message& m) {
  ++messages_sent_;
  if (m.kind == MessageKind::kRun || m.kind == MessageKind::kForward)
    bytes_sent_ = true;
  if (m.kind == MessageKind::kVerdict) {
    OnVerdict(static_cast<Verdict>(m.value));
    // A caller that sends regardless of replies needs none.
    if (!options_.sensible_caller)
      return;
  }
  const auto it = std::upper_bound(messages_.begin(), messages_.end(), m);
  messages_.insert(it, m);
}

void World::OnVerdict(Verdict verdict) {
  if (verdict == Verdict::kNotRun)
    reported_not_run_ = true;
  if (verdict == Verdict::kRan && runs_ == 0)
    violation_ = Violation::kFalseRan;
}

void World::RemoveHost(int host) {
  hosts_[host].model = nullptr;
  hosts_[host].closing = false;
  std::erase_if(messages_, [&](const Message& m) {
    return m.to == host && m.to_incarnation == hosts_[host].incarnation;
  });
}

void World::Restart(int host) {
  hosts_[host].incarnation += 1;
  hosts_[host].model = NewHost(host, hosts_[host].incarnation);
  if (UsesTickets())
    static_cast<TicketHostModel*>(hosts_[host].model.get())->SetTicket(ticket_);
}

void World::Check() {
  if (violation_ != Violation::kNone)
    return;
  if (runs_ > 1)
    violation_ = Violation::kDoubled;
  else if (reported_not_run_ && runs_ > 0)
    violation_ = Violation::kFalseNotRun;
}

}  // namespace toucanknot::bench
