// Requests that crash servers, over the hosts of a fleet that tell each other
// late, lose reports, and start again.

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

#include "include/health/crash_tracker.h"

namespace toucanknot {
namespace {

constexpr Duration kStep{100};
constexpr Duration kRun{60'000};
// A crash is known at all hosts by then.
constexpr Duration kSettled{3'000};

// A fleet that is sent one request again and again, at any host.
class Fleet {
 public:
  struct Options {
    int hosts = 7;
    // Steps from a report to the next.
    int report_steps = 6;
    double lost_reports = 0;
    // Copies of the request in each step.
    double copies = 1;
    // Whether its runs crash servers; otherwise they complete.
    bool crashes = true;
    // Whether one host after the other starts again with an empty memory.
    bool restarts = false;
    // Servers lost in each step to other causes, under the same request.
    double other_crashes = 0;
  };

  explicit Fleet(Options options)
      : options_(options),
        trackers_(options.hosts),
        started_at_(options.hosts) {}

  void Run() {
    for (int step = 0; step * kStep.ms() < kRun.ms(); ++step) {
      now_ = Instant(1'000'000 + step * kStep.ms());
      if (options_.restarts && step % 50 == 49) {
        const size_t host = (step / 50) % trackers_.size();
        trackers_[host] = CrashTracker();
        started_at_[host] = now_;
      }
      std::poisson_distribution<int> copies(options_.copies);
      for (int n = copies(random_); n > 0; --n)
        Send(random_() % trackers_.size());
      if (step % options_.report_steps == 0 || urgent_)
        Exchange();
    }
  }

  int runs() const { return static_cast<int>(runs_.size()); }
  int refused() const { return refused_; }
  // Runs later than kSettled after the third crash, sent by hosts that had been
  // up for as long.
  int late_runs() const {
    if (runs_.size() < 3)
      return 0;
    return static_cast<int>(
        std::count_if(runs_.begin(), runs_.end(), [&](const Sent& it) {
          return it.at - runs_[2].at > kSettled &&
                 it.at - it.started_at > kSettled;
        }));
  }

 private:
  static constexpr uint64_t kRequest = 77;

  struct Sent {
    Instant at;
    Instant started_at;
  };

  void Send(size_t host) {
    CrashTracker& tracker = trackers_[host];
    if (tracker.IsCrasher(kRequest, now_)) {
      ++refused_;
      return;
    }
    runs_.push_back({now_, started_at_[host]});
    const bool other =
        std::bernoulli_distribution(options_.other_crashes)(random_);
    if (options_.crashes || other)
      tracker.OnBroken(kRequest, ++server_, now_);
    else
      tracker.OnCompleted(kRequest, now_);
    // A notice goes out in the same step.
    urgent_ = tracker.TakeNews() || urgent_;
  }

  void Exchange() {
    urgent_ = false;
    std::bernoulli_distribution lost(options_.lost_reports);
    for (CrashTracker& from : trackers_) {
      const auto completed = from.OwnCompletedSince(now_ - Duration(10'000));
      const auto crashes = from.OwnCrashesSince(now_ - Duration(10'000));
      const auto refused = from.NextRefused(4, now_);
      for (CrashTracker& to : trackers_) {
        if (&to == &from || lost(random_))
          continue;
        for (const auto& it : completed)
          to.RecordCompleted(it);
        for (const auto& it : crashes)
          to.RecordCrash(it, now_);
        for (const auto& it : refused)
          to.RecordRefused(it, now_);
      }
    }
  }

  const Options options_;
  std::vector<CrashTracker> trackers_;
  std::vector<Instant> started_at_;
  std::mt19937_64 random_{31};
  Instant now_;
  uint32_t server_ = 0;
  std::vector<Sent> runs_;
  int refused_ = 0;
  bool urgent_ = false;
};

}  // namespace

TEST_CASE("a crashing request reaches no server once its crashes are known") {
  Fleet::Options options;
  options.hosts = GENERATE(1, 7, 60, 300);
  options.lost_reports = GENERATE(0.0, 0.3);
  options.copies = GENERATE(0.2, 2.0);
  options.restarts = GENERATE(false, true);
  Fleet fleet(options);
  fleet.Run();
  INFO(options.hosts << " hosts, " << options.copies << " copies a step");
  CHECK(fleet.refused() > 0);
  // A single host that starts again has nobody to learn from.
  if (options.hosts > 1 || !options.restarts)
    CHECK(fleet.late_runs() == 0);
}

TEST_CASE("a request that completes is not refused for crashes beside it") {
  Fleet::Options options;
  options.crashes = false;
  options.hosts = GENERATE(7, 60);
  options.copies = GENERATE(2.0, 10.0);
  options.lost_reports = 0.1;
  options.other_crashes = 0.03;
  Fleet fleet(options);
  fleet.Run();
  INFO(fleet.refused() << " refused, " << fleet.runs() << " runs");
  CHECK(fleet.refused() == 0);
}

TEST_CASE("a host that starts later learns which requests are refused") {
  CrashTracker old;
  for (uint64_t it = 1; it <= 20; ++it) {
    old.OnBroken(it, 100 + static_cast<uint32_t>(it), Instant(1'000'000));
    old.OnBroken(it, 200 + static_cast<uint32_t>(it), Instant(1'000'000));
    old.OnBroken(it, 300 + static_cast<uint32_t>(it), Instant(1'000'000));
  }
  const Instant now(1'100'000);
  CrashTracker started;
  for (int i = 0; i < 5; ++i) {
    const auto refused = old.NextRefused(4, now);
    CHECK(refused.size() == 4);
    for (const auto& it : refused)
      started.RecordRefused(it, now);
  }
  for (uint64_t it = 1; it <= 20; ++it) {
    CHECK(started.IsCrasher(it, now));
    CHECK(started.RefusedFor(it, now) == old.RefusedFor(it, now));
  }
  // It is told of a completion, and late of the refusal once more.
  started.RecordCompleted({1, now});
  started.RecordRefused({1, Instant(1'000'000)}, now);
  CHECK_FALSE(started.IsCrasher(1, now));
  started.OnCompleted(2, now);
  started.RecordRefused({2, Instant(1'000'000)}, now);
  CHECK_FALSE(started.IsCrasher(2, now));
}

}  // namespace toucanknot
