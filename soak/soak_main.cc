// toucanknot-soak: injects faults into a fleet of real host processes and
// checks invariants at its callers and backend servers.

#include <boost/program_options.hpp>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <iostream>
#include <optional>
#include <string>

#include "include/base/error.h"
#include "soak/fault_plan.h"
#include "soak/server_process.h"
#include "soak/server_program.h"
#include "soak/soak_run.h"

namespace toucanknot::soak {
namespace {

namespace po = boost::program_options;

enum ExitCode { kExitPassed = 0, kExitViolation = 1, kExitUsage = 2 };

po::options_description Options() {
  po::options_description options(
      "toucanknot-soak: injects faults into toucanknot-entry processes.\n"
      "Exits with 0 if all invariants held, 1 if one was violated, 2 for an "
      "invalid command line");
  auto add = options.add_options();
  add("help,h", "print this text");
  add("entry",
      po::value<std::string>()->default_value("build/toucanknot-entry"),
      "the program to test");
  add("seed", po::value<uint64_t>()->default_value(1), "the first seed");
  add("seeds", po::value<int>()->default_value(1),
      "number of consecutive seeds to run");
  add("seconds", po::value<int>()->default_value(60),
      "duration of the faults of each seed, in seconds");
  add("hosts", po::value<int>()->default_value(5), "number of host processes");
  add("servers", po::value<int>()->default_value(12),
      "number of backend servers");
  add("callers", po::value<int>()->default_value(40), "number of callers");
  add("profile", po::value<std::string>()->default_value("mixed"),
      "mixed: the faults of the seed; calm: none; stops: planned stops of "
      "hosts; or one kind of faulty "
      "responses, by all servers throughout: refusals, late-copies, "
      "broken-copies, run-then-refuse");
  add("server-processes", "run each backend server as a process of its own");
  add("first-port", po::value<uint16_t>()->default_value(26'000),
      "the hosts listen on this port and the next four");
  add("keep", po::value<std::string>()->default_value("soak-logs"),
      "folder for settings and logs; those of seeds without a violation are "
      "removed");
  add("plan", "print the faults of each seed without running them");
  return options;
}

void PrintPlan(const SoakOptions& options) {
  for (const Fault& it : GenerateFaultPlan(options.seed, options.length)) {
    std::cout << it.at.ms() << " ms " << kFaultKindNames.Name(it.kind)
              << " subject " << it.subject % 1'000 << " for " << it.length.ms()
              << " ms\n";
  }
}

// Runs one seed and prints its report. Returns whether all invariants held.
bool RunSeed(const SoakOptions& options) {
  // Logs and ledgers of an earlier run would count as those of this one.
  std::filesystem::remove_all(options.folder);
  std::filesystem::create_directories(options.folder);
  const SoakReport report = RunSoak(options);
  std::cout << WriteReport(report) << std::endl;
  if (report.violations.empty())
    std::filesystem::remove_all(options.folder);
  return report.violations.empty();
}

int Run(int argc, char** argv) {
  const po::options_description options = Options();
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, options), values);
  po::notify(values);
  if (values.count("help") > 0) {
    std::cout << options << "\n";
    return kExitPassed;
  }
  SoakOptions soak;
  soak.program = values["entry"].as<std::string>();
  soak.length = Duration::Seconds(values["seconds"].as<int>());
  soak.hosts = values["hosts"].as<int>();
  soak.servers = values["servers"].as<int>();
  soak.callers = values["callers"].as<int>();
  soak.first_port = values["first-port"].as<uint16_t>();
  const std::string profile = values["profile"].as<std::string>();
  const std::optional<Profile> parsed = kProfileNames.Parse(profile);
  if (!parsed)
    throw Error("unknown profile " + profile);
  soak.profile = *parsed;
  soak.server_processes = values.count("server-processes") > 0;
  const uint64_t first = values["seed"].as<uint64_t>();
  bool passed = true;
  for (int i = 0; i < values["seeds"].as<int>(); ++i) {
    soak.seed = first + static_cast<uint64_t>(i);
    soak.folder =
        values["keep"].as<std::string>() + "/" + std::to_string(soak.seed);
    if (values.count("plan") > 0)
      PrintPlan(soak);
    else
      passed = RunSeed(soak) && passed;
  }
  return passed ? kExitPassed : kExitViolation;
}

}  // namespace
}  // namespace toucanknot::soak

int main(int argc, char** argv) {
  try {
    using toucanknot::soak::ServerProcess;
    if (argc == 3 && argv[1] == std::string(ServerProcess::kCommand)) {
      toucanknot::soak::RunServerProgram(
          toucanknot::soak::ServerProgramOptions::FromJson(argv[2]));
    }
    return toucanknot::soak::Run(argc, argv);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "toucanknot-soak: %s\n", e.what());
    return toucanknot::soak::kExitUsage;
  }
}
