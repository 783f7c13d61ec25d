// toucanknot-bench explore: exhaustive exploration of the ticket protocol in
// small cases.

#include <boost/program_options.hpp>

#include <chrono>
#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

#include "bench/once/explorer_model.h"
#include "bench/registry.h"

namespace toucanknot::bench {
namespace {

namespace po = boost::program_options;

struct Case {
  std::string name;
  WorldOptions options;
};

std::vector<Case> Cases() {
  WorldOptions repeats;
  repeats.requests = 3;
  repeats.refuses = true;
  WorldOptions deaths = repeats;
  deaths.kills = 1;
  deaths.restarts = 1;
  WorldOptions servers = deaths;
  servers.servers = 2;
  WorldOptions forwards = deaths;
  forwards.forwards = 2;
  forwards.requests = 2;
  WorldOptions expiry = deaths;
  expiry.requests = 2;
  expiry.ticks = 5;
  WorldOptions stops = deaths;
  stops.requests = 2;
  stops.closes = 1;
  return {{"repeats", repeats}, {"deaths", deaths}, {"two servers", servers},
          {"passes", forwards}, {"expiry", expiry}, {"graceful stop", stops}};
}

bool RunCase(const Case& it, size_t max_states) {
  const auto start = std::chrono::steady_clock::now();
  const Exploration found = Explore(it.options, max_states);
  const std::chrono::duration<double> took =
      std::chrono::steady_clock::now() - start;
  std::printf("%-15s %-14s %-23s %10zu states %11zu steps %6.1f s  %s%s\n",
              kDesignNames.Name(it.options.design).data(), it.name.c_str(),
              kFaultNames.Name(it.options.fault).data(), found.states,
              found.steps, took.count(),
              kViolationNames.Name(found.violation).data(),
              found.complete ? "" : " (not all states)");
  if (found.violation != Violation::kNone)
    std::printf("  %s\n", Describe(found.trace).c_str());
  std::fflush(stdout);
  return found.violation == Violation::kNone && found.complete;
}

int Run(const std::vector<std::string>& args) {
  po::options_description options("explore");
  std::string fault_name;
  std::string only;
  size_t max_states = 0;
  options.add_options()("help", "show this")(
      "fault", po::value(&fault_name)->default_value("none"),
      "inject a fault into the protocol")("case", po::value(&only),
                                          "run only the case of this name")(
      "max-states", po::value(&max_states)->default_value(20'000'000),
      "stop a case here");
  po::variables_map vars;
  po::store(po::command_line_parser(args).options(options).run(), vars);
  po::notify(vars);
  const auto fault = kFaultNames.Parse(fault_name);
  if (vars.count("help") || !fault) {
    std::cout << options;
    return vars.count("help") ? 0 : 2;
  }
  bool clean = true;
  for (const Design design : {Design::kTickets, Design::kTicketsWithWitness}) {
    for (Case it : Cases()) {
      if (!only.empty() && it.name != only)
        continue;
      it.options.design = design;
      it.options.fault = *fault;
      clean = RunCase(it, max_states) && clean;
    }
  }
  return clean ? 0 : 1;
}

const Registration kExplore{
    {"explore", "all interleavings of the ticket protocol in small cases",
     Run}};

}  // namespace
}  // namespace toucanknot::bench
