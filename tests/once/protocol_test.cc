#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "bench/once/explorer_model.h"
#include "bench/once/schedule_model.h"

namespace toucanknot::bench {
namespace {

constexpr size_t kMaxStates = 400'000;
constexpr uint64_t kSeed = 4'000'000'000;
constexpr Design kTicketDesigns[] = {Design::kTickets,
                                     Design::kTicketsWithWitness};

// Repeats, a death and a restart, expiry and a graceful stop in one model.
WorldOptions SmallWorld(Design design) {
  WorldOptions options;
  options.design = design;
  options.kills = 1;
  options.restarts = 1;
  options.ticks = 4;
  options.refuses = true;
  options.losses = false;
  return options;
}

}  // namespace

TEST_CASE("no interleaving runs a request twice or reports not run falsely") {
  for (const Design design : kTicketDesigns) {
    const Exploration found = Explore(SmallWorld(design), kMaxStates);
    INFO(kDesignNames.Name(design) << ": " << Describe(found.trace));
    CHECK(found.complete);
    CHECK(found.violation == Violation::kNone);
  }
}

TEST_CASE("nor does any interleaving with forwarding or a graceful stop") {
  for (const Design design : kTicketDesigns) {
    WorldOptions forwards;
    forwards.design = design;
    forwards.forwards = 2;
    forwards.requests = 1;
    forwards.kills = 1;
    forwards.refuses = true;
    forwards.losses = false;
    WorldOptions stops = SmallWorld(design);
    stops.ticks = 0;
    stops.closes = 1;
    for (const WorldOptions& it : {forwards, stops}) {
      const Exploration found = Explore(it, kMaxStates);
      INFO(kDesignNames.Name(design) << ": " << Describe(found.trace));
      CHECK(found.complete);
      CHECK(found.violation == Violation::kNone);
    }
  }
}

TEST_CASE("the explorer finds every injected fault") {
  struct InjectedFault {
    Fault fault;
    Design design;
    Violation violation;
    int forwards = 0;
  };
  const InjectedFault all[] = {
      {Fault::kVoidNotRecorded, Design::kTickets, Violation::kFalseNotRun},
      {Fault::kExpiredIsNotRun, Design::kTickets, Violation::kFalseNotRun},
      {Fault::kEarlierIncarnationIsNotRun, Design::kTickets,
       Violation::kFalseNotRun},
      {Fault::kNoClaim, Design::kTicketsWithWitness, Violation::kFalseNotRun},
      {Fault::kSendsAgain, Design::kTickets, Violation::kDoubled},
      {Fault::kForwardVoidNotRecorded, Design::kTickets, Violation::kDoubled,
       2},
  };
  for (const InjectedFault& it : all) {
    WorldOptions options = SmallWorld(it.design);
    options.fault = it.fault;
    options.forwards = it.forwards;
    INFO(kFaultNames.Name(it.fault));
    CHECK(Explore(options, kMaxStates).violation == it.violation);
  }
}

TEST_CASE("random schedules of every design keep the invariants") {
  for (size_t i = 0; i < kDesignNames.names.size(); ++i) {
    const auto design = static_cast<Design>(i);
    INFO(kDesignNames.Name(design));
    for (const WorldOptions& it :
         {FaultyWorld(design), OneDeathWorld(design)}) {
      const ScheduleSummary sum = RunSchedules(it, kSeed, 2'000);
      CHECK(sum.bad_seeds.empty());
      CHECK(sum.disturbed > sum.schedules / 2);
    }
  }
}

TEST_CASE("random schedules find a void that is not recorded") {
  WorldOptions options = FaultyWorld(Design::kTickets);
  options.fault = Fault::kVoidNotRecorded;
  CHECK(RunSchedules(options, kSeed, 2'000).false_refusals > 0);
}

TEST_CASE("deployments of any shape keep the invariants") {
  rc::check("no doubled run, no false verdict", [] {
    WorldOptions options = FaultyWorld(kTicketDesigns[*rc::gen::inRange(0, 2)]);
    options.hosts = *rc::gen::inRange(2, 6);
    options.zones = *rc::gen::inRange(1, 4);
    options.servers = *rc::gen::inRange(1, 4);
    options.requests = *rc::gen::inRange(1, 8);
    options.closes = *rc::gen::inRange(0, 3);
    options.sensible_caller = *rc::gen::arbitrary<bool>();
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    const ScheduleEnd end = RunSchedule(options, seed);
    RC_ASSERT(end.violation == Violation::kNone);
  });
}

}  // namespace toucanknot::bench
