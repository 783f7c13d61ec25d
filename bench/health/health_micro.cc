#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "include/health/health_table.h"
#include "include/health/quarantine.h"

namespace toucanknot::bench {
namespace {

std::vector<ServerId> Servers(int64_t n) {
  std::vector<ServerId> out;
  for (int64_t i = 0; i < n; ++i)
    out.emplace_back("tracker-" + std::to_string(i));
  return out;
}

void BM_HealthWeight(benchmark::State& state) {
  const std::vector<ServerId> servers = Servers(state.range(0));
  HealthTable table{Tunables()};
  table.SetServers(servers, Instant(0));
  size_t i = 0;
  for (auto _ : state) {
    i = (i + 1) % servers.size();
    benchmark::DoNotOptimize(table.Weight(servers[i], Instant(1)));
  }
}
BENCHMARK(BM_HealthWeight)->Arg(24)->Arg(1'000);

void BM_HealthResponse(benchmark::State& state) {
  const std::vector<ServerId> servers = Servers(24);
  HealthTable table{Tunables()};
  table.SetServers(servers, Instant(0));
  int64_t ms = 0;
  ServerResponseSample response{.server = servers[5], .took = Duration(10)};
  for (auto _ : state) {
    response.sent_at = Instant(++ms);
    table.OnResponse(response, Instant(ms + 10));
  }
}
BENCHMARK(BM_HealthResponse);

void BM_HealthAdvance(benchmark::State& state) {
  const std::vector<ServerId> servers = Servers(state.range(0));
  HealthTable table{Tunables()};
  table.SetServers(servers, Instant(0));
  for (const ServerId& it : servers) {
    for (int n = 0; n < 30; ++n)
      table.OnResponse({.server = it, .took = Duration(10)}, Instant(1));
  }
  int64_t ms = 0;
  for (auto _ : state)
    table.Advance(Instant(++ms));
}
BENCHMARK(BM_HealthAdvance)->Arg(24)->Arg(1'000);

// The cost of the quarantine for a request that is not suspected.
void BM_QuarantineAdmit(benchmark::State& state) {
  Quarantine quarantine(HostId("h"), {},
                        [](const ServerId&, Instant) { return 0; });
  const ServerId server("tracker-1");
  uint64_t fingerprint = 0;
  for (auto _ : state) {
    fingerprint += 0x9e3779b97f4a7c15U;
    const Instant now(1);
    benchmark::DoNotOptimize(quarantine.ModeOf(fingerprint, now));
    benchmark::DoNotOptimize(quarantine.IsReserved(server, now));
    quarantine.OnSent(fingerprint, server, now);
    quarantine.OnEnded(fingerprint, server, true, now);
  }
}
BENCHMARK(BM_QuarantineAdmit);

}  // namespace
}  // namespace toucanknot::bench
