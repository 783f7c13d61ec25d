#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "include/limits/class_shedder.h"
#include "include/limits/link_limiter.h"
#include "include/limits/retry_budget.h"
#include "include/limits/shift_limiter.h"
#include "include/limits/slow_start.h"

namespace toucanknot {
namespace {

constexpr double kBytesPerMsPerMbit = 125;

}  // namespace

TEST_CASE("retries are limited to a share of successes and stop with them") {
  RetryBudget budget(0.1, 3);
  int taken = 0;
  for (int64_t ms = 0; ms < 60'000; ms += 10) {
    // After 20 s every request fails and is retried.
    if (ms < 20'000)
      budget.OnSuccess(Instant(ms));
    taken += budget.TryTake(Instant(ms)) ? 1 : 0;
  }
  // A tenth of 2000 successes, and the floor of the windows after them.
  CHECK(taken >= 200);
  CHECK(taken <= 200 + 3 * 7);
}

TEST_CASE("a retry budget prevents retries from amplifying an outage") {
  // 100 requests a second; all fail and each may be tried three times.
  int naive = 0;
  int limited = 0;
  RetryBudget budget(0.1, 3);
  for (int64_t ms = 0; ms < 10'000; ms += 10) {
    for (int attempt = 0; attempt < 2; ++attempt) {
      ++naive;
      limited += budget.TryTake(Instant(ms)) ? 1 : 0;
    }
  }
  CHECK(naive == 2'000);
  CHECK(limited <= 3);
}

TEST_CASE("a shift grows by at most its share of the traffic per interval") {
  ShiftLimiter limiter(0.1, Duration(1'000));
  std::vector<int> moved(30);
  for (int64_t ms = 0; ms < 30'000; ++ms) {
    const Instant now(ms);
    limiter.OnRequest(now);
    if (ms >= 2'000)
      moved[ms / 1'000] += limiter.TryMove(now) ? 1 : 0;
  }
  for (int i = 1; i < 30; ++i)
    CHECK(moved[i] - moved[i - 1] <= 100);
  // In the end nearly all traffic has moved.
  CHECK(moved[29] >= 900);
}

TEST_CASE("the shift of a fleet stays bounded while callers change hosts") {
  // Seven hosts with a limiter each, whose intervals are not aligned; callers
  // of lost hosts switch to the others. The growth of the sum must be bounded.
  constexpr int kHosts = 7;
  const auto seed = GENERATE(1U, 2U, 3U, 4U, 5U, 6U, 7U, 8U);
  std::mt19937 random(seed);
  std::vector<ShiftLimiter> hosts(kHosts, ShiftLimiter(0.1, Duration(1'000)));
  std::vector<int> moved(40);
  for (int64_t ms = 0; ms < 40'000; ++ms) {
    const int alive = ms < 8'000 ? kHosts : 3;
    for (int i = 0; i < 7; ++i) {
      const auto host = static_cast<size_t>(random() % alive);
      const Instant now(ms + static_cast<int64_t>(host) * 137);
      hosts[host].OnRequest(now);
      if (ms >= 3'000)
        moved[ms / 1'000] += hosts[host].TryMove(now) ? 1 : 0;
    }
  }
  for (int i = 1; i < 40; ++i) {
    INFO("seed " << seed << ", interval " << i);
    CHECK(moved[i] - moved[i - 1] <= 700);
  }
  CHECK(moved[39] >= 6'500);
}

TEST_CASE("a reverted move no longer counts") {
  ShiftLimiter limiter(0.5, Duration(1'000));
  for (int64_t ms = 0; ms < 3'000; ++ms)
    limiter.OnRequest(Instant(ms));
  const Instant now(2'999);
  while (limiter.TryMove(now)) {
  }
  CHECK(limiter.Available(now) == 0);
  limiter.Undo(now);
  CHECK(limiter.Available(now) == 1);
  CHECK(limiter.Moved(now) > 0);
}

TEST_CASE("a service with little traffic can shift too") {
  // Two requests a second, a tenth of which is less than one.
  ShiftLimiter limiter(0.1, Duration(1'000));
  int moved = 0;
  for (int64_t ms = 0; ms < 120'000; ms += 500) {
    limiter.OnRequest(Instant(ms));
    moved += limiter.TryMove(Instant(ms)) ? 1 : 0;
  }
  CHECK(moved > 100);
}

TEST_CASE("a link carries no more than its rate and one burst") {
  std::mt19937_64 random(3);
  for (int round = 0; round < 50; ++round) {
    const auto mbit = static_cast<double>(1 + random() % 300);
    LinkLimiter limiter;
    limiter.SetRates(mbit, mbit, Instant(0));
    const int64_t body = 100 + static_cast<int64_t>(random() % 5'000);
    double out = 0;
    double back = 0;
    const int64_t run_ms = 5'000;
    for (int64_t ms = 0; ms < run_ms; ++ms) {
      for (int i = 0; i < 20; ++i) {
        if (!limiter.TryReserve(body, 2 * body, Instant(ms)))
          break;
        out += static_cast<double>(body);
        // The response is larger or smaller than expected.
        const auto came = static_cast<int64_t>(random() % (4 * body));
        back += static_cast<double>(came);
        limiter.Settle(2 * body, came, Instant(ms));
      }
    }
    const auto span = static_cast<double>(run_ms + LinkBucket::kBurst.ms());
    const double limit = mbit * kBytesPerMsPerMbit * span;
    // The last response may exceed its expected size.
    CHECK(out <= limit);
    CHECK(back <= limit + 2.0 * static_cast<double>(body));
    CHECK(limiter.reserved_bytes() == 0);
  }
}

TEST_CASE("a body larger than the bucket leaves a debt") {
  LinkBucket bucket;
  bucket.SetRate(8, Instant(0));
  CHECK_FALSE(bucket.CanConsume(1, Instant(0)));
  const Instant full(1'000);
  REQUIRE(bucket.CanConsume(1'000'000, full));
  bucket.Consume(1'000'000, full);
  // At 8 Mbit/s the debt of a megabyte lasts for a second.
  CHECK_FALSE(bucket.CanConsume(1, full + Duration(900)));
  CHECK(bucket.CanConsume(1, full + Duration(1'001)));
}

TEST_CASE("a link without a rate carries nothing") {
  LinkLimiter limiter;
  limiter.SetRates(0, 10, Instant(0));
  CHECK_FALSE(limiter.TryReserve(1, 1, Instant(10'000)));
}

TEST_CASE("the estimated response size is above the mean") {
  ResponseSizeEstimate estimate;
  for (int i = 0; i < 500; ++i)
    estimate.OnResponse(i % 2 == 0 ? 1'000 : 3'000);
  CHECK(estimate.Expected() > 3'000);
  CHECK(estimate.Expected() < 6'000);
}

TEST_CASE("a recovered region settles, then its share grows") {
  SlowStart slow_start({.settle = Duration(3'000), .warmup = Duration(10'000)});
  CHECK(slow_start.Share(Instant(0)) == 1);
  slow_start.Update(false, Instant(1'000));
  CHECK(slow_start.Share(Instant(1'000)) == 0);
  slow_start.Update(true, Instant(2'000));
  CHECK(slow_start.Share(Instant(2'000)) == 0);
  slow_start.Update(true, Instant(5'000));
  CHECK(slow_start.Share(Instant(5'000)) == Approx(0.1));
  CHECK(slow_start.Share(Instant(10'000)) == Approx(0.55));
  CHECK(slow_start.Share(Instant(15'000)) == 1);
}

TEST_CASE("a flapping region settles for longer each time") {
  SlowStart slow_start({});
  int changes = 0;
  double last = 1;
  for (int64_t ms = 0; ms < 120'000; ms += 100) {
    // Available for four seconds, unavailable for one.
    slow_start.Update(ms % 5'000 >= 1'000, Instant(ms));
    const double share = slow_start.Share(Instant(ms));
    changes += (share > 0) != (last > 0) ? 1 : 0;
    last = share;
  }
  // Following each change would make 48.
  CHECK(changes <= 6);
}

TEST_CASE("classes are shed in the configured order, the last one never") {
  ClassShedder shedder({"reports", "lookups", "sign-offs"});
  std::map<std::string, int> refused;
  for (int64_t ms = 0; ms < 30'000; ms += 10) {
    const Instant now(ms);
    for (const char* it : {"reports", "lookups", "sign-offs"})
      refused[it] += shedder.Admit(it, now) ? 0 : 1;
    // Lookups find no capacity.
    shedder.OnShort("lookups", now);
  }
  CHECK(refused["reports"] > 2'800);
  CHECK(refused["lookups"] == 0);
  CHECK(refused["sign-offs"] == 0);
  // The shortage reaches the highest class.
  for (int64_t ms = 30'000; ms < 60'000; ms += 10)
    shedder.OnShort("sign-offs", Instant(ms));
  CHECK_FALSE(shedder.Admit("lookups", Instant(60'000)));
  CHECK(shedder.Admit("sign-offs", Instant(60'000)));
  // A shortage of a lower class does not lower the level.
  const double level = shedder.level();
  shedder.OnShort("reports", Instant(60'000));
  shedder.Admit("reports", Instant(60'100));
  CHECK(shedder.level() == level);
}

TEST_CASE("shedding ends gradually when capacity suffices") {
  ClassShedder shedder({"reports", "lookups"});
  for (int64_t ms = 0; ms < 5'000; ms += 10)
    shedder.OnShort("lookups", Instant(ms));
  CHECK(shedder.level() == Approx(1));
  int admitted = 0;
  for (int64_t ms = 5'000; ms < 7'500; ms += 10)
    admitted += shedder.Admit("reports", Instant(ms)) ? 1 : 0;
  CHECK(admitted > 50);
  CHECK(admitted < 200);
  CHECK(shedder.Admit("reports", Instant(11'000)));
  CHECK(shedder.level() == 0);
}

}  // namespace toucanknot
