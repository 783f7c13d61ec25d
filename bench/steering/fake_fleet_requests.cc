// FakeFleet: how requests pass through callers and entry hosts.

#include <algorithm>
#include <utility>

#include "bench/steering/fake_fleet.h"

namespace toucanknot::bench {
namespace {

constexpr int64_t kUsPerMs = 1'000;
constexpr int64_t kUsPerSecond = 1'000'000;
// The maximum number of attempts of an entry host per request, for errors and
// refusals of other hosts together.
constexpr int kMaxTries = 3;
// The maximum number of entry hosts that a caller tries, and of its retries.
constexpr int kMaxHosts = 4;
constexpr int kMaxRetries = 5;
constexpr int64_t kRetryDelayUs = 200 * kUsPerMs;
// How long it takes to detect that an address does not respond.
constexpr int64_t kConnectTimeoutUs = 200 * kUsPerMs;

size_t Second(int64_t us) {
  return static_cast<size_t>(us / kUsPerSecond);
}

bool IsRetried(AttemptEnd end) {
  return end == AttemptEnd::kFailed || end == AttemptEnd::kNotSent ||
         end == AttemptEnd::kBroken;
}

}  // namespace

void FakeFleet::StartCallerRequest(const Arrival& arrival) {
  events_.ScheduleAt(arrival.at_us, [this, arrival] {
    if (++next_arrival_ < arrivals_.size())
      StartCallerRequest(arrivals_[next_arrival_]);
    auto caller_request = std::make_shared<CallerRequest>();
    caller_request->arrival = arrival;
    caller_request->first_us = events_.now_us();
    ServiceMeasures& m = measures_.services[arrival.service];
    ++m.arrived_in_second[Second(events_.now_us())];
    if (caller_request->first_us >= kWarmMs * kUsPerMs)
      ++m.offered;
    TryCallerRequest(caller_request);
  });
}

bool FakeFleet::PickHost(const CallerRequest& caller_request, size_t* host) {
  std::vector<size_t> list;
  const double share =
      slow_starts_[caller_request.arrival.region].Share(events_.now());
  const bool slow_start = policy_ != Policy::kNaive && share < 1;
  const bool away = slow_start && rng_.Uniform() >= share;
  for (const bool own_region : {!away, away}) {
    for (size_t i = 0; i < hosts_.size(); ++i) {
      const bool own = hosts_[i].region == caller_request.arrival.region;
      const bool tried =
          std::count(caller_request.unreachable_hosts.begin(),
                     caller_request.unreachable_hosts.end(), i) > 0;
      if (believed_live_[i] && !tried && own == own_region)
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

void FakeFleet::TryCallerRequest(
    const std::shared_ptr<CallerRequest>& caller_request) {
  size_t h = 0;
  if (!PickHost(*caller_request, &h) || ++caller_request->tries > kMaxHosts) {
    EndCallerRequest(caller_request, Outcome::kFailed);
    return;
  }
  if (!hosts_[h].alive) {
    caller_request->unreachable_hosts.push_back(h);
    const int64_t us = scenario_.fault == Fault::kHost
                           ? 2 * deployment_.to_client_us
                           : kConnectTimeoutUs;
    events_.ScheduleAfter(
        us, [this, caller_request] { TryCallerRequest(caller_request); });
    return;
  }
  const Traffic& traffic = deployment_.traffic[caller_request->arrival.service];
  Leg leg{.host = h,
          .service = caller_request->arrival.service,
          .work_us = caller_request->arrival.work_us,
          .deadline_us = events_.now_us() + traffic.deadline.ms() * kUsPerMs};
  leg.request = {.service = traffic.service,
                 .request_bytes = traffic.request_bytes};
  leg.reply = [this, caller_request](Outcome outcome, Refusal) {
    if (outcome == Outcome::kBroken)
      TryCallerRequest(caller_request);
    else
      EndCallerRequest(caller_request, outcome);
  };
  uint64_t id = 0;
  StartLeg(h, std::move(leg), &id);
}

void FakeFleet::EndCallerRequest(
    const std::shared_ptr<CallerRequest>& caller_request,
    Outcome outcome) {
  ServiceMeasures& m = measures_.services[caller_request->arrival.service];
  const bool counts = caller_request->first_us >= kWarmMs * kUsPerMs;
  if (outcome == Outcome::kAnswered) {
    if (events_.now_us() >= kWarmMs * kUsPerMs)
      ++m.answered_in_window;
    ++m.answered_in_second[Second(events_.now_us())];
    if (counts) {
      ++m.answered;
      m.latencies_us.push_back(events_.now_us() - caller_request->first_us);
    }
    return;
  }
  if (scenario_.callers_retry && caller_request->retries++ < kMaxRetries) {
    caller_request->tries = 0;
    events_.ScheduleAfter(kRetryDelayUs, [this, caller_request] {
      TryCallerRequest(caller_request);
    });
    return;
  }
  if (counts)
    ++(outcome == Outcome::kRefused ? m.refused : m.failed);
}

void FakeFleet::StartLeg(size_t h, Leg leg, uint64_t* id) {
  Host& host = hosts_[h];
  *id = next_request_id_++;
  leg.request.id = *id;
  leg.request.deadline = Instant(leg.deadline_us / kUsPerMs);
  if (policy_ == Policy::kNaive)
    ++measures_.services[leg.service]
          .requests_in_second[Second(events_.now_us())];
  const int64_t deadline_us = leg.deadline_us;
  const int incarnation = host.incarnation;
  Leg& stored = host.legs.emplace(*id, std::move(leg)).first->second;
  events_.ScheduleAt(deadline_us, [this, h, incarnation, id = *id] {
    if (hosts_[h].alive && hosts_[h].incarnation == incarnation)
      ExpireLeg(h, id);
  });
  Offer(host, stored);
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
      ForwardTo(host, leg, decision);
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
  const int incarnation = host.incarnation;
  const Location from = LocationOf(host);
  const Location to = LocationOf(server->config().zone);
  const auto ended = [this, h, id, attempt, incarnation,
                      decision](AttemptEnd end) {
    if (hosts_[h].alive && hosts_[h].incarnation == incarnation)
      OnAttemptEnded(h, id, attempt, end, decision);
  };
  if (!server->alive() || !Reachable(from, to)) {
    leg.cancel = nullptr;
    events_.ScheduleAfter(kConnectTimeoutUs,
                          [ended] { ended(AttemptEnd::kNotSent); });
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
    Transfer(from, to, 0, [server, number] { server->Cancel(*number); });
  };
  const int64_t work_us = leg.work_us;
  Transfer(from, to, traffic.request_bytes,
           [this, server, number, cancelled, work_us, from, to, ended,
            bytes = traffic.response_bytes] {
             if (*cancelled || !server->alive())
               return;
             *number = server->OnRequest(
                 work_us, [this, from, to, ended, bytes](AttemptEnd end) {
                   Transfer(to, from, bytes, [ended, end] { ended(end); });
                 });
           });
}

void FakeFleet::OnAttemptEnded(size_t h,
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

void FakeFleet::ForwardTo(Host& host,
                          Leg& leg,
                          const DispatchDecision& decision) {
  const size_t h = leg.host;
  const uint64_t id = leg.request.id;
  const int attempt = leg.attempt;
  const int incarnation = host.incarnation;
  size_t p = 0;
  while (hosts_[p].config.id != decision.host)
    ++p;
  const Location from = LocationOf(host);
  const Location to = LocationOf(hosts_[p]);
  const auto ended = [this, h, id, attempt, incarnation, decision](
                         Outcome outcome, Refusal refusal) {
    if (hosts_[h].alive && hosts_[h].incarnation == incarnation)
      OnForwardEnded(h, id, attempt, outcome, refusal, decision);
  };
  if (!hosts_[p].alive || !Reachable(from, to)) {
    leg.cancel = nullptr;
    const int64_t us = scenario_.fault == Fault::kHost
                           ? 2 * deployment_.between_zones_us
                           : kConnectTimeoutUs;
    events_.ScheduleAfter(us,
                          [ended] { ended(Outcome::kBroken, Refusal::kNone); });
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
    Transfer(to, from, outcome == Outcome::kAnswered ? bytes : 100,
             [ended, outcome, refusal] { ended(outcome, refusal); });
  };
  const auto peer_id = std::make_shared<uint64_t>(0);
  leg.cancel = nullptr;
  Transfer(from, to, traffic.request_bytes, [this, p, next, peer_id, ended] {
    if (!hosts_[p].alive) {
      ended(Outcome::kBroken, Refusal::kNone);
      return;
    }
    StartLeg(p, next, peer_id.get());
  });
}

void FakeFleet::OnForwardEnded(size_t h,
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
  const int incarnation = host.incarnation;
  const int64_t us = std::max(wake.ms() * kUsPerMs, events_.now_us() + 1);
  events_.ScheduleAt(us, [this, h, service, incarnation, ms = wake.ms()] {
    Host& woken = hosts_[h];
    if (!woken.alive || woken.incarnation != incarnation ||
        woken.wake_ms[service] != ms)
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
    events_.ScheduleAfter(us,
                          [reply] { reply(Outcome::kBroken, Refusal::kNone); });
  }
}

}  // namespace toucanknot::bench
