#include "tests/health/crash_simulation.h"

#include <algorithm>
#include <string>

namespace toucanknot {

CrashSimulation::CrashSimulation(Options options)
    : options_(options),
      random_(options.seed),
      up_at_(options.servers, 0),
      cut_(options.hosts, false) {
  for (int i = 0; i < options_.hosts; ++i) {
    const auto peers = [this, i](const ServerId& server, Instant since) {
      // Peers report their load with one-way delay.
      if (now_ - kOneWayMs < since.ms() + kOneWayMs)
        return 1;
      int sum = 0;
      for (const Attempt& it : attempts_)
        sum += it.host != i && Name(it.server) == server && !cut_[it.host];
      return sum;
    };
    hosts_.push_back({Quarantine(HostId("h" + std::to_string(i)), {}, peers)});
    hosts_[i].quarantine.set_servers(options_.servers);
  }
}

void CrashSimulation::AdvanceOneMs() {
  ++now_;
  ExchangeNotices();
  ReceiveRequests();
  FinishAttempts();
  for (int i = 0; i < options_.hosts; ++i)
    ServeQueue(i);
  for (Host& it : hosts_) {
    for (const CrashNotice& n : it.quarantine.Snapshot(Now())) {
      if (n.kind == CrashNoticeKind::kQuarantined && n.fingerprint != kPoison)
        wrongly_quarantined_.insert(n.fingerprint);
    }
  }
}

void CrashSimulation::Run(int64_t ms) {
  for (const int64_t end = now_ + ms; now_ < end;)
    AdvanceOneMs();
}

void CrashSimulation::SendPoison(int host, int repeats) {
  hosts_[host].queue.push_back({kPoison, repeats});
}

void CrashSimulation::BreakConnections(int host, int servers) {
  std::vector<Attempt> broken;
  std::erase_if(attempts_, [&](const Attempt& it) {
    const bool hit = it.host == host && it.server < servers;
    if (hit)
      broken.push_back(it);
    return hit;
  });
  for (const Attempt& it : broken)
    Break(it);
}

int CrashSimulation::refusing() {
  int n = 0;
  for (Host& it : hosts_)
    n += it.quarantine.ModeOf(kPoison, Now()) == RunMode::kRefuse;
  return n;
}

size_t CrashSimulation::waiting() const {
  size_t n = 0;
  for (const Host& it : hosts_)
    n += it.queue.size();
  return n;
}

size_t CrashSimulation::suspects() const {
  size_t n = 0;
  for (const Host& it : hosts_)
    n += it.quarantine.records() - it.quarantine.quarantined();
  return n;
}

ServerId CrashSimulation::Name(int server) {
  return ServerId("s" + std::to_string(server));
}

void CrashSimulation::ReceiveRequests() {
  for (int i = 0; i < options_.per_second / 1'000; ++i) {
    const bool unique =
        std::uniform_real_distribution<double>(0, 1)(random_) < options_.unique;
    const uint64_t fingerprint =
        unique ? ++next_unique_
               : static_cast<uint64_t>(1 + Random(options_.popular));
    hosts_[Random(options_.hosts)].queue.push_back({fingerprint});
  }
  while (!repeats_.empty() && repeats_.begin()->first <= now_) {
    const Repeat it = repeats_.begin()->second;
    repeats_.erase(repeats_.begin());
    hosts_[it.host].queue.push_back(it.request);
  }
}

void CrashSimulation::ServeQueue(int host) {
  std::vector<Request> queue = std::move(hosts_[host].queue);
  hosts_[host].queue.clear();
  for (const Request& it : queue) {
    if (!TryStart(host, it))
      hosts_[host].queue.push_back(it);
  }
}

bool CrashSimulation::TryStart(int host, const Request& request) {
  Quarantine& quarantine = hosts_[host].quarantine;
  RunMode mode = quarantine.ModeOf(request.fingerprint, Now());
  if (options_.no_quarantine)
    mode = RunMode::kFree;
  if (options_.run_beside && mode == RunMode::kAlone)
    mode = RunMode::kFree;
  switch (mode) {
    case RunMode::kFree: {
      const int server = PickServer(host);
      if (server >= 0)
        Start(host, server, request);
      return server >= 0;
    }
    case RunMode::kAlone:
      return TryAlone(host, request);
    case RunMode::kWait:
      return false;
    case RunMode::kRefuse:
      return true;
  }
  return true;
}

bool CrashSimulation::TryAlone(int host, const Request& request) {
  Host& self = hosts_[host];
  const uint64_t fingerprint = request.fingerprint;
  ServerId name = self.quarantine.ReservedFor(fingerprint);
  if (name.empty()) {
    const int picked = PickServer(host);
    if (picked < 0)
      return false;
    name = Name(picked);
    self.requested_at[fingerprint] = now_;
  }
  const int server = std::stoi(name.str().substr(1));
  if (self.quarantine.TryRunAlone(fingerprint, name, InFlight(host, server),
                                  Now())) {
    Start(host, server, request);
    return true;
  }
  if (now_ - self.requested_at[fingerprint] > 1'000)
    self.quarantine.GiveUp(fingerprint, Now());
  return false;
}

void CrashSimulation::Start(int host, int server, const Request& request) {
  hosts_[host].quarantine.OnSent(request.fingerprint, Name(server), Now());
  const bool crash = request.fingerprint == kPoison;
  attempts_.push_back(
      {.request = request,
       .host = host,
       .server = server,
       .end = now_ + (crash ? kCrashAfterMs : 1 + Random(2 * kServiceMs)),
       .crash = crash});
}

void CrashSimulation::FinishAttempts() {
  std::vector<Attempt> ended;
  std::erase_if(attempts_, [&](const Attempt& it) {
    if (it.end <= now_)
      ended.push_back(it);
    return it.end <= now_;
  });
  for (const Attempt& it : ended) {
    if (it.crash && now_ < up_at_[it.server]) {
      // Another copy of the request has already crashed the server.
      Break(it);
      continue;
    }
    if (it.crash) {
      ++crashed_;
      attempts_.push_back(it);
      Crash(it.server);
      continue;
    }
    ++answered_;
    hosts_[it.host].quarantine.OnEnded(it.request.fingerprint, Name(it.server),
                                       true, Now());
  }
}

void CrashSimulation::Crash(int server) {
  up_at_[server] = now_ + kRestartMs;
  std::vector<Attempt> broken;
  std::erase_if(attempts_, [&](const Attempt& it) {
    if (it.server == server)
      broken.push_back(it);
    return it.server == server;
  });
  std::shuffle(broken.begin(), broken.end(), random_);
  for (const Attempt& it : broken)
    Break(it);
}

void CrashSimulation::Break(const Attempt& attempt) {
  hosts_[attempt.host].quarantine.OnBroken(attempt.request.fingerprint,
                                           Name(attempt.server), Now());
  Request request = attempt.request;
  if (request.fingerprint == kPoison && request.repeats-- <= 0)
    return;
  // The caller gets its error once the peers have the notice, and repeats the
  // request at any host.
  repeats_.emplace(now_ + Quarantine::kNoticeAckTimeout.ms(),
                   Repeat{Random(options_.hosts), request});
}

void CrashSimulation::ExchangeNotices() {
  for (int i = 0; i < options_.hosts; ++i) {
    for (const CrashNotice& n : hosts_[i].quarantine.TakeNotices()) {
      for (int to = 0; to < options_.hosts; ++to) {
        if (to != i && !cut_[i] && !cut_[to])
          notices_in_transit_.emplace(now_ + kOneWayMs, NoticeInTransit{to, n});
      }
    }
  }
  while (!notices_in_transit_.empty() &&
         notices_in_transit_.begin()->first <= now_) {
    const NoticeInTransit it = notices_in_transit_.begin()->second;
    notices_in_transit_.erase(notices_in_transit_.begin());
    hosts_[it.to].quarantine.OnNotice(it.notice, Now());
  }
}

int CrashSimulation::InFlight(int host, int server) const {
  return static_cast<int>(
      std::count_if(attempts_.begin(), attempts_.end(), [&](const Attempt& it) {
        return it.host == host && it.server == server;
      }));
}

int CrashSimulation::PickServer(int host) {
  const Quarantine& quarantine = hosts_[host].quarantine;
  std::vector<int> usable;
  for (int i = 0; i < options_.servers; ++i) {
    if (now_ >= up_at_[i] && !quarantine.IsReserved(Name(i), Now()))
      usable.push_back(i);
  }
  return usable.empty() ? -1 : usable[Random(static_cast<int>(usable.size()))];
}

}  // namespace toucanknot
