#include "src/steering/standing_queue.h"

#include <catch2/catch.hpp>

namespace toucanknot {

namespace {

constexpr double kMeanMs = 20;
constexpr double kLong = kMeanMs * StandingQueue::kTargetWaitMeans + 1;
constexpr double kShort = kMeanMs * StandingQueue::kTargetWaitMeans - 1;
const Instant kStart{50'000};

}  // namespace

TEST_CASE("a long wait is allowed for the grace period, then refused") {
  StandingQueue queue;
  CHECK_FALSE(queue.ShouldRefuse(kShort, kMeanMs, kStart));
  const Instant last = kStart + StandingQueue::kGracePeriod;
  CHECK_FALSE(queue.ShouldRefuse(kLong, kMeanMs, last));
  CHECK(queue.ShouldRefuse(kLong, kMeanMs, last + Duration(1)));
}

TEST_CASE("a standing queue accepts waits up to the target only") {
  StandingQueue queue;
  CHECK_FALSE(queue.ShouldRefuse(kShort, kMeanMs, kStart));
  const Instant later = kStart + StandingQueue::kGracePeriod * 2;
  CHECK(queue.ShouldRefuse(kLong, kMeanMs, later));
  CHECK_FALSE(queue.ShouldRefuse(kShort, kMeanMs, later));
  CHECK(queue.ShouldRefuse(kLong, kMeanMs, later + Duration(1)));
}

TEST_CASE("a drained queue gets a full grace period again") {
  StandingQueue queue;
  CHECK_FALSE(queue.ShouldRefuse(kShort, kMeanMs, kStart));
  const Instant later = kStart + StandingQueue::kGracePeriod * 2;
  CHECK(queue.ShouldRefuse(kLong, kMeanMs, later));
  CHECK_FALSE(queue.ShouldRefuse(0, kMeanMs, later));
  CHECK_FALSE(queue.ShouldRefuse(kLong, kMeanMs, later + Duration(1)));
}

}  // namespace toucanknot
