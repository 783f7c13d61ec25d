// Workspaces at their largest size: 10,000 workspaces and 300 hosts.

#include <benchmark/benchmark.h>

#include <memory>
#include <string>
#include <vector>

#include "include/limits/usage_caps.h"
#include "include/workspaces/key_directory.h"
#include "src/entry/load_exchange.h"
#include "src/entry/usage_sheets.h"

namespace toucanknot::bench {
namespace {

constexpr int kWorkspaces = 10'000;
constexpr int kHosts = 300;

WorkspaceId IdOf(int i) {
  return WorkspaceId("workspace-" + std::to_string(i));
}

std::string KeyOf(int i) {
  return "key-0123456789abcdef0123456789-" + std::to_string(i);
}

RouteConfigPtr Config() {
  auto config = std::make_shared<RouteConfig>();
  config->version = 1;
  for (int i = 0; i < kWorkspaces; ++i) {
    Workspace workspace;
    workspace.id = IdOf(i);
    workspace.api_keys = {KeyOf(i), KeyOf(i) + "-next"};
    workspace.rate = 100;
    config->workspaces.push_back(std::move(workspace));
  }
  return config;
}

void BM_KeyLookUp(benchmark::State& state) {
  KeyDirectory keys;
  keys.OnConfig(Config());
  std::vector<std::string> asked;
  asked.reserve(kWorkspaces);
  for (int i = 0; i < kWorkspaces; ++i)
    asked.push_back(KeyOf(i * 7'919 % kWorkspaces));
  size_t i = 0;
  for (auto _ : state)
    benchmark::DoNotOptimize(keys.Find(asked[i++ % asked.size()]));
}
BENCHMARK(BM_KeyLookUp);

void BM_KeysOfNewConfig(benchmark::State& state) {
  KeyDirectory keys;
  const RouteConfigPtr config = Config();
  for (auto _ : state)
    keys.OnConfig(config);
}
BENCHMARK(BM_KeysOfNewConfig)->Unit(benchmark::kMillisecond);

// A host that has heard of `range(0)` workspaces from all others.
struct Caps {
  explicit Caps(int workspaces) : caps({}, Instant(0)) {
    caps.OnConfig(Config());
    caps.SetHostCount(kHosts);
    for (int i = 0; i < workspaces; ++i)
      caps.Admit(IdOf(i), now);
    UsageReport report = caps.MakeReport(now);
    for (int host = 1; host < kHosts; ++host) {
      report.host = host;
      report.incarnation = 1;
      caps.OnReport(report, now);
    }
    caps.Tick(now);
  }
  const Instant now{100'000};
  UsageCaps caps;
};

void BM_CapAdmit(benchmark::State& state) {
  Caps it(static_cast<int>(state.range(0)));
  const WorkspaceId id = IdOf(1);
  for (auto _ : state)
    benchmark::DoNotOptimize(it.caps.Preview(id, it.now));
}
BENCHMARK(BM_CapAdmit)->Arg(76)->Arg(400);

void BM_CapTick(benchmark::State& state) {
  Caps it(static_cast<int>(state.range(0)));
  for (auto _ : state)
    it.caps.Tick(it.now);
}
BENCHMARK(BM_CapTick)->Arg(76)->Arg(400)->Unit(benchmark::kMillisecond);

// One report, encoded; its size is in the counter.
void BM_CapReport(benchmark::State& state) {
  Caps it(static_cast<int>(state.range(0)));
  size_t bytes = 0;
  for (auto _ : state)
    bytes = EncodeSheet(ToSheet(it.caps.MakeReport(it.now))).size();
  state.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(BM_CapReport)->Arg(76)->Arg(400)->Arg(kWorkspaces);

}  // namespace
}  // namespace toucanknot::bench
