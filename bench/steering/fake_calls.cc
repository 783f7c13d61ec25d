// The way of a request through the fake: callers and entry hosts.

#include <algorithm>
#include <utility>

#include "bench/steering/fake_fleet.h"

namespace toucanknot::bench {
namespace {

constexpr int64_t kUsPerMs = 1'000;
constexpr int64_t kUsPerSecond = 1'000'000;
// Attempts that an entry host makes on errors, and passes after a refusal.
constexpr int kMaxTries = 3;
// Entry hosts that a caller tries, and how often it asks again.
constexpr int kMaxHosts = 4;
constexpr int kMaxRepeats = 5;
constexpr int64_t kRepeatUs = 200 * kUsPerMs;
// How long it takes to see that nothing answers at an address.
constexpr int64_t kSilentUs = 200 * kUsPerMs;

size_t Second(int64_t us) {
  return static_cast<size_t>(us / kUsPerSecond);
}

bool IsRetried(AttemptEnd end) {
  return end == AttemptEnd::kFailed || end == AttemptEnd::kNotSent ||
         end == AttemptEnd::kBroken;
}

}  // namespace

void FakeFleet::StartCall(const Arrival& arrival) {
  events_.At(arrival.at_us, [this, arrival] {
    if (++next_arrival_ < arrivals_.size())
      StartCall(arrivals_[next_arrival_]);
    auto call = std::make_shared<Call>();
    call->arrival = arrival;
    call->first_us = events_.now_us();
    ServiceMeasures& m = measures_.services[arrival.service];
    ++m.arrived_in_second[Second(events_.now_us())];
    if (call->first_us >= kWarmMs * kUsPerMs)
      ++m.offered;
    TryCall(call);
  });
}

bool FakeFleet::PickHost(const Call& call, size_t* host) {
  std::vector<size_t> list;
  const double share = returns_[call.arrival.region].Share(events_.now());
  const bool ramps = policy_ != Policy::kNaive && share < 1;
  const bool away = ramps && rng_.Uniform() >= share;
  for (const bool own_region : {!away, away}) {
    for (size_t i = 0; i < hosts_.size(); ++i) {
      const bool own = hosts_[i].region == call.arrival.region;
      const bool tried = std::count(call.dead.begin(), call.dead.end(), i) > 0;
      if (believed_[i] && !tried && own == own_region)
        list.push_back(i);
    }
    if (!list.empty())
      break;
  }
  if (list.empty())
    return false;
  *host = list[rng_.Below(list.size())];
  return true;
}

void FakeFleet::TryCall(const std::shared_ptr<Call>& call) {
  size_t h = 0;
  if (!PickHost(*call, &h) || ++call->tries > kMaxHosts) {
    EndCall(call, Outcome::kFailed);
    return;
  }
  if (!hosts_[h].alive) {
    call->dead.push_back(h);
    const int64_t us = scenario_.fault == Fault::kHost
                           ? 2 * deployment_.to_client_us
                           : kSilentUs;
    events_.After(us, [this, call] { TryCall(call); });
    return;
  }
  const Traffic& traffic = deployment_.traffic[call->arrival.service];
  Leg leg{.host = h,
          .service = call->arrival.service,
          .work_us = call->arrival.work_us,
          .deadline_us = events_.now_us() + traffic.deadline.ms() * kUsPerMs};
  leg.request = {.service = traffic.service,
                 .request_bytes = traffic.request_bytes};
  leg.reply = [this, call](Outcome outcome, Refusal) {
    if (outcome == Outcome::kBroken)
      TryCall(call);
    else
      EndCall(call, outcome);
  };
  uint64_t id = 0;
  StartLeg(h, std::move(leg), &id);
}

void FakeFleet::EndCall(const std::shared_ptr<Call>& call, Outcome outcome) {
  ServiceMeasures& m = measures_.services[call->arrival.service];
  const bool counts = call->first_us >= kWarmMs * kUsPerMs;
  if (outcome == Outcome::kAnswered) {
    if (events_.now_us() >= kWarmMs * kUsPerMs)
      ++m.answered_in_window;
    ++m.answered_in_second[Second(events_.now_us())];
    if (counts) {
      ++m.answered;
      m.latencies_us.push_back(events_.now_us() - call->first_us);
    }
    return;
  }
  if (scenario_.callers_repeat && call->repeats++ < kMaxRepeats) {
    call->tries = 0;
    events_.After(kRepeatUs, [this, call] { TryCall(call); });
    return;
  }
  if (counts)
    ++(outcome == Outcome::kRefused ? m.refused : m.failed);
}

void FakeFleet::StartLeg(size_t h, Leg leg, uint64_t* id) {
  Host& host = hosts_[h];
  *id = next_item_++;
  leg.request.id = *id;
  leg.request.deadline = Instant(leg.deadline_us / kUsPerMs);
  if (policy_ == Policy::kNaive)
    ++measures_.services[leg.service]
          .requests_in_second[Second(events_.now_us())];
  const int64_t deadline_us = leg.deadline_us;
  const int life = host.life;
  Leg& kept = host.legs.emplace(*id, std::move(leg)).first->second;
  events_.At(deadline_us, [this, h, life, id = *id] {
    if (hosts_[h].alive && hosts_[h].life == life)
      ExpireLeg(h, id);
  });
  Offer(host, kept);
}

void FakeFleet::Offer(Host& host, Leg& leg) {
  const size_t h = leg.host;
  const size_t service = leg.service;
  const DispatchDecision decision =
      host.dispatchers[service]->Offer(leg.request, events_.now());
  Apply(h, service, decision);
  ScheduleWake(h, service);
}

void FakeFleet::Apply(size_t h, size_t, const DispatchDecision& decision) {
  Host& host = hosts_[h];
  const auto it = host.legs.find(decision.request_id);
  if (it == host.legs.end())
    return;
  Leg& leg = it->second;
  leg.sent_us = events_.now_us();
  leg.last = decision;
  ++leg.attempt;
  switch (decision.step) {
    case Step::kSend:
      SendTo(host, leg, decision);
      break;
    case Step::kForward:
      PassTo(host, leg, decision);
      break;
    case Step::kWait:
      break;
    case Step::kRefuse:
      EndLeg(h, decision.request_id, Outcome::kRefused, decision.refusal);
      break;
  }
}

void FakeFleet::SendTo(Host& host, Leg& leg, const DispatchDecision& decision) {
  FakeServer* server = nullptr;
  for (const auto& it : servers_[leg.service]) {
    if (it->config().id == decision.server)
      server = it.get();
  }
  host.limits->OnSent(leg.service, decision.server, events_.now());
  const size_t h = leg.host;
  const uint64_t id = leg.request.id;
  const int attempt = leg.attempt;
  const int life = host.life;
  const Place from = PlaceOf(host);
  const Place to = PlaceOf(server->config().zone);
  const auto ended = [this, h, id, attempt, life, decision](AttemptEnd end) {
    if (hosts_[h].alive && hosts_[h].life == life)
      AttemptEnded(h, id, attempt, end, decision);
  };
  if (!server->alive() || !Reachable(from, to)) {
    leg.cancel = nullptr;
    events_.After(kSilentUs, [ended] { ended(AttemptEnd::kNotSent); });
    return;
  }
  if (from.region != to.region)
    ++measures_.services[leg.service]
          .shifted_in_second[Second(events_.now_us())];
  const Traffic& traffic = deployment_.traffic[leg.service];
  const auto number = std::make_shared<uint64_t>(0);
  const auto cancelled = std::make_shared<bool>(false);
  leg.cancel = [this, server, number, cancelled, from, to] {
    *cancelled = true;
    Carry(from, to, 0, [server, number] { server->Cancel(*number); });
  };
  const int64_t work_us = leg.work_us;
  Carry(from, to, traffic.request_bytes,
        [this, server, number, cancelled, work_us, from, to, ended,
         bytes = traffic.response_bytes] {
          if (*cancelled || !server->alive())
            return;
          *number = server->Arrive(
              work_us, [this, from, to, ended, bytes](AttemptEnd end) {
                Carry(to, from, bytes, [ended, end] { ended(end); });
              });
        });
}

void FakeFleet::AttemptEnded(size_t h,
                             uint64_t id,
                             int attempt,
                             AttemptEnd end,
                             const DispatchDecision& decision) {
  Host& host = hosts_[h];
  const auto it = host.legs.find(id);
  if (it == host.legs.end() || it->second.attempt != attempt)
    return;
  Leg& leg = it->second;
  const size_t service = leg.service;
  const AttemptResult result{
      .request_id = id,
      .server = decision.server,
      .end = end,
      .took = Duration((events_.now_us() - leg.sent_us) / kUsPerMs)};
  host.limits->OnAttempt(service, result, Instant(leg.sent_us / kUsPerMs),
                         events_.now());
  host.dispatchers[service]->Finish(result, events_.now());
  if (end == AttemptEnd::kAnswered) {
    EndLeg(h, id, Outcome::kAnswered, Refusal::kNone);
  } else if (IsRetried(end) && ++leg.tries < kMaxTries) {
    leg.request.avoid.push_back(decision.server);
    Offer(host, leg);
  } else {
    EndLeg(h, id, Outcome::kFailed, Refusal::kNone);
  }
  Advance(h, service);
}

void FakeFleet::PassTo(Host& host, Leg& leg, const DispatchDecision& decision) {
  const size_t h = leg.host;
  const uint64_t id = leg.request.id;
  const int attempt = leg.attempt;
  const int life = host.life;
  size_t p = 0;
  while (hosts_[p].config.id != decision.host)
    ++p;
  const Place from = PlaceOf(host);
  const Place to = PlaceOf(hosts_[p]);
  const auto ended = [this, h, id, attempt, life, decision](Outcome outcome,
                                                            Refusal refusal) {
    if (hosts_[h].alive && hosts_[h].life == life)
      PassEnded(h, id, attempt, outcome, refusal, decision);
  };
  if (!hosts_[p].alive || !Reachable(from, to)) {
    leg.cancel = nullptr;
    const int64_t us = scenario_.fault == Fault::kHost
                           ? 2 * deployment_.between_zones_us
                           : kSilentUs;
    events_.After(us, [ended] { ended(Outcome::kBroken, Refusal::kNone); });
    return;
  }
  const Traffic& traffic = deployment_.traffic[leg.service];
  Leg next{.host = p,
           .service = leg.service,
           .work_us = leg.work_us,
           .deadline_us = leg.deadline_us};
  next.request = leg.request;
  next.request.hop = decision.hop;
  next.request.avoid_hosts.clear();
  next.reply = [this, from, to, ended, bytes = traffic.response_bytes](
                   Outcome outcome, Refusal refusal) {
    if (outcome == Outcome::kBroken) {
      ended(outcome, refusal);
      return;
    }
    Carry(to, from, outcome == Outcome::kAnswered ? bytes : 100,
          [ended, outcome, refusal] { ended(outcome, refusal); });
  };
  const auto peer_id = std::make_shared<uint64_t>(0);
  leg.cancel = nullptr;
  Carry(from, to, traffic.request_bytes, [this, p, next, peer_id, ended] {
    if (!hosts_[p].alive) {
      ended(Outcome::kBroken, Refusal::kNone);
      return;
    }
    StartLeg(p, next, peer_id.get());
  });
}

void FakeFleet::PassEnded(size_t h,
                          uint64_t id,
                          int attempt,
                          Outcome outcome,
                          Refusal refusal,
                          const DispatchDecision& decision) {
  Host& host = hosts_[h];
  const auto it = host.legs.find(id);
  if (it == host.legs.end() || it->second.attempt != attempt)
    return;
  Leg& leg = it->second;
  const size_t service = leg.service;
  AttemptEnd end = AttemptEnd::kAnswered;
  if (outcome == Outcome::kRefused)
    end = AttemptEnd::kShed;
  else if (outcome == Outcome::kBroken)
    end = AttemptEnd::kNotSent;
  else if (outcome == Outcome::kFailed)
    end = AttemptEnd::kFailed;
  if (decision.hop == Hop::kCrossed)
    host.limits->OnForwardingEnded(
        id,
        outcome == Outcome::kAnswered
            ? deployment_.traffic[service].response_bytes
            : 0,
        events_.now());
  host.dispatchers[service]->Finish(
      {.request_id = id,
       .host = decision.host,
       .end = end,
       .took = Duration((events_.now_us() - leg.sent_us) / kUsPerMs)},
      events_.now());
  const bool refused_there =
      outcome == Outcome::kRefused && decision.hop == Hop::kCrossed;
  const bool again = refused_there || outcome == Outcome::kBroken;
  if (again && ++leg.tries < kMaxTries) {
    leg.request.avoid_hosts.push_back(decision.host);
    Offer(host, leg);
  } else {
    EndLeg(h, id, outcome == Outcome::kBroken ? Outcome::kFailed : outcome,
           refusal);
  }
  Advance(h, service);
}

void FakeFleet::EndLeg(size_t h,
                       uint64_t id,
                       Outcome outcome,
                       Refusal refusal) {
  Host& host = hosts_[h];
  const auto it = host.legs.find(id);
  if (it == host.legs.end())
    return;
  const Reply reply = std::move(it->second.reply);
  host.legs.erase(it);
  reply(outcome, refusal);
}

void FakeFleet::ExpireLeg(size_t h, uint64_t id) {
  Host& host = hosts_[h];
  const auto it = host.legs.find(id);
  if (it == host.legs.end())
    return;
  Leg& leg = it->second;
  const size_t service = leg.service;
  if (leg.cancel)
    leg.cancel();
  const AttemptResult result{
      .request_id = id,
      .server = leg.last.server,
      .host = leg.last.host,
      .end = AttemptEnd::kTimedOut,
      .took = Duration((events_.now_us() - leg.sent_us) / kUsPerMs)};
  if (leg.last.step == Step::kWait)
    host.dispatchers[service]->Withdraw(id, events_.now());
  else
    host.dispatchers[service]->Finish(result, events_.now());
  if (leg.last.step == Step::kSend) {
    host.limits->OnAttempt(service, result, Instant(leg.sent_us / kUsPerMs),
                           events_.now());
  }
  if (leg.last.hop == Hop::kCrossed)
    host.limits->OnForwardingEnded(id, 0, events_.now());
  EndLeg(h, id, Outcome::kFailed, Refusal::kNone);
  Advance(h, service);
}

void FakeFleet::Advance(size_t h, size_t service) {
  Host& host = hosts_[h];
  for (const DispatchDecision& it :
       host.dispatchers[service]->Advance(events_.now()))
    Apply(h, service, it);
  ScheduleWake(h, service);
}

void FakeFleet::ScheduleWake(size_t h, size_t service) {
  Host& host = hosts_[h];
  const Instant wake = host.dispatchers[service]->NextWake();
  if (wake >= Instant(kRunMs) || host.wake_ms[service] == wake.ms())
    return;
  host.wake_ms[service] = wake.ms();
  const int life = host.life;
  const int64_t us = std::max(wake.ms() * kUsPerMs, events_.now_us() + 1);
  events_.At(us, [this, h, service, life, ms = wake.ms()] {
    Host& woken = hosts_[h];
    if (!woken.alive || woken.life != life || woken.wake_ms[service] != ms)
      return;
    woken.wake_ms[service] = -1;
    Advance(h, service);
  });
}

void FakeFleet::KillHost(size_t h) {
  Host& host = hosts_[h];
  host.alive = false;
  std::map<uint64_t, Leg> legs;
  legs.swap(host.legs);
  const int64_t us = scenario_.fault == Fault::kHost ? kUsPerMs : kUsPerSecond;
  for (auto& [id, leg] : legs) {
    const Reply reply = std::move(leg.reply);
    events_.After(us, [reply] { reply(Outcome::kBroken, Refusal::kNone); });
  }
}

}  // namespace toucanknot::bench
