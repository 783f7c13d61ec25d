// toucanknot-bench: runs one of the measurements, selected by its name.

#include <benchmark/benchmark.h>

#include <algorithm>
#include <cstdio>
#include <exception>
#include <string>
#include <vector>

#include "bench/registry.h"

namespace toucanknot::bench {
namespace {

constexpr int kExitUsage = 2;

int PrintUsage() {
  std::fprintf(stderr, "usage: toucanknot-bench COMMAND [options]\n");
  for (const Command& it : Commands())
    std::fprintf(stderr, "  %-12s %s\n", it.name.c_str(), it.help.c_str());
  return kExitUsage;
}

// Runs the benchmarks that are registered with Google Benchmark.
int RunMicro(const std::vector<std::string>& args) {
  std::vector<std::string> all{"micro"};
  all.insert(all.end(), args.begin(), args.end());
  std::vector<char*> argv;
  argv.reserve(all.size());
  for (std::string& it : all)
    argv.push_back(it.data());
  int argc = static_cast<int>(argv.size());
  benchmark::Initialize(&argc, argv.data());
  if (benchmark::ReportUnrecognizedArguments(argc, argv.data()))
    return kExitUsage;
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}

const Registration kMicro{
    {"micro",
     "time of single operations; accepts --benchmark_filter=", RunMicro}};

int Main(const std::vector<std::string>& args) {
  if (args.empty())
    return PrintUsage();
  const auto& commands = Commands();
  const auto it =
      std::find_if(commands.begin(), commands.end(),
                   [&](const Command& c) { return c.name == args.front(); });
  if (it == commands.end())
    return PrintUsage();
  return it->run({args.begin() + 1, args.end()});
}

}  // namespace
}  // namespace toucanknot::bench

int main(int argc, char** argv) {
  try {
    return toucanknot::bench::Main({argv + 1, argv + argc});
  } catch (const std::exception& e) {
    std::fprintf(stderr, "toucanknot-bench: %s\n", e.what());
    return 1;
  }
}
