// toucanknot-bench limits: measures the use of a cap that several hosts share
// while demand shifts and hosts fail. Compares static shares, loans and grants,
// and loans with votes, relative to one global pool with perfect knowledge.

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "bench/registry.h"
#include "include/limits/budget_holder.h"
#include "include/limits/host_budget.h"

namespace toucanknot::bench {
namespace {

constexpr int64_t kStepMs = 10;
constexpr int64_t kRunMs = 120'000;
constexpr int64_t kOneWayMs = 20;
constexpr int64_t kFaultAtMs = 40'000;
constexpr int64_t kFaultEndsMs = 80'000;
// How long after the loss of a holder another host acquires the lease.
constexpr int64_t kTakeOverMs = 5'000;
constexpr int64_t kHotSpotMs = 10'000;
constexpr int kUsageExit = 2;

enum class Fault { kNone, kHolderLost, kHostLost, kHostRestarts, kHostCut };

struct Scenario {
  const char* name;
  // Demand of all hosts together as a share of the cap.
  double load;
  // The share of the demand that goes to one host, which changes every
  // kHotSpotMs.
  double hot;
  Fault fault;
};

constexpr Scenario kScenarios[] = {
    {"even-60", 0.6, 0, Fault::kNone},
    {"even-90", 0.9, 0, Fault::kNone},
    {"hot-spot-60", 0.6, 0.5, Fault::kNone},
    {"hot-spot-90", 0.9, 0.5, Fault::kNone},
    {"hot-spot-120", 1.2, 0.5, Fault::kNone},
    {"holder-lost-90", 0.9, 0.3, Fault::kHolderLost},
    {"host-lost-60", 0.6, 0.3, Fault::kHostLost},
    {"host-lost-90", 0.9, 0.3, Fault::kHostLost},
    {"host-restarts-90", 0.9, 0.3, Fault::kHostRestarts},
    {"host-cut-off-90", 0.9, 0.3, Fault::kHostCut},
};

struct SharedCap {
  const char* name;
  int64_t total;
  int hosts;
};

// The result of one method of dividing the cap.
struct Outcome {
  double served = 0;
  double wanted = 0;
  // The longest time for which a host got less than it wanted while the cap was
  // not used up.
  int64_t longest_short_ms = 0;
  int64_t exceeded = 0;
};

// The demand of each host over time; the same for all methods of dividing the
// cap.
class Demand {
 public:
  Demand(const SharedCap& cap, const Scenario& scenario, uint64_t seed)
      : cap_(cap), scenario_(scenario), random_(seed) {}

  // The hosts' demand at `ms`, which must increase with each call. Hosts in
  // `dead` get none; their callers go to the others.
  std::vector<int64_t> DemandsAt(int64_t ms, const std::vector<bool>& dead) {
    if (ms % kHotSpotMs == 0)
      hot_host_ = static_cast<int>(random_() % cap_.hosts);
    const auto alive = std::count(dead.begin(), dead.end(), false);
    const double all =
        scenario_.load * static_cast<double>(cap_.total) * Noise();
    const double even = all * (1 - scenario_.hot) / static_cast<double>(alive);
    int hot = hot_host_;
    while (dead[hot])
      hot = (hot + 1) % cap_.hosts;
    std::vector<int64_t> out(cap_.hosts, 0);
    for (int i = 0; i < cap_.hosts; ++i) {
      if (!dead[i])
        out[i] =
            static_cast<int64_t>(even + (i == hot ? all * scenario_.hot : 0));
    }
    return out;
  }

 private:
  double Noise() {
    return std::uniform_real_distribution<double>(0.95, 1.05)(random_);
  }

  SharedCap cap_;
  Scenario scenario_;
  std::mt19937_64 random_;
  int hot_host_ = 0;
};

// Hosts with the production budgets, connected by a network with a fixed delay.
class Fleet {
 public:
  Fleet(const SharedCap& shared, bool voting)
      : cap_{LinkCap(RegionId("a"), RegionId("b")), shared.total} {
    for (int i = 0; i < shared.hosts; ++i)
      cap_.members.emplace_back("h" + std::to_string(i));
    times_.voting = voting;
    budgets_.resize(shared.hosts);
    cut_.resize(shared.hosts, false);
    for (int i = 0; i < shared.hosts; ++i) {
      Start(i, 0);
      budgets_[i]->EndHold(Instant(0));
    }
    TakeLease(0);
  }

  void Start(int host, int64_t ms) {
    budgets_[host] = std::make_unique<HostBudget>(
        cap_.members[host], ++incarnation_, times_, Instant(ms));
    budgets_[host]->SetCaps({cap_}, Duration(0), Instant(ms));
  }
  void TakeLease(int host) {
    holder_host_ = host;
    holder_ = std::make_unique<BudgetHolder>(
        HolderId{++epoch_, cap_.members[host], incarnation_}, times_);
  }
  void DropLease() { holder_.reset(); }
  void Cut(int host, bool cut) { cut_[host] = cut; }

  void Step(int64_t ms, const std::vector<bool>& dead) {
    const Instant now(ms);
    for (; !wire_.empty() && wire_.begin()->first <= ms;
         wire_.erase(wire_.begin()))
      Deliver(wire_.begin()->second, ms, dead);
    for (int i = 0; i < static_cast<int>(budgets_.size()); ++i) {
      if (dead[i] || cut_[i])
        continue;
      if (times_.voting && now >= budgets_[i]->votes().NextRequestTime())
        wire_.emplace(
            ms + kOneWayMs,
            Message{.host = i,
                    .vote_request = budgets_[i]->votes().MakeRequest(now)});
      if (now < budgets_[i]->NextRequestTime(now))
        continue;
      ++requests_;
      wire_.emplace(
          ms + kOneWayMs,
          Message{.host = i, .request = budgets_[i]->MakeRequest(now)});
    }
  }
  int64_t Limit(int host, int64_t ms) const {
    return budgets_[host]->Limit(cap_.id, Instant(ms));
  }
  void SetUse(int host, int64_t used, int64_t wanted) {
    budgets_[host]->SetUse(cap_.id, used, wanted);
  }
  int64_t requests() const { return requests_; }

 private:
  struct Message {
    int host = 0;
    std::optional<BudgetRequest> request;
    std::optional<BudgetReply> reply;
    std::optional<VoteRequest> vote_request;
    std::optional<VoteReply> vote;
  };

  void Deliver(const Message& message,
               int64_t ms,
               const std::vector<bool>& dead) {
    if (cut_[message.host] || dead[message.host])
      return;
    if (message.reply) {
      budgets_[message.host]->OnReply(*message.reply);
      return;
    }
    if (message.vote) {
      budgets_[message.host]->votes().OnReply(*message.vote);
      return;
    }
    if (message.vote_request) {
      CollectVotes(*message.vote_request, message.host, ms, dead);
      return;
    }
    if (!holder_ || cut_[holder_host_])
      return;
    wire_.emplace(ms + kOneWayMs, Message{.host = message.host,
                                          .reply = holder_->HandleRequest(
                                              *message.request, Instant(ms))});
  }

  void CollectVotes(const VoteRequest& request,
                    int host,
                    int64_t ms,
                    const std::vector<bool>& dead) {
    for (int i = 0; i < static_cast<int>(budgets_.size()); ++i) {
      if (i == host || dead[i] || cut_[i])
        continue;
      const auto vote =
          budgets_[i]->votes().HandleRequest(request, Instant(ms));
      if (vote)
        wire_.emplace(ms + kOneWayMs, Message{.host = host, .vote = vote});
    }
  }

  Cap cap_;
  BudgetTimes times_;
  std::vector<std::unique_ptr<HostBudget>> budgets_;
  std::vector<bool> cut_;
  std::unique_ptr<BudgetHolder> holder_;
  int holder_host_ = 0;
  uint64_t epoch_ = 0;
  int64_t requests_ = 0;
  Incarnation incarnation_ = 0;
  std::multimap<int64_t, Message> wire_;
};

// Adds one step of one method of dividing the cap to its outcome.
void AddStep(const std::vector<int64_t>& wanted,
             const std::vector<int64_t>& limits,
             const SharedCap& cap,
             std::vector<int64_t>* short_ms,
             Outcome* outcome) {
  int64_t all = 0;
  int64_t used = 0;
  int64_t limit = 0;
  for (size_t i = 0; i < wanted.size(); ++i) {
    all += wanted[i];
    used += std::min(wanted[i], limits[i]);
    limit += limits[i];
  }
  for (size_t i = 0; i < wanted.size(); ++i) {
    const bool is_short = limits[i] < wanted[i] && used < cap.total;
    (*short_ms)[i] = is_short ? (*short_ms)[i] + kStepMs : 0;
    outcome->longest_short_ms =
        std::max(outcome->longest_short_ms, (*short_ms)[i]);
  }
  outcome->served += static_cast<double>(used);
  outcome->wanted += static_cast<double>(std::min(all, cap.total));
  outcome->exceeded += limit > cap.total ? 1 : 0;
}

void ApplyFault(const Scenario& scenario,
                int64_t ms,
                Fleet* fleet,
                std::vector<bool>* dead) {
  // The last host fails; the first holds the lease.
  const auto last = static_cast<int>(dead->size()) - 1;
  const bool begins = ms == kFaultAtMs;
  const bool ends = ms == kFaultEndsMs;
  switch (scenario.fault) {
    case Fault::kNone:
      break;
    case Fault::kHolderLost:
      if (begins) {
        fleet->DropLease();
        (*dead)[0] = true;
      }
      if (ms == kFaultAtMs + kTakeOverMs)
        fleet->TakeLease(1);
      break;
    case Fault::kHostLost:
      if (begins)
        (*dead)[last] = true;
      break;
    case Fault::kHostRestarts:
      if (begins)
        fleet->Start(last, ms);
      break;
    case Fault::kHostCut:
      if (begins || ends)
        fleet->Cut(last, begins);
      break;
  }
}

struct Row {
  Outcome fixed;
  Outcome lent;
  Outcome voted;
  int64_t requests = 0;
};

// Runs the demand against the limits of the fleet's budgets.
Outcome RunFleet(const SharedCap& cap,
                 const Scenario& scenario,
                 uint64_t seed,
                 bool voting,
                 int64_t* requests) {
  Demand demand(cap, scenario, seed);
  Fleet fleet(cap, voting);
  std::vector<bool> dead(cap.hosts, false);
  std::vector<int64_t> short_ms(cap.hosts, 0);
  std::vector<int64_t> limits(cap.hosts, 0);
  Outcome outcome;
  for (int64_t ms = 0; ms < kRunMs; ms += kStepMs) {
    ApplyFault(scenario, ms, &fleet, &dead);
    const std::vector<int64_t> wanted = demand.DemandsAt(ms, dead);
    fleet.Step(ms, dead);
    for (int i = 0; i < cap.hosts; ++i) {
      limits[i] = dead[i] ? 0 : fleet.Limit(i, ms);
      fleet.SetUse(i, std::min(limits[i], wanted[i]), wanted[i]);
    }
    AddStep(wanted, limits, cap, &short_ms, &outcome);
  }
  *requests = fleet.requests();
  return outcome;
}

Outcome RunFixed(const SharedCap& cap,
                 const Scenario& scenario,
                 uint64_t seed) {
  Demand demand(cap, scenario, seed);
  Fleet unused(cap, false);
  std::vector<bool> dead(cap.hosts, false);
  std::vector<int64_t> short_ms(cap.hosts, 0);
  Outcome outcome;
  for (int64_t ms = 0; ms < kRunMs; ms += kStepMs) {
    ApplyFault(scenario, ms, &unused, &dead);
    std::vector<int64_t> limits(cap.hosts, cap.total / cap.hosts);
    for (int i = 0; i < cap.hosts; ++i)
      limits[i] = dead[i] ? 0 : limits[i];
    AddStep(demand.DemandsAt(ms, dead), limits, cap, &short_ms, &outcome);
  }
  return outcome;
}

Row Measure(const SharedCap& cap, const Scenario& scenario, uint64_t seed) {
  Row row;
  int64_t unused = 0;
  row.fixed = RunFixed(cap, scenario, seed);
  row.lent = RunFleet(cap, scenario, seed, false, &row.requests);
  row.voted = RunFleet(cap, scenario, seed, true, &unused);
  return row;
}

double Percent(const Outcome& outcome) {
  return 100 * outcome.served / outcome.wanted;
}

void PrintRow(const SharedCap& cap, const Scenario& scenario, const Row& row) {
  const double requests_per_s = static_cast<double>(row.requests) * 1'000 /
                                static_cast<double>(kRunMs * cap.hosts);
  const long long exceeded = row.lent.exceeded + row.voted.exceeded;
  const auto ms = [](const Outcome& outcome) -> long long {
    return outcome.longest_short_ms;
  };
  std::printf("%-13s %-17s %9.2f %9.2f %9.2f %9lld %9lld %9lld %6lld %6.1f\n",
              cap.name, scenario.name, Percent(row.fixed), Percent(row.lent),
              Percent(row.voted), ms(row.fixed), ms(row.lent), ms(row.voted),
              exceeded, requests_per_s);
}

int RunLimits(const std::vector<std::string>& args) {
  uint64_t seed = 1;
  std::string deployment = "quetzal";
  for (size_t i = 0; i + 1 < args.size(); i += 2) {
    if (args[i] == "--seed")
      seed = std::strtoull(args[i + 1].c_str(), nullptr, 10);
    else if (args[i] == "--deployment")
      deployment = args[i + 1];
    else
      return kUsageExit;
  }
  // One region's slots of the tracker or orders service, and a link.
  const bool haufiku = deployment == "haufiku";
  const SharedCap caps[] = {
      {"region-slots", haufiku ? 30 : 28, 3},
      {"link-kbit/s", haufiku ? 3'600'000 : 270'000, 5},
  };
  std::printf(
      "%s, seed %llu: share served of what one global pool would serve; "
      "longest shortage; requests per host\n",
      deployment.c_str(), static_cast<unsigned long long>(seed));
  std::printf("%-13s %-17s %9s %9s %9s %9s %9s %9s %6s %6s\n", "cap",
              "scenario", "static %", "loans %", "votes %", "static ms",
              "loans ms", "votes ms", "passed", "asks/s");
  for (const SharedCap& cap : caps) {
    for (const Scenario& it : kScenarios)
      PrintRow(cap, it, Measure(cap, it, seed));
  }
  return 0;
}

const Registration kLimits{
    {"limits",
     "use of shared caps; options: --deployment haufiku|quetzal --seed N",
     RunLimits}};

}  // namespace
}  // namespace toucanknot::bench
