#include "src/steering/standing_queue.h"

#include <catch2/catch.hpp>

namespace toucanknot {

namespace {

constexpr double kMeanMs = 20;
constexpr double kLong = kMeanMs * StandingQueue::kTargetMeans + 1;
constexpr double kShort = kMeanMs * StandingQueue::kTargetMeans - 1;
const Instant kStart{50'000};

}  // namespace

TEST_CASE("a long wait is allowed for a while, then refused") {
  StandingQueue queue;
  CHECK_FALSE(queue.Refuses(kShort, kMeanMs, kStart));
  const Instant last = kStart + StandingQueue::kPatience;
  CHECK_FALSE(queue.Refuses(kLong, kMeanMs, last));
  CHECK(queue.Refuses(kLong, kMeanMs, last + Duration(1)));
}

TEST_CASE("a queue that stands accepts up to the target and no longer waits") {
  StandingQueue queue;
  CHECK_FALSE(queue.Refuses(kShort, kMeanMs, kStart));
  const Instant later = kStart + StandingQueue::kPatience * 2;
  CHECK(queue.Refuses(kLong, kMeanMs, later));
  CHECK_FALSE(queue.Refuses(kShort, kMeanMs, later));
  CHECK(queue.Refuses(kLong, kMeanMs, later + Duration(1)));
}

TEST_CASE("patience is whole again once the queue has drained") {
  StandingQueue queue;
  CHECK_FALSE(queue.Refuses(kShort, kMeanMs, kStart));
  const Instant later = kStart + StandingQueue::kPatience * 2;
  CHECK(queue.Refuses(kLong, kMeanMs, later));
  CHECK_FALSE(queue.Refuses(0, kMeanMs, later));
  CHECK_FALSE(queue.Refuses(kLong, kMeanMs, later + Duration(1)));
}

}  // namespace toucanknot
