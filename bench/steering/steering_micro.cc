// Time of the dispatcher's operations at the deployments' sizes.

#include <benchmark/benchmark.h>

#include <memory>

#include "bench/steering/deployment.h"
#include "include/steering/dispatcher_builder.h"

namespace toucanknot::bench {
namespace {

std::unique_ptr<Dispatcher> MakeDispatcher(const Deployment& deployment,
                                           Policy policy) {
  auto dispatcher = DispatcherBuilder()
                        .SetService(deployment.traffic.front().service)
                        .SetHost(deployment.config->hosts.front().id)
                        .SetPolicy(policy)
                        .Build();
  // Alone among the live, so that it is every server's home.
  dispatcher->OnConfig(deployment.config, 0, Instant(1));
  return dispatcher;
}

void OfferAndFinish(benchmark::State& state, Policy policy) {
  const Deployment deployment = MakeDeployment("haufiku");
  const auto dispatcher = MakeDispatcher(deployment, policy);
  WorkItem item{.deadline = Instant(1'000'000'000)};
  int64_t ms = 1;
  for (auto _ : state) {
    ++item.id;
    ms += item.id % 4 == 0 ? 1 : 0;
    const Decision decision = dispatcher->Offer(item, Instant(ms));
    dispatcher->Finish(
        {.item = item.id, .server = decision.server, .took = Duration(20)},
        Instant(ms));
    benchmark::DoNotOptimize(decision);
  }
}

void BM_OfferAndFinishPool(benchmark::State& state) {
  OfferAndFinish(state, Policy::kPool);
}
BENCHMARK(BM_OfferAndFinishPool);

void BM_OfferAndFinishNaive(benchmark::State& state) {
  OfferAndFinish(state, Policy::kNaive);
}
BENCHMARK(BM_OfferAndFinishNaive);

// All slots taken: an offer that waits, and one that is started for it.
void BM_OfferWaitAdvance(benchmark::State& state) {
  const Deployment deployment = MakeDeployment("haufiku");
  const auto dispatcher = MakeDispatcher(deployment, Policy::kPool);
  const Instant now(1);
  WorkItem item{.deadline = Instant(1'000'000'000)};
  Decision running;
  do {
    ++item.id;
    const Decision decision = dispatcher->Offer(item, now);
    if (decision.step != Step::kSend)
      break;
    running = decision;
  } while (true);
  for (auto _ : state) {
    dispatcher->Finish(
        {.item = running.item, .server = running.server, .took = Duration(20)},
        now);
    ++item.id;
    dispatcher->Offer(item, now);
    const auto started = dispatcher->Advance(now);
    running = started.front();
  }
}
BENCHMARK(BM_OfferWaitAdvance);

void BM_Explain(benchmark::State& state) {
  const Deployment deployment = MakeDeployment("haufiku");
  const auto dispatcher = MakeDispatcher(deployment, Policy::kPool);
  for (auto _ : state)
    benchmark::DoNotOptimize(dispatcher->Explain(Instant(1)));
}
BENCHMARK(BM_Explain);

}  // namespace
}  // namespace toucanknot::bench
