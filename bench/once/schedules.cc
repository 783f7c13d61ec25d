// toucanknot-bench once: random schedules of each design compared.

#include <boost/program_options.hpp>

#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

#include "bench/once/explorer_model.h"
#include "bench/once/schedule_model.h"
#include "bench/registry.h"

namespace toucanknot::bench {
namespace {

namespace po = boost::program_options;

constexpr int kCalmSchedules = 1'000;
// Request and verdict, to the backend server and back.
constexpr int kPlainMessages = 4;
// The seeds of one `--seed` are this far from those of the next.
constexpr uint64_t kSeedSpan = 1'000'000'000;

double Percent(int part, int whole) {
  return whole == 0 ? 0 : 100.0 * part / whole;
}

struct Scenario {
  const char* name;
  WorldOptions (*world)(Design);
  bool tickets_only;
};

constexpr Scenario kScenarios[] = {
    {"its host dies", OneDeathWorld, false},
    {"all faults", FaultyWorld, false},
    {"graceful stops", GracefulWorld, true},
};

// Messages in addition to the request and its response when nothing fails.
double ExtraMessages(Design design, uint64_t first_seed) {
  const ScheduleSummary calm =
      RunSchedules(CalmWorld(design), first_seed, kCalmSchedules);
  return static_cast<double>(calm.messages) / calm.schedules - kPlainMessages;
}

void Print(const char* scenario,
           Design design,
           const ScheduleSummary& sum,
           double extra) {
  std::printf(
      "%-15s %-15s %9d %9d %8d %8d %9d %8.2f%% %8.2f%% %8.2f%% %9.2f%% %8.2f\n",
      scenario, kDesignNames.Name(design).data(), sum.schedules, sum.disturbed,
      sum.doubled, sum.false_refusals, sum.false_ran,
      Percent(sum.reported_ran, sum.schedules),
      Percent(sum.reported_not_run, sum.schedules),
      Percent(sum.unknown, sum.schedules),
      Percent(sum.unknown_unsent, sum.schedules), extra);
}

void PrintTraces(const WorldOptions& options,
                 const std::vector<uint64_t>& seeds) {
  for (const uint64_t it : seeds) {
    std::printf("  seed %llu: %s\n", static_cast<unsigned long long>(it),
                Describe(RunSchedule(options, it).trace).c_str());
  }
}

// Returns whether nothing was violated.
bool RunScenario(const Scenario& scenario,
                 Design design,
                 Fault fault,
                 uint64_t first_seed,
                 int count,
                 bool show_unknown) {
  WorldOptions options = scenario.world(design);
  options.fault = fault;
  const ScheduleSummary sum = RunSchedules(options, first_seed, count);
  Print(scenario.name, design, sum, ExtraMessages(design, first_seed));
  PrintTraces(options, sum.bad_seeds);
  if (show_unknown)
    PrintTraces(options, sum.unknown_seeds);
  std::fflush(stdout);
  return sum.bad_seeds.empty();
}

bool UsesTickets(Design design) {
  return design == Design::kTickets || design == Design::kTicketsWithWitness;
}

int Run(const std::vector<std::string>& args) {
  po::options_description options("once");
  int schedules = 0;
  uint64_t seed = 0;
  std::string fault_name;
  options.add_options()("help", "show this")(
      "schedules", po::value(&schedules)->default_value(100'000),
      "schedules for each design")("seed", po::value(&seed)->default_value(1),
                                   "selects the schedules")(
      "fault", po::value(&fault_name)->default_value("none"),
      "inject a fault into the ticket protocol")(
      "show-unknown", "print some schedules that ended unknown");
  po::variables_map vars;
  po::store(po::command_line_parser(args).options(options).run(), vars);
  po::notify(vars);
  const auto fault = kFaultNames.Parse(fault_name);
  if (vars.count("help") || !fault) {
    std::cout << options;
    return vars.count("help") ? 0 : 2;
  }
  std::printf("%-15s %-15s %9s %9s %8s %8s %9s %9s %9s %9s %10s %8s\n",
              "scenario", "design", "schedules", "disturbed", "doubled",
              "false-nr", "false-ran", "ran", "not-run", "unknown",
              "unk-unsent", "messages");
  bool clean = true;
  for (const Scenario& scenario : kScenarios) {
    for (size_t i = 0; i < kDesignNames.names.size(); ++i) {
      const auto design = static_cast<Design>(i);
      if (scenario.tickets_only && !UsesTickets(design))
        continue;
      clean = RunScenario(scenario, design, *fault, seed * kSeedSpan, schedules,
                          vars.count("show-unknown") > 0) &&
              clean;
    }
  }
  return clean ? 0 : 1;
}

const Registration kOnce{
    {"once", "random schedules of run-once requests, design by design", Run}};

}  // namespace
}  // namespace toucanknot::bench
