// Benchmarks one lookup: selecting the prepared response for a caller.

#include "src/daemon/lookup_table.h"

#include <benchmark/benchmark.h>

#include <memory>
#include <string>

namespace toucanknot::bench {
namespace {

constexpr int kHosts = 7;

LookupTable MakeTable(int services) {
  auto config = std::make_shared<FleetConfig>();
  config->regions = {{RegionId("r"), {ZoneId("z")}}};
  for (int i = 0; i < services; ++i) {
    Service service;
    service.id = ServiceId("service-" + std::to_string(i));
    config->services.push_back(std::move(service));
  }
  LookupTable::Source source;
  source.config = config;
  source.lifetime = Duration(10'000);
  for (int i = 0; i < kHosts; ++i) {
    EntryHost host{
        HostId("h" + std::to_string(i)), ZoneId("z"), {"127.0.0.1", 1}, {}};
    source.hosts.push_back({std::move(host), 0});
  }
  return LookupTable(source);
}

void LookupDecision(benchmark::State& state) {
  const auto services = static_cast<int>(state.range(0));
  const LookupTable table = MakeTable(services);
  const std::string name = "service-" + std::to_string(services / 2);
  uint64_t turn = 0;
  for (auto _ : state)
    benchmark::DoNotOptimize(table.Find(name, turn++));
}
BENCHMARK(LookupDecision)->Arg(2)->Arg(100);

}  // namespace
}  // namespace toucanknot::bench
