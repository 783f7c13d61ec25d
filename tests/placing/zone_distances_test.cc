#include "include/placing/zone_distances.h"

#include <catch2/catch.hpp>

#include "include/placing/local_fill.h"

namespace toucanknot {
namespace {

const ZoneId kFar("far");

}  // namespace

TEST_CASE("distances follow the time that connections take") {
  ZoneDistances distances;
  CHECK(distances.RttMs(kFar, 40) == 40);
  distances.OnConnected(kFar, Duration(120));
  CHECK(distances.RttMs(kFar, 40) == 120);
  CHECK(distances.RttMs(ZoneId("other"), 40) == 40);
}

TEST_CASE("a lost packet hardly changes a distance, and a shorter way does") {
  ZoneDistances distances;
  distances.OnConnected(kFar, Duration(40));
  distances.OnConnected(kFar, Duration(1'040));
  CHECK(distances.RttMs(kFar, 0) < 45);
  for (int i = 0; i < 5; ++i)
    distances.OnConnected(kFar, Duration(20));
  CHECK(distances.RttMs(kFar, 0) < 22);
}

TEST_CASE("a first connection that took too long is corrected") {
  ZoneDistances distances;
  distances.OnConnected(kFar, Duration(1'000));
  for (int i = 0; i < 8; ++i)
    distances.OnConnected(kFar, Duration(40));
  CHECK(distances.RttMs(kFar, 0) < 45);
}

TEST_CASE("absurd connection times leave a finite distance") {
  ZoneDistances distances;
  distances.OnConnected(kFar, Duration(-7));
  CHECK(distances.RttMs(kFar, 40) == 0);
  distances.OnConnected(kFar, Duration::Max());
  CHECK(distances.RttMs(kFar, 40) < 1);
}

TEST_CASE("the further the others, the fuller the own servers may be") {
  constexpr double kServiceMs = 100;
  CHECK(MaxLocalFill(0, kServiceMs) == 0);
  CHECK(MaxLocalFill(-5, kServiceMs) == 0);
  CHECK(MaxLocalFill(40, kServiceMs) > MaxLocalFill(3, kServiceMs));
  CHECK(MaxLocalFill(120, kServiceMs) > MaxLocalFill(40, kServiceMs));
  CHECK(MaxLocalFill(10'000, kServiceMs) < 1);
  // Longer requests gain less from a short way.
  CHECK(MaxLocalFill(40, 400) < MaxLocalFill(40, kServiceMs));
  CHECK(MaxLocalFill(40, 0) < 1);
}

}  // namespace toucanknot
