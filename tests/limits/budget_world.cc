#include "tests/limits/budget_world.h"

#include <algorithm>
#include <string>

namespace toucanknot {

BudgetWorld::BudgetWorld(Options options)
    : options_(options),
      random_(options.seed),
      cap_(RegionSlotsCap(RegionId("khomas"), ServiceId("tracker"))) {
  Cap cap{.id = cap_, .total = options_.cap};
  hosts_.resize(options_.hosts);
  for (int i = 0; i < options_.hosts; ++i) {
    hosts_[i].id = HostId("h" + std::to_string(i));
    cap.members.push_back(hosts_[i].id);
  }
  caps_ = {cap};
  for (Host& it : hosts_) {
    it.origin = Pick(0, 1'000'000);
    it.ppm = Pick(-options_.clock_ppm, options_.clock_ppm);
    StartIncarnation(&it);
    // No work runs at the start.
    it.budget->EndHold(Local(it));
  }
}

void BudgetWorld::Step() {
  now_ += kStepMs;
  InjectFaults();
  while (!wire_.empty() && wire_.begin()->first <= now_) {
    const Message message = std::move(wire_.begin()->second);
    wire_.erase(wire_.begin());
    Deliver(message);
  }
  for (Host& it : hosts_) {
    std::erase_if(it.work, [&](const Work& w) { return w.end <= now_; });
    if (now_ < it.paused_until)
      continue;
    UpdateWork(&it);
    if (options_.host_times.voting)
      RequestVotes(static_cast<int>(&it - hosts_.data()));
    if (Local(it) < it.budget->NextRequestTime(Local(it)))
      continue;
    const int from = static_cast<int>(&it - hosts_.data());
    Send({.from = from,
          .to = it.believed_holder,
          .request = it.budget->MakeRequest(Local(it))});
  }
  max_limits_ = std::max(max_limits_, Limits());
  max_running_ = std::max(max_running_, Running());
}

void BudgetWorld::Run(int64_t ms) {
  for (const int64_t end = now_ + ms; now_ < end;)
    Step();
}

int64_t BudgetWorld::Limits() const {
  int64_t sum = 0;
  for (const Host& it : hosts_)
    sum += it.budget->Limit(cap_, Local(it));
  return sum;
}

int64_t BudgetWorld::Running() const {
  int64_t sum = 0;
  for (const Host& it : hosts_)
    sum += static_cast<int64_t>(it.work.size());
  return sum;
}

int64_t BudgetWorld::LimitOf(int i) const {
  return hosts_[i].budget->Limit(cap_, Local(hosts_[i]));
}

int64_t BudgetWorld::RunningAt(int i) const {
  return InUse(hosts_[i]);
}

void BudgetWorld::Restart(int i) {
  Host& host = hosts_[i];
  host.holder.reset();
  host.paused_until = 0;
  StartIncarnation(&host);
  if (options_.skip_hold)
    host.budget->EndHold(Local(host));
}

void BudgetWorld::MakeHolder(int i) {
  Host& host = hosts_[i];
  const HolderId id{++epoch_, host.id, host.incarnation};
  host.holder = std::make_unique<BudgetHolder>(id, options_.holder_times);
  for (Host& it : hosts_) {
    // Some hosts learn of the holder at once, the others by replies or never.
    if (it.side == host.side && (options_.loss <= 0 || Pick(0, 1) == 0)) {
      it.believed_holder = i;
      it.budget->OnHolder(id);
    }
  }
}

Instant BudgetWorld::Local(const Host& host) const {
  return Instant(host.origin + now_ + now_ * host.ppm / 1'000'000);
}

bool BudgetWorld::Chance(double per_second) {
  const double p = per_second * kStepMs / 1000;
  return std::uniform_real_distribution<double>(0, 1)(random_) < p;
}

void BudgetWorld::StartIncarnation(Host* host) {
  host->incarnation = ++incarnations_;
  BudgetTimes times = options_.host_times;
  if (options_.first_needs_no_votes && host == hosts_.data())
    times.voting = false;
  host->budget = std::make_unique<HostBudget>(host->id, host->incarnation,
                                              times, Local(*host));
  host->budget->SetCaps(caps_, Duration(0), Local(*host));
}

void BudgetWorld::InjectFaults() {
  const int n = options_.hosts;
  if (Chance(options_.new_holder))
    MakeHolder(static_cast<int>(Pick(0, n - 1)));
  if (Chance(options_.new_holder))
    hosts_[Pick(0, n - 1)].believed_holder = static_cast<int>(Pick(0, n - 1));
  if (Chance(options_.pause)) {
    const int64_t length_ms = Pick(10, 30'000);
    Pause(static_cast<int>(Pick(0, n - 1)), length_ms);
  }
  if (Chance(options_.restart))
    Restart(static_cast<int>(Pick(0, n - 1)));
  if (Chance(options_.partition)) {
    for (Host& it : hosts_)
      it.side = static_cast<int>(Pick(0, 1));
  }
  if (Chance(options_.partition)) {
    for (Host& it : hosts_)
      it.side = 0;
  }
  if (random_demand_ && Chance(2)) {
    const bool active = Pick(0, 1) == 1;
    const int64_t demand = Pick(0, options_.cap);
    hosts_[Pick(0, n - 1)].demand = active ? demand : 0;
  }
}

void BudgetWorld::UpdateWork(Host* host) {
  const int64_t limit = host->budget->Limit(cap_, Local(*host));
  int64_t in_use = InUse(*host);
  for (; in_use < std::min(limit, host->demand); ++in_use) {
    // Mostly short work, sometimes up to the maximum duration.
    const int64_t longest = std::min<int64_t>(options_.longest_work_ms,
                                              Pick(0, 9) == 0 ? 60'000 : 200);
    host->work.push_back({now_ + Pick(1, longest), host->incarnation});
  }
  host->budget->SetUse(cap_, in_use, host->demand);
}

void BudgetWorld::RequestVotes(int i) {
  ShareVotes& votes = hosts_[i].budget->votes();
  const Instant now = Local(hosts_[i]);
  if (now < votes.NextRequestTime())
    return;
  const VoteRequest request = votes.MakeRequest(now);
  for (int to = 0; to < options_.hosts; ++to) {
    if (to != i)
      Send({.from = i, .to = to, .vote_request = request});
  }
}

void BudgetWorld::Deliver(const Message& message) {
  Host& to = hosts_[message.to];
  if (now_ < to.paused_until) {
    wire_.emplace(to.paused_until, message);
    return;
  }
  if (message.reply) {
    if (to.budget->OnReply(*message.reply))
      to.believed_holder = message.from;
    return;
  }
  if (message.vote) {
    to.budget->votes().OnReply(*message.vote);
    return;
  }
  if (message.vote_request) {
    const auto vote =
        to.budget->votes().HandleRequest(*message.vote_request, Local(to));
    if (vote)
      Send({.from = message.to, .to = message.from, .vote = vote});
    return;
  }
  if (!to.holder)
    return;
  Send({.from = message.to,
        .to = message.from,
        .reply = to.holder->HandleRequest(*message.request, Local(to))});
}

void BudgetWorld::Send(const Message& message) {
  if (hosts_[message.from].side != hosts_[message.to].side)
    return;
  const auto happens = [&](double p) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < p;
  };
  if (happens(options_.loss))
    return;
  const int copies = happens(options_.duplicate) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const int64_t delay =
        happens(options_.late) ? Pick(1, options_.max_late_ms) : Pick(1, 25);
    wire_.emplace(now_ + delay, message);
  }
}

int64_t BudgetWorld::InUse(const Host& host) const {
  return std::count_if(host.work.begin(), host.work.end(), [&](const Work& w) {
    return w.incarnation == host.incarnation;
  });
}

int64_t BudgetWorld::Pick(int64_t low, int64_t high) {
  return std::uniform_int_distribution<int64_t>(low, high)(random_);
}

}  // namespace toucanknot
