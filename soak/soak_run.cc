#include "soak/soak_run.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>
#include <memory>

#include "platform/wire_decoder.h"
#include "soak/evidence.h"
#include "soak/fault_injector.h"
#include "soak/refusal_faults.h"
#include "soak/soak_callers.h"
#include "soak/soak_uploads.h"
#include "src/http/one_shot.h"

namespace toucanknot::soak {
namespace {

namespace asio = boost::asio;

// Time after the last fault until the fleet must serve normally again.
constexpr Duration kRecoveryTime{15'000};
// How long it is then measured, and the share of requests that it must serve.
constexpr Duration kMeasuredTime{5'000};
constexpr double kMinServedRatio = 0.95;
// Time for requests of callers and runs of servers in progress to end.
constexpr Duration kFinishTime{4'000};
constexpr Duration kPollInterval{20};
constexpr int kCallersPerUploader = 10;
// The retry budget, both in the hosts' settings and in the check.
constexpr InvariantChecker::Budget kRetryBudget;

double ServedRatio(const SoakCallers::ServedCounts& counts) {
  return counts.ended > 0 ? static_cast<double>(counts.served) / counts.ended
                          : 0;
}

// All objects of one run, on one loop.
class SoakRun {
 public:
  SoakRun(const SoakOptions& options, WorkerPool& workers)
      : options_(options),
        loop_(workers.loop(0)),
        names_(platform::PlatformWire()),
        checker_(kRetryBudget),
        fleet_(options, workers, names_, checker_, kRetryBudget),
        injector_(fleet_),
        callers_(loop_, fleet_, names_, checker_, options.seed),
        uploads_(fleet_, callers_, options.seed) {}

  asio::awaitable<SoakReport> Execute() {
    fleet_.Start();
    Spawn(fleet_.Supervise(stop_supervision_));
    co_await SleepFor(SoakFleet::kWarmUpTime);
    for (int i = 0; i < options_.callers; ++i)
      Spawn(callers_.RunCaller(i, stop_callers_));
    for (int i = 0; i < options_.callers; i += kCallersPerUploader)
      Spawn(uploads_.RunCaller(stop_callers_));
    Spawn(callers_.ProbeConfig(stop_callers_));
    SoakReport report;
    report.seed = options_.seed;
    report.faults = co_await InjectFaults();
    report.served = ServedRatio(callers_.TakeServedCounts());
    co_await SleepFor(kRecoveryTime);
    callers_.TakeServedCounts();
    co_await SleepFor(kMeasuredTime);
    report.served_after = ServedRatio(callers_.TakeServedCounts());
    if (report.served_after < kMinServedRatio) {
      checker_.Report(InvariantViolation::kNotRecovered,
                      "served " + std::to_string(report.served_after) +
                          " of the requests after all faults had ended");
    }
    stop_callers_ = true;
    co_await SleepFor(kFinishTime);
    co_await fleet_.StopAll();
    stop_supervision_ = true;
    while (running_ > 0)
      co_await SleepFor(kPollInterval);
    fleet_.ReadLedgers();
    checker_.Finish();
    report.counts = checker_.counts();
    report.uploads = uploads_.counts();
    report.max_resident_bytes = fleet_.max_resident_bytes();
    report.violations = checker_.violations();
    report.violation_counts = checker_.violation_counts();
    WriteEvidence(checker_, options_.folder);
    co_return report;
  }

 private:
  // Injects the faults of the plan; returns their number after all have ended.
  asio::awaitable<int> InjectFaults() {
    if (options_.profile != Profile::kMixed &&
        options_.profile != Profile::kStops) {
      co_await RefusalFaults(fleet_).InjectProfile(options_.profile,
                                                   options_.length);
      co_return 0;
    }
    const std::vector<Fault> plan =
        options_.profile == Profile::kStops
            ? GenerateStopPlan(options_.length)
            : GenerateFaultPlan(options_.seed, options_.length);
    const Instant begun = SteadyNow();
    const int before = running_;
    for (const Fault& it : plan) {
      co_await SleepFor(it.at - (SteadyNow() - begun));
      Spawn(injector_.Inject(it));
    }
    while (running_ > before)
      co_await SleepFor(kPollInterval);
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
  InvariantChecker checker_;
  SoakFleet fleet_;
  FaultInjector injector_;
  SoakCallers callers_;
  SoakUploads uploads_;
  bool stop_callers_ = false;
  bool stop_supervision_ = false;
  int running_ = 0;
};

}  // namespace

SoakReport RunSoak(const SoakOptions& options) {
  WorkerPool workers(1);
  // Created on the loop, because its members may be used only there.
  std::unique_ptr<SoakRun> run;
  SoakReport report = asio::co_spawn(
                          workers.loop(0),
                          [&]() -> asio::awaitable<SoakReport> {
                            run = std::make_unique<SoakRun>(options, workers);
                            co_return co_await run->Execute();
                          },
                          asio::use_future)
                          .get();
  workers.Stop();
  return report;
}

std::string WriteReport(const SoakReport& report) {
  boost::json::array violations;
  for (const std::string& it : report.violations)
    violations.emplace_back(it);
  boost::json::object violated;
  for (const auto& [kind, n] : report.violation_counts)
    violated[kInvariantViolationNames.Name(kind)] = n;
  return boost::json::serialize(
      boost::json::value{{"seed", report.seed},
                         {"faults", report.faults},
                         {"requests", report.counts.sent},
                         {"runs", report.counts.runs},
                         {"refused", report.counts.rejected},
                         {"uploads", boost::json::value_from(report.uploads)},
                         {"served", report.served},
                         {"served_after", report.served_after},
                         {"most_resident_mb", report.max_resident_bytes >> 20},
                         {"violated", std::move(violated)},
                         {"breaches", std::move(violations)}});
}

}  // namespace toucanknot::soak
