#include "include/steering/forwarding_gate.h"

#include <catch2/catch.hpp>

#include "tests/steering/fleet.h"

namespace toucanknot {
namespace {

const Instant kStart{10'000};
const RegionId kOther{"r1"};

DispatchRequest Item(uint64_t id, int64_t bytes = 1'000) {
  return {.id = id, .service = ServiceId("s"), .request_bytes = bytes};
}

// Requests at the gate, all of which ask to pass; how many may.
int PassIn(ForwardingGate& gate, Instant from, int ms, uint64_t* id) {
  int passed = 0;
  for (int i = 0; i < ms; ++i) {
    const Instant now = from + Duration(i);
    const DispatchRequest request = Item(++*id, 100);
    gate.OnRequest(request, now);
    if (gate.TryForward(kOther, request, now) == Refusal::kNone) {
      ++passed;
      gate.OnForwardingEnded(request.id, 100, now);
    }
  }
  return passed;
}

}  // namespace

TEST_CASE("nothing passes without a configuration or to an unknown region") {
  ForwardingGate gate{HostId("r0-h0")};
  CHECK(gate.TryForward(kOther, Item(1), kStart) == Refusal::kLinkLimit);
  gate.OnConfig(SmallFleet(), 0, kStart);
  CHECK(gate.TryForward(RegionId("r9"), Item(1), kStart) ==
        Refusal::kLinkLimit);
  CHECK(gate.under_way() == 0);
}

TEST_CASE("a shift grows by its share of the requests in each interval") {
  ForwardingGate gate{HostId("r0-h0")};
  gate.OnConfig(SmallFleet(), 0, kStart);
  uint64_t id = 0;
  int before = 0;
  for (int second = 0; second < 8; ++second) {
    const Instant from = kStart + Duration::Seconds(second);
    const int passed = PassIn(gate, from, 1'000, &id);
    CHECK(passed <= before + 100);
    before = passed;
  }
  // It does grow.
  CHECK(before > 100);
}

TEST_CASE("bytes under way stay under this host's share of the link") {
  auto fleet = SmallFleet();
  fleet->defaults.shift_share = 1;
  ForwardingGate gate{HostId("r0-h0")};
  gate.OnConfig(fleet, 0, kStart);
  // Half of 300 Mbit/s for each of two hosts, a quarter of it for bodies.
  const double limit = 300e6 / 8 / 2 * fleet->defaults.link_load_limit * 0.25;
  int64_t bytes = 0;
  uint64_t id = 0;
  for (int ms = 0; ms < 3'000; ++ms) {
    const Instant now = kStart + Duration(ms);
    for (int i = 0; i < 4; ++i) {
      const DispatchRequest request = Item(++id, 20'000);
      gate.OnRequest(request, now);
      if (gate.TryForward(kOther, request, now) != Refusal::kNone)
        continue;
      bytes += request.request_bytes;
      gate.OnForwardingEnded(request.id, 100, now);
    }
  }
  const double seconds = 3 + LinkBucket::kBurst.seconds();
  CHECK(static_cast<double>(bytes) <= limit * seconds);
  CHECK(bytes > 0);
}

TEST_CASE("what passed is held until it ends") {
  auto fleet = SmallFleet();
  fleet->defaults.shift_share = 1;
  ForwardingGate gate{HostId("r0-h0")};
  gate.OnConfig(fleet, 0, kStart);
  uint64_t id = 0;
  for (int ms = 0; ms < 2'000; ++ms)
    gate.OnRequest(Item(++id), kStart + Duration(ms));
  const Instant now = kStart + Duration(2'000);
  const DispatchRequest request = Item(++id, 100);
  REQUIRE(gate.TryForward(kOther, request, now) == Refusal::kNone);
  CHECK(gate.under_way() == 1);
  gate.OnForwardingEnded(request.id, 100, now);
  CHECK(gate.under_way() == 0);
  gate.OnForwardingEnded(request.id, 100, now);
  CHECK(gate.under_way() == 0);
}

}  // namespace toucanknot
