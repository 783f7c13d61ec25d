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
ConfigCandidate CandidateOf(uint64_t version, int queue = 7) {
  FleetConfig config = *ParseFleetConfig(kSmallFleet, "test");
  config.defaults.max_queue = queue;
  return MakeConfigCandidate(config, version);
}

}  // namespace

TEST_CASE("a host accepts only higher versions") {
  ActiveConfig active;
  CHECK(active.current() == nullptr);
  CHECK(active.Offer(CandidateOf(5), "store", Instant(1)) ==
        ConfigOfferResult::kAccepted);
  CHECK(active.Offer(CandidateOf(5), "h-2", Instant(2)) ==
        ConfigOfferResult::kSame);
  CHECK(active.Offer(CandidateOf(4), "h-2", Instant(3)) ==
        ConfigOfferResult::kOlder);
  CHECK(active.Offer(CandidateOf(0), "h-2", Instant(3)) ==
        ConfigOfferResult::kOlder);
  CHECK(active.since() == Instant(1));
  CHECK(active.Offer(CandidateOf(9, 8), "h-2", Instant(4)) ==
        ConfigOfferResult::kAccepted);
  CHECK(active.current()->version == 9);
  CHECK(active.current()->defaults.max_queue == 8);
  CHECK(active.current()->digest == CandidateOf(9, 8).digest);
  CHECK(active.rejected().empty());
}

TEST_CASE(
    "a candidate with the version in force and another digest is rejected and "
    "reported") {
  ActiveConfig active;
  active.Offer(CandidateOf(5), "store", Instant(1));
  for (int i = 0; i < 3; ++i) {
    CHECK(active.Offer(CandidateOf(5, 8), "h-2", Instant(2)) ==
          ConfigOfferResult::kConflicting);
  }
  CHECK(active.current()->defaults.max_queue == 7);
  REQUIRE(active.rejected().size() == 1);
  CHECK(active.rejected()[0].from == "h-2");
  const auto status = ActiveConfigStatus(active, Instant(10));
  CHECK(status.at("refused").at(0).at("age_ms") == 8);
  CHECK(status.at("version") == 5);
}

TEST_CASE("an invalid candidate leaves the last valid one in force") {
  ActiveConfig active;
  active.Offer(CandidateOf(1), "store", Instant(1));
  ConfigCandidate cut = CandidateOf(2);
  cut.text.pop_back();
  CHECK(active.Offer(cut, "h-2", Instant(2)) == ConfigOfferResult::kRejected);
  FleetConfig drained = *active.current();
  drained.defaults.drain = true;
  const ConfigCandidate bad = MakeConfigCandidate(drained, 3);
  CHECK(active.Wants(3, bad.digest));
  CHECK(active.Offer(bad, "store", Instant(3)) == ConfigOfferResult::kRejected);
  CHECK_FALSE(active.Wants(3, bad.digest));
  CHECK(active.version() == 1);
  REQUIRE(active.rejected().size() == 2);
  CHECK(active.rejected()[1].reason.find("defaults.drain") !=
        std::string::npos);
  for (uint64_t i = 0; i < 20; ++i)
    active.Offer(MakeConfigCandidate(drained, 10 + i), "store", Instant(4));
  CHECK(active.rejected().size() == 8);
  CHECK(active.Offer(CandidateOf(99), "store", Instant(5)) ==
        ConfigOfferResult::kAccepted);
}

TEST_CASE("a store with an older version is reported until it catches up") {
  ActiveConfig active;
  active.Offer(CandidateOf(7), "store", Instant(1));
  active.OnStoreVersion(7, Instant(2));
  CHECK_FALSE(active.regression());
  active.OnStoreVersion(5, Instant(3));
  active.OnStoreVersion(6, Instant(4));
  REQUIRE(active.regression());
  CHECK(active.regression()->store_version == 6);
  CHECK(active.regression()->since == Instant(3));
  CHECK(ActiveConfigStatus(active, Instant(5)).at("store_version") == 6);
  active.OnStoreVersion(8, Instant(5));
  CHECK_FALSE(active.regression());
}

TEST_CASE(
    "the highest version stays in force whatever the order of candidates") {
  const auto outcome = rc::check([] {
    ActiveConfig active;
    uint64_t highest = 0;
    const int n = *rc::gen::inRange(1, 10);
    for (int i = 0; i < n; ++i) {
      const auto version = *rc::gen::inRange<uint64_t>(1, 6);
      active.Offer(CandidateOf(version, static_cast<int>(version)), "h",
                   Instant(i));
      highest = std::max(highest, version);
      RC_ASSERT(active.version() == highest);
    }
  });
  CHECK(outcome);
}

TEST_CASE("a candidate is unchanged after a round trip through JSON") {
  ConfigCandidate candidate = CandidateOf(3);
  candidate.client_parts = {"a", "b"};
  CHECK(ReadConfigCandidate(WriteConfigCandidate(candidate), "host") ==
        candidate);
  CHECK_THROWS_AS(ReadConfigCandidate("{}", "host"), InvalidConfigError);
}

}  // namespace toucanknot
