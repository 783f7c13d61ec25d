// Selection of hosts for callers: the share of each host by zone and capacity.

#include "include/entry/host_choice.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <string>

namespace toucanknot {
namespace {

constexpr int kCallers = 2'000;

// Hosts in the zones of a region "r".
class HostChoiceFixture {
 public:
  void Add(const std::string& zone, int64_t capacity) {
    HostRecord record;
    record.host = HostId("h" + std::to_string(records_.size()));
    record.zone = ZoneId(zone);
    record.callers = {"10.0.0.1", static_cast<uint16_t>(records_.size() + 1)};
    record.capacity = capacity;
    records_.push_back(record);
    candidates_.push_back({&records_.back(), RegionId("r")});
  }
  std::vector<Endpoint> Choose(const std::string& zone, int caller) const {
    const std::string address = "10.9.0." + std::to_string(caller);
    return ChooseHosts(candidates_, {RegionId("r"), ZoneId(zone), address},
                       zones_);
  }
  // Fraction of the callers of `zone` whose first host is in each zone.
  std::map<std::string, double> Shares(const std::string& zone) const {
    std::map<std::string, double> shares;
    for (int i = 0; i < kCallers; ++i) {
      const std::vector<Endpoint> chosen = Choose(zone, i);
      REQUIRE(chosen.size() == 2);
      CHECK(chosen[0].port != chosen[1].port);
      shares[records_[chosen[0].port - 1].zone.str()] += 1.0 / kCallers;
    }
    return shares;
  }
  void set_zones(int n) { zones_ = n; }

 private:
  int zones_ = 3;
  std::deque<HostRecord> records_;
  std::vector<HostCandidate> candidates_;
};

}  // namespace

TEST_CASE("callers stay in a zone with its fair share of the capacity") {
  HostChoiceFixture it;
  for (const char* zone : {"a", "b", "c"}) {
    it.Add(zone, 100);
    it.Add(zone, 20);
    it.Add(zone, 20);
  }
  for (const char* zone : {"a", "b", "c"})
    CHECK(it.Shares(zone)[zone] == Approx(1));
}

TEST_CASE("a weak zone keeps the callers that it can carry") {
  HostChoiceFixture it;
  // "a" has a quarter of its fair share.
  it.Add("a", 10);
  it.Add("a", 10);
  for (const char* zone : {"b", "c"}) {
    it.Add(zone, 55);
    it.Add(zone, 55);
  }
  std::map<std::string, double> shares = it.Shares("a");
  CHECK(shares["a"] > 0.2);
  CHECK(shares["a"] < 0.4);
  CHECK(shares["b"] == Approx(shares["c"]).margin(0.08));
  CHECK(it.Shares("b")["b"] == Approx(1));
}

TEST_CASE("the callers of a lost zone go to the others, by capacity") {
  HostChoiceFixture it;
  it.Add("b", 100);
  it.Add("b", 100);
  it.Add("c", 50);
  it.Add("c", 50);
  std::map<std::string, double> shares = it.Shares("a");
  CHECK(shares["b"] == Approx(2 * shares["c"]).margin(0.1));
  // A zone with all of the remaining capacity keeps its own callers.
  CHECK(it.Shares("b")["b"] == Approx(1));
}

TEST_CASE("callers of a zone with one host get a second one elsewhere") {
  HostChoiceFixture it;
  it.set_zones(2);
  it.Add("a", 100);
  it.Add("b", 100);
  for (int i = 0; i < 20; ++i)
    CHECK(it.Choose("a", i).size() == 2);
}

TEST_CASE("a leaving host moves only its own callers") {
  HostChoiceFixture whole;
  HostChoiceFixture without;
  for (int i = 0; i < 6; ++i)
    whole.Add("a", 50);
  for (int i = 0; i < 5; ++i)
    without.Add("a", 50);
  for (int i = 0; i < kCallers; ++i) {
    const uint16_t before = whole.Choose("a", i)[0].port;
    const uint16_t after = without.Choose("a", i)[0].port;
    CHECK((before == after || before == 6));
  }
}

}  // namespace toucanknot
