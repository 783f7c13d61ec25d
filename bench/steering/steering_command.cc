// toucanknot-bench steering: runs every policy under every scenario.

#include <fmt/format.h>

#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "bench/registry.h"
#include "bench/steering/deployment.h"
#include "bench/steering/fake_fleet.h"
#include "bench/steering/oracle.h"
#include "bench/steering/scenario.h"
#include "include/base/error.h"

namespace toucanknot::bench {
namespace {

namespace po = boost::program_options;

constexpr int kUsageExit = 2;

struct Options {
  std::string deployment = "haufiku";
  std::string scenario;
  std::string policy;
  std::string order = "fifo";
  uint64_t seed = 1;
  bool json = false;
};

struct Row {
  std::string scenario;
  std::string policy;
  Measures measures;
};

double Percent(int64_t part, int64_t whole) {
  return whole == 0
             ? 0
             : 100 * static_cast<double>(part) / static_cast<double>(whole);
}

// Formats a figure; "-" if it was not measured.
std::string Figure(double value, double factor) {
  return value < 0 ? "-" : fmt::format("{:.1f}", value * factor);
}

void PrintHeader(const Options& options) {
  fmt::print("deployment {}, seed {}, queue {}\n", options.deployment,
             options.seed, options.order);
  fmt::print(
      "{:<13}{:<19}{:<9}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>6}"
      "{:>8}{:>7}\n",
      "scenario", "policy", "service", "p50 ms", "p99", "p99.9", "goodput%",
      "refus.%", "fail.%", "region%", "link%", "queued%", "caps", "drain s",
      "back s");
}

void PrintRow(Row& row) {
  for (ServiceMeasures& it : row.measures.services) {
    fmt::print(
        "{:<13}{:<19}{:<9}{:>8.1f}{:>8.1f}{:>8.1f}{:>8.1f}{:>8.2f}{:>8.2f}"
        "{:>8}{:>8}{:>8.2f}{:>6}{:>8}{:>7}\n",
        row.scenario, row.policy, it.service.str(), it.Percentile(0.5),
        it.Percentile(0.99), it.Percentile(0.999), 100 * it.goodput,
        Percent(it.refused, it.offered), Percent(it.failed, it.offered),
        Figure(row.measures.region_headroom, 100),
        Figure(row.measures.link_headroom, 100),
        Percent(it.queued_at_servers, it.offered), row.measures.CapsExceeded(),
        Figure(static_cast<double>(it.drain_ms), 1e-3),
        Figure(static_cast<double>(it.recovery_ms), 1e-3));
  }
}

boost::json::value ToJson(Row& row) {
  boost::json::array services;
  for (ServiceMeasures& it : row.measures.services) {
    services.push_back(
        boost::json::object{{"service", it.service.str()},
                            {"p50_ms", it.Percentile(0.5)},
                            {"p99_ms", it.Percentile(0.99)},
                            {"p99_9_ms", it.Percentile(0.999)},
                            {"offered", it.offered},
                            {"answered", it.answered},
                            {"refused", it.refused},
                            {"failed", it.failed},
                            {"queued_at_servers", it.queued_at_servers},
                            {"goodput", it.goodput},
                            {"drain_ms", it.drain_ms},
                            {"recovery_ms", it.recovery_ms}});
  }
  return boost::json::object{
      {"scenario", row.scenario},
      {"policy", row.policy},
      {"services", std::move(services)},
      {"region_headroom", row.measures.region_headroom},
      {"link_headroom", row.measures.link_headroom},
      {"link_caps_passed", row.measures.link_caps_exceeded},
      {"connection_caps_passed", row.measures.connection_caps_exceeded},
      {"shift_caps_passed", row.measures.shift_caps_exceeded}};
}

std::optional<Options> ParseOptions(const std::vector<std::string>& args) {
  Options options;
  po::options_description description("toucanknot-bench steering");
  description.add_options()("help", "this text")(
      "deployment", po::value(&options.deployment), "haufiku or quetzal")(
      "scenario", po::value(&options.scenario), "run only this scenario")(
      "policy", po::value(&options.policy), "run only this policy")(
      "queue", po::value(&options.order),
      "fifo, lifo-under-overload or deadline")(
      "seed", po::value(&options.seed),
      "seed of the random numbers; runs are deterministic")(
      "json", po::bool_switch(&options.json), "print one JSON object per row");
  po::variables_map variables;
  po::store(po::command_line_parser(args).options(description).run(),
            variables);
  po::notify(variables);
  if (!variables.contains("help"))
    return options;
  std::cout << description;
  return std::nullopt;
}

void Emit(const Options& options, Row row) {
  if (options.json)
    fmt::print("{}\n", boost::json::serialize(ToJson(row)));
  else
    PrintRow(row);
  std::fflush(stdout);
}

bool Wanted(const std::string& only, std::string_view name) {
  return only.empty() || only == name;
}

int RunSteering(const std::vector<std::string>& args) {
  const std::optional<Options> options = ParseOptions(args);
  if (!options)
    return 0;
  const auto order = kQueueOrderNames.Parse(options->order);
  if (!order)
    throw Error("--queue: " + options->order);
  const Deployment deployment = MakeDeployment(options->deployment);
  if (!options->json)
    PrintHeader(*options);
  bool found = false;
  for (const Scenario& scenario : Scenarios()) {
    if (!Wanted(options->scenario, scenario.name))
      continue;
    for (size_t i = 0; i < kPolicyNames.names.size(); ++i) {
      const auto policy = static_cast<Policy>(i);
      const std::string name(kPolicyNames.Name(policy));
      if (!Wanted(options->policy, name))
        continue;
      found = true;
      FakeFleet fleet(deployment, scenario, policy, *order, options->seed);
      Emit(*options, {scenario.name, name, fleet.Run()});
    }
    if (!Wanted(options->policy, "oracle"))
      continue;
    found = true;
    Oracle oracle(deployment, scenario, options->seed);
    Emit(*options, {scenario.name, "oracle", oracle.Run()});
  }
  if (!found)
    std::fprintf(stderr, "no such scenario or policy\n");
  return found ? 0 : kUsageExit;
}

const Registration kSteering{
    {"steering", "compares dispatch policies under load and faults",
     RunSteering}};

}  // namespace
}  // namespace toucanknot::bench
