#include "src/standin/memory_store.h"

#include <catch2/catch.hpp>

namespace toucanknot {

TEST_CASE("a compare-and-swap takes effect only at the expected revision") {
  MemoryStore store;
  CHECK_FALSE(store.Get("k"));
  CHECK_FALSE(store.CompareAndSwap("k", 1, "a").swapped);
  CHECK(store.CompareAndSwap("k", 0, "a").revision == 1);
  const SwapResult second = store.CompareAndSwap("k", 0, "b");
  CHECK_FALSE(second.swapped);
  CHECK(second.revision == 1);
  CHECK(store.Get("k")->data == "a");
  CHECK_THROWS_AS(store.CompareAndSwap("k", 1, std::string(1'048'577, 'x')),
                  StoreUnavailableError);
}

TEST_CASE(
    "a lost response leaves the outcome unknown, with and without effect") {
  MemoryStore store;
  store.LoseResponses(1, LostResponse::kBeforeEffect);
  CHECK_THROWS_AS(store.CompareAndSwap("k", 0, "a"), StoreOutcomeUnknownError);
  CHECK_FALSE(store.Get("k"));
  store.LoseResponses(1, LostResponse::kAfterEffect);
  CHECK_THROWS_AS(store.CompareAndSwap("k", 0, "a"), StoreOutcomeUnknownError);
  CHECK(store.Get("k")->revision == 1);
  store.SetDown(true);
  CHECK_THROWS_AS(store.CompareAndSwap("k", 1, "a"), StoreUnavailableError);
  CHECK_THROWS_AS(store.Watch("k", 1, Duration(1)), StoreUnavailableError);
}

TEST_CASE(
    "a watch returns a different revision at once and counts as one call") {
  MemoryStore store;
  store.CompareAndSwap("k", 0, "a");
  CHECK(store.Watch("k", 0, Duration::Seconds(60))->data == "a");
  CHECK_FALSE(store.Watch("k", 1, Duration(0)));
  CHECK(store.calls().watches == 2);
  CHECK(store.calls().All() == 3);
  store.Restore({});
  CHECK(store.Watch("k", 1, Duration::Seconds(60))->revision == 0);
}

TEST_CASE("a lease has one holder and gets a new epoch after it expired") {
  Instant now;
  MemoryStore store([&] { return now; });
  CHECK(store.AcquireLease("l", "a", Duration(10)).epoch == 1);
  CHECK(store.AcquireLease("l", "a", Duration(10)).epoch == 1);
  const LeaseResult other = store.AcquireLease("l", "b", Duration(10));
  CHECK_FALSE(other.granted);
  CHECK(other.holder == "a");
  now = now + Duration(10);
  CHECK(store.AcquireLease("l", "b", Duration(10)).epoch == 2);
  now = now + Duration(10);
  CHECK(store.AcquireLease("l", "b", Duration(10)).epoch == 3);
}

TEST_CASE("the host list is delayed, and Restore() reverts the keys") {
  Instant now;
  MemoryStore store([&] { return now; });
  store.SetHostLag(Duration(5));
  store.SetHosts({{"h-1"}});
  now = now + Duration(10);
  store.SetHosts({{"h-1", true}});
  CHECK_FALSE(store.Hosts()[0].leaving);
  now = now + Duration(5);
  CHECK(store.Hosts()[0].leaving);

  store.CompareAndSwap("a/1", 0, "x");
  const auto snapshot = store.TakeSnapshot();
  store.CompareAndSwap("a/1", 1, "y");
  store.CompareAndSwap("b", 0, "z");
  CHECK(store.List("a/") == std::vector<std::string>{"a/1"});
  store.Restore(snapshot);
  CHECK(store.Get("a/1")->data == "x");
  CHECK_FALSE(store.Get("b"));
}

}  // namespace toucanknot
