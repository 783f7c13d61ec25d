// Runs the naive dispatcher and the others on the same events: equal results
// where only one is valid, and otherwise no worse goodput and no exceeded
// limit.

#include <catch2/catch.hpp>
#include <random>

#include "include/steering/dispatcher_builder.h"
#include "tests/steering/fleet.h"
#include "tests/steering/single_host_simulation.h"

namespace toucanknot {
namespace {

const std::vector<Policy> kLimited{Policy::kStaticShare, Policy::kPeerLoad,
                                   Policy::kHoming, Policy::kHomingLeastWait,
                                   Policy::kPool};

// One region with one host.
std::shared_ptr<FleetConfig> OneHost(int servers, int slots) {
  auto fleet = std::make_shared<FleetConfig>(*SmallFleet(servers, slots));
  fleet->regions.resize(1);
  fleet->hosts.resize(1);
  fleet->links.clear();
  fleet->services[0].servers.resize(servers);
  for (BackendServer& it : fleet->services[0].servers)
    it.max_connections = 4 * slots;
  return fleet;
}

std::unique_ptr<Dispatcher> Make(Policy policy) {
  return DispatcherBuilder()
      .SetService(ServiceId("s"))
      .SetHost(HostId("r0-h0"))
      .SetPolicy(policy)
      .Build();
}

// The maximum rate of requests that the servers can serve, per millisecond.
double Capacity(int servers, int slots) {
  return static_cast<double>(servers * slots) / SingleHostSimulation::kWorkMs;
}

}  // namespace

TEST_CASE("with one server and a free slot all dispatchers agree") {
  for (const Policy policy : kLimited) {
    INFO(kPolicyNames.Name(policy));
    const auto fleet = OneHost(1, 8);
    const auto naive = Make(Policy::kNaive);
    const auto other = Make(policy);
    for (Dispatcher* it : {naive.get(), other.get()})
      it->OnConfig(fleet, 0, Instant(1));
    std::mt19937 random(7);
    std::vector<DispatchDecision> running;
    for (uint64_t id = 1; id < 500; ++id) {
      const Instant now(static_cast<int64_t>(id) * 3);
      if (running.size() == 8 || (!running.empty() && random() % 2 == 0)) {
        const size_t i = random() % running.size();
        const AttemptResult result{.request_id = running[i].request_id,
                                   .server = running[i].server,
                                   .took = Duration(10)};
        naive->Finish(result, now);
        other->Finish(result, now);
        CHECK(other->Advance(now).empty());
        running.erase(running.begin() + static_cast<int64_t>(i));
      }
      const DispatchRequest request{.id = id,
                                    .deadline = now + Duration(1'000)};
      const DispatchDecision a = naive->Offer(request, now);
      const DispatchDecision b = other->Offer(request, now);
      CHECK(a.step == b.step);
      CHECK(a.server == b.server);
      CHECK(a.request_id == b.request_id);
      running.push_back(b);
      REQUIRE(naive->OwnLoad().in_flight.size() == 1);
      REQUIRE(other->OwnLoad().in_flight.size() == 1);
      CHECK(naive->OwnLoad().in_flight[0].requests ==
            other->OwnLoad().in_flight[0].requests);
    }
  }
}

TEST_CASE("without servers every dispatcher refuses") {
  for (const Policy policy : kLimited) {
    const auto naive = Make(Policy::kNaive);
    const auto other = Make(policy);
    for (Dispatcher* it : {naive.get(), other.get()}) {
      it->OnConfig(OneHost(0, 1), 0, Instant(1));
      const DispatchDecision d =
          it->Offer({.id = 1, .deadline = Instant(100)}, Instant(1));
      CHECK(d.step == Step::kRefuse);
      CHECK(d.refusal == Refusal::kNoServer);
    }
  }
}

TEST_CASE(
    "under overload limits hold and goodput is no less than the naive one") {
  for (const Policy policy : kLimited) {
    INFO(kPolicyNames.Name(policy));
    const auto fleet = OneHost(4, 3);
    SingleHostSimulation naive(Make(Policy::kNaive), fleet, false);
    SingleHostSimulation other(Make(policy), fleet, false);
    for (SingleHostSimulation* it : {&naive, &other})
      it->Run(3'000, 2 * Capacity(4, 3));
    CHECK(other.answered() >= naive.answered());
    CHECK(naive.over_connections() > 0);
    CHECK(other.over_connections() == 0);
    CHECK(other.over_slots() == 0);
  }
}

TEST_CASE(
    "a leaving server gets no requests, except from the naive dispatcher") {
  for (const Policy policy : kLimited) {
    INFO(kPolicyNames.Name(policy));
    const auto fleet = OneHost(4, 3);
    SingleHostSimulation naive(Make(Policy::kNaive), fleet, false);
    SingleHostSimulation other(Make(policy), fleet, false);
    for (SingleHostSimulation* it : {&naive, &other}) {
      it->Run(500, 0.5 * Capacity(4, 3));
      it->Leave(ServerId("r0-b1"));
      it->Run(500, 0.5 * Capacity(4, 3));
    }
    CHECK(naive.sent_to_left() > 0);
    CHECK(other.sent_to_left() == 0);
  }
}

TEST_CASE("goodput recovers within 2 s of a burst although callers retry") {
  const double load = 0.8 * Capacity(4, 3);
  const auto fleet = OneHost(4, 3);
  SingleHostSimulation pool(Make(Policy::kPool), fleet, true);
  SingleHostSimulation naive(Make(Policy::kNaive), fleet, true);
  int64_t answered[2] = {0, 0};
  int i = 0;
  for (SingleHostSimulation* it : {&pool, &naive}) {
    it->Run(2'000, load);
    it->Run(3'000, 5 * load);
    it->Run(2'000, load);
    const int64_t before = it->answered();
    it->Run(1'000, load);
    answered[i++] = it->answered() - before;
  }
  CHECK(static_cast<double>(answered[0]) >= 0.95 * load * 1'000);
  CHECK(answered[0] >= answered[1]);
}

}  // namespace toucanknot
