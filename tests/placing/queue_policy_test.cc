// Rules for requests that find no free slot.

#include "include/placing/queue_policy.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace toucanknot {

TEST_CASE("queued requests leave by priority, then in time, then arrival") {
  std::vector<QueueRank> queue{
      {1, false, 1}, {0, true, 2}, {0, false, 4}, {0, false, 3}, {1, true, 0}};
  std::sort(queue.begin(), queue.end());
  CHECK(queue == std::vector<QueueRank>{{0, false, 3},
                                        {0, false, 4},
                                        {0, true, 2},
                                        {1, false, 1},
                                        {1, true, 0}});
}

TEST_CASE("a late request does not queue at a server, one in time does") {
  CHECK(MaxAtServer(4, true, false) == 4);
  CHECK(MaxAtServer(4, true, true) == 4);
  CHECK(MaxAtServer(4, false, false) > 5);
  CHECK(MaxAtServer(4, false, true) == 5);
  CHECK(MaxAtServer(1, false, false) > 1);
}

TEST_CASE("a first attempt waits for its target, a returned one longer") {
  constexpr double kToTarget = 200;
  constexpr double kToDeadline = 1'800;
  CHECK(UsefulTimeLeft(kToTarget, kToDeadline, true, false) == kToTarget);
  CHECK(UsefulTimeLeft(kToTarget, kToDeadline, true, true) == kToDeadline);
  CHECK(UsefulTimeLeft(kToTarget, kToDeadline, false, false) == kToDeadline);
  // A target beyond the deadline does not extend it.
  CHECK(UsefulTimeLeft(3'000, kToDeadline, true, false) == kToDeadline);
}

TEST_CASE("late requests fetch objects only at the first server of the order") {
  CHECK(MayFetch(true, 2, true, true));
  CHECK(MayFetch(false, 0, true, true));
  CHECK_FALSE(MayFetch(false, 1, true, true));
  CHECK(MayFetch(false, 1, false, true));
  CHECK(MayFetch(false, 1, true, false));
}

TEST_CASE("returned callers are refused at once under a lasting overload") {
  ReturnedServed served;
  CHECK(served.IsLikely());
  for (int i = 0; i < 10; ++i)
    served.OnLeftQueue(false);
  CHECK_FALSE(served.IsLikely());
  // Some are queued again, and all once these are served.
  int refused = 0;
  while (!served.IsLikely() && refused < 1'000) {
    served.OnRefusedAtOnce();
    ++refused;
  }
  CHECK(refused < 50);
  for (int i = 0; i < 10; ++i)
    served.OnLeftQueue(true);
  CHECK(served.IsLikely());
}

TEST_CASE("the wait is that of the requests ahead at the slots in use") {
  CHECK(QueueWaitMs(7, 4, 100) == 200);
  CHECK(QueueWaitMs(0, 0, 100) == 100);
}

}  // namespace toucanknot
