#include <benchmark/benchmark.h>

#include "bench/config/sized_fleet.h"
#include "include/config/config_candidate.h"
#include "include/config/config_text.h"
#include "include/config/locations.h"

namespace toucanknot::bench {
namespace {

// Parses and validates a candidate, as each host does for each version.
// Arguments: number of entry hosts, number of exceptions.
void CheckOfferAtSize(benchmark::State& state) {
  const FleetConfig config = SizedFleet(static_cast<int>(state.range(0)),
                                        static_cast<int>(state.range(1)));
  const ConfigCandidate candidate = MakeConfigCandidate(config, 1);
  for (auto _ : state)
    benchmark::DoNotOptimize(CheckConfigCandidate(candidate));
  state.counters["text_bytes"] = static_cast<double>(candidate.text.size());
}
BENCHMARK(CheckOfferAtSize)
    ->Unit(benchmark::kMillisecond)
    ->ArgsProduct({{70, 700, 6800}, {20, 200}});

// Resolves the tunables of one backend server. Argument: number of exceptions.
void ResolveAtSize(benchmark::State& state) {
  const FleetConfig config = SizedFleet(70, static_cast<int>(state.range(0)));
  const Service& service = config.services.front();
  const Scope location =
      LocationOfServer(config, service.id, service.servers.front());
  for (auto _ : state)
    benchmark::DoNotOptimize(config.Resolve(location, 0));
}
BENCHMARK(ResolveAtSize)->Arg(2)->Arg(20)->Arg(200);

}  // namespace
}  // namespace toucanknot::bench
