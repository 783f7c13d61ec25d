// Benchmarks of the dispatcher's operations on a fleet of realistic size.

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
  // The host is the only live one, so that it is the home of every server.
  dispatcher->OnConfig(deployment.config, 0, Instant(1));
  return dispatcher;
}

void OfferAndFinish(benchmark::State& state, Policy policy) {
  const Deployment deployment = MakeDeployment("haufiku");
  const auto dispatcher = MakeDispatcher(deployment, policy);
  DispatchRequest request{.deadline = Instant(1'000'000'000)};
  int64_t ms = 1;
  for (auto _ : state) {
    ++request.id;
    ms += request.id % 4 == 0 ? 1 : 0;
    const DispatchDecision decision = dispatcher->Offer(request, Instant(ms));
    dispatcher->Finish({.request_id = request.id,
                        .server = decision.server,
                        .took = Duration(20)},
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

// All slots are in use: each iteration frees one, queues a request and starts
// it.
void BM_OfferWaitAdvance(benchmark::State& state) {
  const Deployment deployment = MakeDeployment("haufiku");
  const auto dispatcher = MakeDispatcher(deployment, Policy::kPool);
  const Instant now(1);
  DispatchRequest request{.deadline = Instant(1'000'000'000)};
  DispatchDecision running;
  do {
    ++request.id;
    const DispatchDecision decision = dispatcher->Offer(request, now);
    if (decision.step != Step::kSend)
      break;
    running = decision;
  } while (true);
  for (auto _ : state) {
    dispatcher->Finish({.request_id = running.request_id,
                        .server = running.server,
                        .took = Duration(20)},
                       now);
    ++request.id;
    dispatcher->Offer(request, now);
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
