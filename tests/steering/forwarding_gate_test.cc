#include "include/steering/forwarding_gate.h"

#include <catch2/catch.hpp>

#include "tests/steering/fleet.h"

namespace toucanknot {
namespace {

const Instant kStart{10'000};
const RegionId kOther{"r1"};

DispatchRequest MakeRequest(uint64_t id, int64_t bytes = 1'000) {
  return {.id = id, .service = ServiceId("s"), .request_bytes = bytes};
}

// Tries to forward one request each millisecond; returns how many the gate
// permits.
int CountForwarded(ForwardingGate& gate, Instant from, int ms, uint64_t* id) {
  int forwarded = 0;
  for (int i = 0; i < ms; ++i) {
    const Instant now = from + Duration(i);
    const DispatchRequest request = MakeRequest(++*id, 100);
    gate.OnRequest(request, now);
    if (gate.TryForward(kOther, request, now) == Refusal::kNone) {
      ++forwarded;
      gate.OnForwardingEnded(request.id, 100, now);
    }
  }
  return forwarded;
}

}  // namespace

TEST_CASE("forwarding needs a configuration and a known region") {
  ForwardingGate gate{HostId("r0-h0")};
  CHECK(gate.TryForward(kOther, MakeRequest(1), kStart) == Refusal::kLinkLimit);
  gate.OnConfig(SmallFleet(), 0, kStart);
  CHECK(gate.TryForward(RegionId("r9"), MakeRequest(1), kStart) ==
        Refusal::kLinkLimit);
  CHECK(gate.in_flight() == 0);
}

TEST_CASE("shifted requests grow by at most the share in each interval") {
  ForwardingGate gate{HostId("r0-h0")};
  gate.OnConfig(SmallFleet(), 0, kStart);
  uint64_t id = 0;
  int before = 0;
  for (int second = 0; second < 8; ++second) {
    const Instant from = kStart + Duration::Seconds(second);
    const int forwarded = CountForwarded(gate, from, 1'000, &id);
    CHECK(forwarded <= before + 100);
    before = forwarded;
  }
  // The shift does grow.
  CHECK(before > 100);
}

TEST_CASE("forwarded bytes stay within this host's share of the link") {
  auto fleet = SmallFleet();
  fleet->defaults.shift_share = 1;
  ForwardingGate gate{HostId("r0-h0")};
  gate.OnConfig(fleet, 0, kStart);
  // Each of two hosts owns half of 300 Mbit/s, a quarter of it for request
  // bodies.
  const double limit = 300e6 / 8 / 2 * fleet->defaults.link_load_limit * 0.25;
  int64_t bytes = 0;
  uint64_t id = 0;
  for (int ms = 0; ms < 3'000; ++ms) {
    const Instant now = kStart + Duration(ms);
    for (int i = 0; i < 4; ++i) {
      const DispatchRequest request = MakeRequest(++id, 20'000);
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

TEST_CASE("a forwarded request stays reserved until it ends") {
  auto fleet = SmallFleet();
  fleet->defaults.shift_share = 1;
  ForwardingGate gate{HostId("r0-h0")};
  gate.OnConfig(fleet, 0, kStart);
  uint64_t id = 0;
  for (int ms = 0; ms < 2'000; ++ms)
    gate.OnRequest(MakeRequest(++id), kStart + Duration(ms));
  const Instant now = kStart + Duration(2'000);
  const DispatchRequest request = MakeRequest(++id, 100);
  REQUIRE(gate.TryForward(kOther, request, now) == Refusal::kNone);
  CHECK(gate.in_flight() == 1);
  gate.OnForwardingEnded(request.id, 100, now);
  CHECK(gate.in_flight() == 0);
  gate.OnForwardingEnded(request.id, 100, now);
  CHECK(gate.in_flight() == 0);
}

}  // namespace toucanknot
