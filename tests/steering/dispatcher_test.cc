#include "include/steering/dispatcher.h"

#include <catch2/catch.hpp>
#include <set>

#include "include/base/error.h"
#include "include/steering/dispatcher_builder.h"
#include "tests/steering/fleet.h"

namespace toucanknot {
namespace {

const Instant kStart{1'000};

struct Host {
  explicit Host(const std::string& name,
                SteeringHooks hooks = {},
                Policy policy = Policy::kPool,
                std::shared_ptr<FleetConfig> config = SmallFleet())
      : fleet(std::move(config)),
        dispatcher(DispatcherBuilder()
                       .SetService(ServiceId("s"))
                       .SetHost(HostId(name))
                       .SetPolicy(policy)
                       .SetHooks(std::move(hooks))
                       .Build()) {
    dispatcher->OnConfig(fleet, 0, kStart);
    dispatcher->OnHosts(HostsOf(*fleet), kStart);
  }

  DispatchDecision Offer(uint64_t id,
                         Hop hop = Hop::kInRegion,
                         Instant now = kStart,
                         Duration deadline = Duration(1'000)) {
    return dispatcher->Offer({.id = id,
                              .service = ServiceId("s"),
                              .deadline = now + deadline,
                              .hop = hop},
                             now);
  }
  void Finish(const DispatchDecision& d,
              AttemptEnd end,
              Instant now,
              int took = 20) {
    dispatcher->Finish({.request_id = d.request_id,
                        .server = d.server,
                        .host = d.host,
                        .end = end,
                        .took = Duration(took)},
                       now);
  }

  std::shared_ptr<FleetConfig> fleet;
  std::unique_ptr<Dispatcher> dispatcher;
};

// Keeps all requests in the own region.
SteeringHooks NoShift() {
  SteeringHooks hooks;
  hooks.may_forward = [](auto&&...) { return Refusal::kShiftLimit; };
  return hooks;
}

// The home host of r0's servers, found by where the other host forwards to.
std::string HomeName() {
  Host host("r0-h0");
  const DispatchDecision d = host.Offer(1, Hop::kCaller);
  return d.step == Step::kForward ? d.host.str() : "r0-h0";
}

std::string OtherName() {
  return HomeName() == "r0-h0" ? "r0-h1" : "r0-h0";
}

}  // namespace

TEST_CASE("Build() throws without service or host") {
  CHECK_THROWS_AS(DispatcherBuilder().Build(), Error);
  CHECK_THROWS_AS(DispatcherBuilder().SetService(ServiceId("s")).Build(),
                  Error);
}

TEST_CASE("without a configuration every request is refused") {
  for (const Policy it : {Policy::kNaive, Policy::kPool}) {
    const auto dispatcher = DispatcherBuilder()
                                .SetService(ServiceId("s"))
                                .SetHost(HostId("r0-h0"))
                                .SetPolicy(it)
                                .Build();
    const DispatchDecision d = dispatcher->Offer({.id = 1}, kStart);
    CHECK(d.step == Step::kRefuse);
    CHECK(d.refusal == Refusal::kNoServer);
  }
}

TEST_CASE("the home fills the slots of its region, then requests wait") {
  Host home(HomeName());
  std::multiset<std::string> used;
  for (uint64_t id = 1; id <= 4; ++id) {
    const DispatchDecision d = home.Offer(id, Hop::kCaller);
    REQUIRE(d.step == Step::kSend);
    used.insert(d.server.str());
  }
  CHECK(used == std::multiset<std::string>{"r0-b0", "r0-b0", "r0-b1", "r0-b1"});
  CHECK(home.Offer(5, Hop::kCaller).step == Step::kWait);
  CHECK(home.dispatcher->Advance(kStart).empty());
  CHECK(home.dispatcher->OwnLoad().waiting == 1);
}

TEST_CASE("a freed slot goes to a waiting request") {
  Host home(HomeName());
  DispatchDecision first = home.Offer(1);
  for (uint64_t id = 2; id <= 5; ++id)
    home.Offer(id);
  home.Finish(first, AttemptEnd::kAnswered, kStart + Duration(20));
  const auto next = home.dispatcher->Advance(kStart + Duration(20));
  REQUIRE(next.size() == 1);
  CHECK(next[0].request_id == 5);
  CHECK(next[0].step == Step::kSend);
  CHECK(next[0].server == first.server);
}

TEST_CASE("another host forwards to the home, once per region") {
  Host other(OtherName());
  const DispatchDecision d = other.Offer(1, Hop::kCaller);
  CHECK(d.step == Step::kForward);
  CHECK(d.host.str() == HomeName());
  CHECK(d.hop == Hop::kInRegion);
  CHECK(other.Offer(2, Hop::kCrossed).hop == Hop::kCrossedInRegion);
  CHECK(other.Offer(3, Hop::kInRegion).step == Step::kSend);
  CHECK(other.Offer(4, Hop::kCrossedInRegion).step == Step::kSend);
}

TEST_CASE("an unreachable host is no home until it reports its load again") {
  Host other(OtherName());
  const DispatchDecision d = other.Offer(1, Hop::kCaller);
  other.Finish(d, AttemptEnd::kNotSent, kStart);
  CHECK(other.Offer(2, Hop::kCaller).step == Step::kSend);
  other.dispatcher->OnPeerLoad({.host = d.host}, kStart + Duration(10));
  CHECK(other.Offer(3, Hop::kCaller, kStart + Duration(10)).step ==
        Step::kForward);
}

TEST_CASE("requests of peers occupy slots until their reports are too old") {
  Host home(HomeName());
  home.dispatcher->OnPeerLoad(
      {.host = HostId(OtherName()),
       .in_flight = {{ServerId("r0-b0"), 2}, {ServerId("r0-b1"), 1}}},
      kStart);
  CHECK(home.Offer(1).server.str() == "r0-b1");
  CHECK(home.Offer(2).step == Step::kWait);
  CHECK(home.dispatcher->Advance(kStart + Duration(100)).empty());
  home.Offer(3, Hop::kInRegion, kStart + Duration(100), Duration(60'000));
  const auto later = home.dispatcher->Advance(kStart + Duration(5'001));
  REQUIRE(later.size() == 2);
  CHECK(later[0].refusal == Refusal::kDeadline);
  CHECK(later[1].step == Step::kSend);
}

TEST_CASE("a request that would miss its deadline is refused or forwarded") {
  for (const bool shift : {false, true}) {
    Host home(HomeName(), shift ? SteeringHooks() : NoShift());
    for (int round = 0; round < 200; ++round) {
      const DispatchDecision d = home.Offer(1000 + round);
      home.Finish(d, AttemptEnd::kAnswered, kStart, 100);
    }
    for (uint64_t id = 1; id <= 4; ++id)
      home.Offer(id);
    CHECK(home.Offer(5, Hop::kInRegion, kStart, Duration(150)).step ==
          Step::kWait);
    const DispatchDecision late =
        home.Offer(6, Hop::kInRegion, kStart, Duration(140));
    CHECK(late.step == (shift ? Step::kForward : Step::kRefuse));
    CHECK(late.refusal == (shift ? Refusal::kNone : Refusal::kShiftLimit));
    const DispatchDecision crossed =
        home.Offer(7, Hop::kCrossedInRegion, kStart, Duration(140));
    CHECK(crossed.step == Step::kRefuse);
    CHECK(home.Offer(8, Hop::kInRegion, kStart, Duration(0)).refusal ==
          Refusal::kDeadline);
  }
}

TEST_CASE("the queue is bounded") {
  auto fleet = SmallFleet();
  fleet->defaults.max_queue = 3;
  // There is no other region to forward to.
  fleet->regions.resize(1);
  Host home(HomeName(), {}, Policy::kPool, fleet);
  DispatchRequest request{.deadline = kStart + Duration(1'000),
                          .hop = Hop::kInRegion};
  for (; request.id < 7; ++request.id)
    CHECK(home.dispatcher->Offer(request, kStart).step != Step::kRefuse);
  CHECK(home.dispatcher->Offer(request, kStart).refusal == Refusal::kQueueFull);
}

TEST_CASE(
    "requests of other regions are accepted below the region's limit only") {
  auto fleet = SmallFleet();
  fleet->defaults.region_load_limit = 0.75;
  Host home(HomeName(), {}, Policy::kPool, fleet);
  const DispatchDecision first = home.Offer(1, Hop::kCrossed);
  CHECK(first.step == Step::kSend);
  for (uint64_t id = 2; id <= 3; ++id)
    CHECK(home.Offer(id, Hop::kCrossed).step == Step::kSend);
  CHECK(home.Offer(4, Hop::kCrossed).step == Step::kWait);
  CHECK(home.dispatcher->Advance(kStart).empty());
  const DispatchDecision own = home.Offer(5, Hop::kCaller);
  CHECK(own.step == Step::kSend);
  // One slot is free, but the requests in flight are still at the limit.
  home.Finish(own, AttemptEnd::kAnswered, kStart);
  CHECK(home.dispatcher->Advance(kStart).empty());
  home.Finish(first, AttemptEnd::kAnswered, kStart);
  const auto next = home.dispatcher->Advance(kStart);
  REQUIRE(next.size() == 1);
  CHECK(next[0].request_id == 4);
  // The queue of requests of other regions is full: its wait would be too long.
  for (uint64_t id = 6; id <= 9; ++id)
    home.Offer(id, Hop::kCrossed);
  CHECK(home.Offer(10, Hop::kCrossed).refusal == Refusal::kRegionLimit);
}

TEST_CASE("a withdrawn request is not started") {
  Host home(HomeName());
  const DispatchDecision first = home.Offer(1);
  for (uint64_t id = 2; id <= 5; ++id)
    home.Offer(id);
  home.dispatcher->Withdraw(5, kStart);
  home.Finish(first, AttemptEnd::kAnswered, kStart);
  CHECK(home.dispatcher->Advance(kStart).empty());
}

TEST_CASE("a leaving server gets no requests, even after an older report") {
  Host home(HomeName());
  home.dispatcher->OnLoadReport({.server = ServerId("r0-b0"), .leaving = true},
                                kStart);
  home.dispatcher->OnLoadReport(
      {.server = ServerId("r0-b0"), .leaving = false, .age = Duration(10)},
      kStart + Duration(5));
  CHECK(home.Offer(1).server.str() == "r0-b1");
  CHECK(home.Offer(2).server.str() == "r0-b1");
  CHECK(home.Offer(3).step == Step::kWait);
}

}  // namespace toucanknot
