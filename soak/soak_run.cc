#include "soak/soak_run.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <memory>

#include "platform/wire_decoder.h"
#include "soak/fault_player.h"
#include "soak/soak_callers.h"
#include "src/http/one_shot.h"

namespace toucanknot::soak {
namespace {

namespace asio = boost::asio;

// From the start of the processes to the first fault.
constexpr Duration kWarmUp{4'000};
// Time after the last fault until the fleet must serve normally again.
constexpr Duration kRecover{15'000};
// How long it is then measured, and the share of requests that it must serve.
constexpr Duration kMeasured{5'000};
constexpr double kMustServe = 0.95;
// Time for requests of callers and runs of servers in progress to end.
constexpr Duration kLastAnswers{4'000};
constexpr Duration kPoll{20};
// The retry budget, both in the hosts' settings and in the check.
constexpr InvariantChecker::Budget kBudget;

double PartOf(const SoakCallers::Share& share) {
  return share.ended > 0 ? static_cast<double>(share.served) / share.ended : 0;
}

// All objects of one run, on one loop.
class Run {
 public:
  Run(const SoakOptions& options, WorkerPool& workers)
      : options_(options),
        loop_(workers.loop(0)),
        names_(platform::PlatformWire()),
        ledger_(kBudget),
        fleet_(options, workers, names_, ledger_, kBudget),
        player_(fleet_),
        callers_(loop_, fleet_, names_, ledger_, options.seed) {}

  asio::awaitable<SoakReport> Play() {
    fleet_.Start();
    Spawn(fleet_.Supervise(stop_supervising_));
    co_await SleepFor(kWarmUp);
    for (int i = 0; i < options_.callers; ++i)
      Spawn(callers_.Call(i, stop_calling_));
    Spawn(callers_.ProbeConfig(stop_calling_));
    SoakReport report;
    report.seed = options_.seed;
    report.faults = co_await PlayPlan();
    report.served = PartOf(callers_.TakeShare());
    co_await SleepFor(kRecover);
    callers_.TakeShare();
    co_await SleepFor(kMeasured);
    report.served_after = PartOf(callers_.TakeShare());
    if (report.served_after < kMustServe) {
      ledger_.Report(InvariantViolation::kNotRecovered,
                     "served " + std::to_string(report.served_after) +
                         " of the requests after all faults had ended");
    }
    stop_calling_ = true;
    co_await SleepFor(kLastAnswers);
    co_await fleet_.StopAll();
    stop_supervising_ = true;
    while (running_ > 0)
      co_await SleepFor(kPoll);
    ledger_.Finish();
    report.counts = ledger_.counts();
    report.most_resident_bytes = fleet_.most_resident_bytes();
    report.breaches = ledger_.breaches();
    co_return report;
  }

 private:
  // Injects the faults of the plan; returns their number after all have ended.
  asio::awaitable<int> PlayPlan() {
    const std::vector<Fault> plan = DrawPlan(options_.seed, options_.length);
    const Instant begun = SteadyNow();
    const int before = running_;
    for (const Fault& it : plan) {
      co_await SleepFor(it.at - (SteadyNow() - begun));
      Spawn(player_.Play(it));
    }
    while (running_ > before)
      co_await SleepFor(kPoll);
    co_return static_cast<int>(plan.size());
  }

  void Spawn(asio::awaitable<void> work) {
    ++running_;
    asio::co_spawn(loop_, std::move(work),
                   [this](const std::exception_ptr& failure) {
                     --running_;
                     // An error of the soak itself ends the program with its
                     // message.
                     if (failure)
                       std::rethrow_exception(failure);
                   });
  }

  const SoakOptions options_;
  asio::io_context& loop_;
  const EntryWire names_;
  InvariantChecker ledger_;
  SoakFleet fleet_;
  FaultPlayer player_;
  SoakCallers callers_;
  bool stop_calling_ = false;
  bool stop_supervising_ = false;
  int running_ = 0;
};

}  // namespace

SoakReport RunSoak(const SoakOptions& options) {
  WorkerPool workers(1);
  // Created on the loop, because its members may be used only there.
  std::unique_ptr<Run> run;
  SoakReport report = asio::co_spawn(
                          workers.loop(0),
                          [&]() -> asio::awaitable<SoakReport> {
                            run = std::make_unique<Run>(options, workers);
                            co_return co_await run->Play();
                          },
                          asio::use_future)
                          .get();
  workers.Stop();
  return report;
}

std::string WriteReport(const SoakReport& report) {
  boost::json::array breaches;
  for (const std::string& it : report.breaches)
    breaches.emplace_back(it);
  return boost::json::serialize(
      boost::json::value{{"seed", report.seed},
                         {"faults", report.faults},
                         {"requests", report.counts.sent},
                         {"runs", report.counts.runs},
                         {"refused", report.counts.refused},
                         {"served", report.served},
                         {"served_after", report.served_after},
                         {"most_resident_mb", report.most_resident_bytes >> 20},
                         {"breaches", std::move(breaches)}});
}

}  // namespace toucanknot::soak
