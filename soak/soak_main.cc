// toucanknot-soak: plays faults against real processes and checks what callers
// and backend servers see.

#include <boost/program_options.hpp>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <iostream>
#include <string>

#include "soak/fault_plan.h"
#include "soak/soak_run.h"

namespace toucanknot::soak {
namespace {

namespace po = boost::program_options;

enum ExitCode { kExitKept = 0, kExitBroken = 1, kExitUsage = 2 };

po::options_description Options() {
  po::options_description options(
      "toucanknot-soak: plays faults against toucanknot-entry processes.\n"
      "Exits with 0 when every promise was kept, 1 when one was broken, 2 for "
      "a wrong command line");
  auto add = options.add_options();
  add("help,h", "print this text");
  add("entry",
      po::value<std::string>()->default_value("build/toucanknot-entry"),
      "the program to play against");
  add("seed", po::value<uint64_t>()->default_value(1), "the first seed");
  add("seeds", po::value<int>()->default_value(1), "how many seeds, in turn");
  add("seconds", po::value<int>()->default_value(60),
      "how long faults happen, for each seed");
  add("hosts", po::value<int>()->default_value(5), "processes");
  add("servers", po::value<int>()->default_value(12), "backend servers");
  add("callers", po::value<int>()->default_value(40), "callers");
  add("first-port", po::value<uint16_t>()->default_value(26'000),
      "the hosts listen on this port and the next four");
  add("keep", po::value<std::string>()->default_value("soak-logs"),
      "folder for settings and logs; those of seeds that broke nothing are "
      "removed");
  add("plan", "print each seed's faults and play nothing");
  return options;
}

void PrintPlan(const SoakOptions& options) {
  for (const Fault& it : DrawPlan(options.seed, options.length)) {
    std::cout << it.at.ms() << " ms " << kFaultKindNames.Name(it.kind)
              << " subject " << it.subject % 1'000 << " for " << it.length.ms()
              << " ms\n";
  }
}

// Returns whether every promise was kept.
bool Play(const SoakOptions& options) {
  std::filesystem::create_directories(options.folder);
  const SoakReport report = RunSoak(options);
  std::cout << WriteReport(report) << std::endl;
  if (report.breaches.empty())
    std::filesystem::remove_all(options.folder);
  return report.breaches.empty();
}

int Run(int argc, char** argv) {
  const po::options_description options = Options();
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, options), values);
  po::notify(values);
  if (values.count("help") > 0) {
    std::cout << options << "\n";
    return kExitKept;
  }
  SoakOptions soak;
  soak.program = values["entry"].as<std::string>();
  soak.length = Duration::Seconds(values["seconds"].as<int>());
  soak.hosts = values["hosts"].as<int>();
  soak.servers = values["servers"].as<int>();
  soak.callers = values["callers"].as<int>();
  soak.first_port = values["first-port"].as<uint16_t>();
  const uint64_t first = values["seed"].as<uint64_t>();
  bool kept = true;
  for (int i = 0; i < values["seeds"].as<int>(); ++i) {
    soak.seed = first + static_cast<uint64_t>(i);
    soak.folder =
        values["keep"].as<std::string>() + "/" + std::to_string(soak.seed);
    if (values.count("plan") > 0)
      PrintPlan(soak);
    else
      kept = Play(soak) && kept;
  }
  return kept ? kExitKept : kExitBroken;
}

}  // namespace
}  // namespace toucanknot::soak

int main(int argc, char** argv) {
  try {
    return toucanknot::soak::Run(argc, argv);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "toucanknot-soak: %s\n", e.what());
    return toucanknot::soak::kExitUsage;
  }
}
