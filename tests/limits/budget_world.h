#ifndef TESTS_LIMITS_BUDGET_WORLD_H_
#define TESTS_LIMITS_BUDGET_WORLD_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "include/limits/budget_holder.h"
#include "include/limits/host_budget.h"

namespace toucanknot {

// Simulates hosts, holders and an unreliable network in steps of true time.
// Every host has its own clock with its own origin and rate. Any number of
// hosts may be holders at the same time: safety must not depend on the lease.
class BudgetWorld {
 public:
  struct Options {
    uint64_t seed = 1;
    int hosts = 7;
    int64_t cap = 86;
    // The durations that hosts and holders use; they differ in broken variants.
    BudgetTimes host_times;
    BudgetTimes holder_times;
    int64_t clock_ppm = 1'000;
    int64_t longest_work_ms = 10'000;
    // Probabilities per message, and the maximum delay of a late one.
    double loss = 0;
    double duplicate = 0;
    double late = 0;
    int64_t max_late_ms = 20'000;
    // Probabilities per second.
    double new_holder = 0;
    double pause = 0;
    double restart = 0;
    double partition = 0;
    // Broken variant: restarted hosts use their share at once.
    bool skip_hold = false;
    // Broken variant: the first host uses its share without votes.
    bool first_needs_no_votes = false;
  };

  explicit BudgetWorld(Options options);

  // Advances by one step of kStepMs.
  void Step();
  void Run(int64_t ms);

  // The sum of all limits, and of all running work; current and maximum values.
  int64_t Limits() const;
  int64_t Running() const;
  int64_t max_limits() const { return max_limits_; }
  int64_t max_running() const { return max_running_; }

  // The units that host `i` wants to use.
  void SetDemand(int i, int64_t demand) { hosts_[i].demand = demand; }
  void set_random_demand(bool on) { random_demand_ = on; }
  int64_t LimitOf(int i) const;
  int64_t RunningAt(int i) const;
  void Restart(int i);
  void Pause(int i, int64_t ms) { hosts_[i].paused_until = now_ + ms; }
  void MakeHolder(int i);
  // Partitions host `i` from the others, or ends that.
  void Cut(int i, bool cut) { hosts_[i].side = cut ? 1 + i : 0; }
  // Partitions these hosts from the others, but not from each other.
  void CutTogether(const std::vector<int>& hosts) {
    for (const int it : hosts)
      hosts_[it].side = -1;
  }
  int64_t now() const { return now_; }
  const HostBudget& budget(int i) const { return *hosts_[i].budget; }

  static constexpr int64_t kStepMs = 10;

 private:
  struct Work {
    int64_t end = 0;
    uint64_t incarnation = 0;
  };
  struct Host {
    HostId id;
    uint64_t incarnation = 1;
    int64_t origin = 0;
    int64_t ppm = 0;
    int64_t paused_until = 0;
    int side = 0;
    int64_t demand = 0;
    // The host that it considers the holder.
    int believed_holder = 0;
    std::unique_ptr<HostBudget> budget;
    std::unique_ptr<BudgetHolder> holder;
    std::vector<Work> work;
  };
  struct Message {
    int from = 0;
    int to = 0;
    std::optional<BudgetRequest> request;
    std::optional<BudgetReply> reply;
    std::optional<VoteRequest> vote_request;
    std::optional<VoteReply> vote;
  };

  Instant Local(const Host& host) const;
  bool Chance(double per_second);
  void StartIncarnation(Host* host);
  void InjectFaults();
  void UpdateWork(Host* host);
  void RequestVotes(int i);
  void Deliver(const Message& message);
  void Send(const Message& message);
  int64_t InUse(const Host& host) const;
  int64_t Pick(int64_t low, int64_t high);

  Options options_;
  std::mt19937_64 random_;
  CapId cap_;
  std::vector<Cap> caps_;
  std::vector<Host> hosts_;
  std::multimap<int64_t, Message> wire_;
  uint64_t epoch_ = 0;
  uint64_t incarnations_ = 0;
  int64_t now_ = 0;
  int64_t max_limits_ = 0;
  int64_t max_running_ = 0;
  bool random_demand_ = true;
};

}  // namespace toucanknot

#endif  // TESTS_LIMITS_BUDGET_WORLD_H_
