#include <cstdio>
#include <string>
#include <vector>

#include "bench/placing/fleet_model.h"
#include "bench/registry.h"

namespace toucanknot::bench {
namespace {

// Value of a late response relative to one in time.
constexpr double kLateValue = 0.2;

void PrintRow(const std::string& name, const ModelSetup& setup) {
  const ModelOutcome out = FleetModel(setup).Run();
  std::printf("%-22s %7d %7d", name.c_str(), out.sends, out.fetches);
  for (const auto& [route, it] : out.routes) {
    const double worth =
        (it.in_target + kLateValue * it.late) / std::max(1, it.asked);
    std::printf("  %-8s %5.3f %5.3f %6.3f %6.3f %5lld", route.c_str(), worth,
                it.Served(), static_cast<double>(it.refused) / it.asked,
                static_cast<double>(it.failed) / it.asked,
                static_cast<long long>(it.slowest_refusal_ms));
  }
  std::printf("\n");
}

int Run(const std::vector<std::string>&) {
  std::printf(
      "%-22s %7s %7s  by route: worth, served, refused, failed, "
      "slowest refusal in ms\n",
      "load", "sends", "fetches");
  for (const double load : {1.0, 1.45, 2.0, 3.0}) {
    char name[32];
    std::snprintf(name, sizeof name, "%.2f", load);
    ModelSetup setup = TrackerSetup(load);
    PrintRow(name, setup);
    setup.naive = true;
    PrintRow(std::string(name) + " any server", setup);
  }
  ModelSetup burst = TrackerSetup(1);
  burst.burst_from = Duration(12'000);
  burst.burst_to = Duration(16'000);
  burst.burst_by = 2.5;
  PrintRow("1.00, burst of 2.5", burst);
  ModelSetup slow = TrackerSetup(1);
  slow.slow_from = Duration(10'000);
  slow.slow_part = 0.16;
  slow.slow_by = 5;
  PrintRow("1.00, 16 % slow by 5", slow);
  return 0;
}

const Registration kPlacing{
    {"placing",
     "results for callers under whole loads, in the model of the placer", Run}};

}  // namespace
}  // namespace toucanknot::bench
