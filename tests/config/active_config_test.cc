#include "include/config/active_config.h"

#include <rapidcheck.h>

#include <algorithm>
#include <boost/json/value.hpp>
#include <catch2/catch.hpp>

#include "include/config/config_text.h"
#include "tests/config/small_fleet.h"

namespace toucanknot {
namespace {

// A valid candidate; different values of `queue` give different texts.
ConfigCandidate OfferOf(uint64_t version, int queue = 7) {
  FleetConfig config = *ParseFleetConfig(kSmallFleet, "test");
  config.defaults.max_queue = queue;
  return MakeConfigCandidate(config, version);
}

}  // namespace

TEST_CASE("a host accepts only higher versions") {
  ActiveConfig holder;
  CHECK(holder.current() == nullptr);
  CHECK(holder.Offer(OfferOf(5), "store", Instant(1)) ==
        ConfigOfferResult::kTaken);
  CHECK(holder.Offer(OfferOf(5), "h-2", Instant(2)) ==
        ConfigOfferResult::kSame);
  CHECK(holder.Offer(OfferOf(4), "h-2", Instant(3)) ==
        ConfigOfferResult::kOlder);
  CHECK(holder.Offer(OfferOf(0), "h-2", Instant(3)) ==
        ConfigOfferResult::kOlder);
  CHECK(holder.since() == Instant(1));
  CHECK(holder.Offer(OfferOf(9, 8), "h-2", Instant(4)) ==
        ConfigOfferResult::kTaken);
  CHECK(holder.current()->version == 9);
  CHECK(holder.current()->defaults.max_queue == 8);
  CHECK(holder.current()->digest == OfferOf(9, 8).digest);
  CHECK(holder.refused().empty());
}

TEST_CASE(
    "a candidate with the version in force and another digest is rejected and "
    "reported") {
  ActiveConfig holder;
  holder.Offer(OfferOf(5), "store", Instant(1));
  for (int i = 0; i < 3; ++i) {
    CHECK(holder.Offer(OfferOf(5, 8), "h-2", Instant(2)) ==
          ConfigOfferResult::kConflicting);
  }
  CHECK(holder.current()->defaults.max_queue == 7);
  REQUIRE(holder.refused().size() == 1);
  CHECK(holder.refused()[0].from == "h-2");
  const auto status = HolderStatus(holder, Instant(10));
  CHECK(status.at("refused").at(0).at("age_ms") == 8);
  CHECK(status.at("version") == 5);
}

TEST_CASE("an invalid candidate leaves the last valid one in force") {
  ActiveConfig holder;
  holder.Offer(OfferOf(1), "store", Instant(1));
  ConfigCandidate cut = OfferOf(2);
  cut.text.pop_back();
  CHECK(holder.Offer(cut, "h-2", Instant(2)) == ConfigOfferResult::kRefused);
  FleetConfig drained = *holder.current();
  drained.defaults.drain = true;
  const ConfigCandidate bad = MakeConfigCandidate(drained, 3);
  CHECK(holder.Wants(3, bad.digest));
  CHECK(holder.Offer(bad, "store", Instant(3)) == ConfigOfferResult::kRefused);
  CHECK_FALSE(holder.Wants(3, bad.digest));
  CHECK(holder.version() == 1);
  REQUIRE(holder.refused().size() == 2);
  CHECK(holder.refused()[1].reason.find("defaults.drain") != std::string::npos);
  for (uint64_t i = 0; i < 20; ++i)
    holder.Offer(MakeConfigCandidate(drained, 10 + i), "store", Instant(4));
  CHECK(holder.refused().size() == 8);
  CHECK(holder.Offer(OfferOf(99), "store", Instant(5)) ==
        ConfigOfferResult::kTaken);
}

TEST_CASE("a store with an older version is reported until it catches up") {
  ActiveConfig holder;
  holder.Offer(OfferOf(7), "store", Instant(1));
  holder.OnStoreVersion(7, Instant(2));
  CHECK_FALSE(holder.regression());
  holder.OnStoreVersion(5, Instant(3));
  holder.OnStoreVersion(6, Instant(4));
  REQUIRE(holder.regression());
  CHECK(holder.regression()->store_version == 6);
  CHECK(holder.regression()->since == Instant(3));
  CHECK(HolderStatus(holder, Instant(5)).at("store_version") == 6);
  holder.OnStoreVersion(8, Instant(5));
  CHECK_FALSE(holder.regression());
}

TEST_CASE(
    "the highest version stays in force whatever the order of candidates") {
  const auto outcome = rc::check([] {
    ActiveConfig holder;
    uint64_t highest = 0;
    const int n = *rc::gen::inRange(1, 10);
    for (int i = 0; i < n; ++i) {
      const auto version = *rc::gen::inRange<uint64_t>(1, 6);
      holder.Offer(OfferOf(version, static_cast<int>(version)), "h",
                   Instant(i));
      highest = std::max(highest, version);
      RC_ASSERT(holder.version() == highest);
    }
  });
  CHECK(outcome);
}

TEST_CASE("a candidate is unchanged after a round trip through JSON") {
  ConfigCandidate offer = OfferOf(3);
  offer.client_parts = {"a", "b"};
  CHECK(ReadConfigCandidate(WriteConfigCandidate(offer), "host") == offer);
  CHECK_THROWS_AS(ReadConfigCandidate("{}", "host"), InvalidConfigError);
}

}  // namespace toucanknot
