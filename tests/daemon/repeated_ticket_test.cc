// Repeats of a run-once request that its host cannot look up.

#include "tests/daemon/fleet_fixture.h"

namespace toucanknot {

TEST_CASE("a repeat that a host rejects is not said not to have run") {
  FleetFixture it;
  it.StartAll();
  const std::string ticket = FleetFixture::Ticket(1);
  REQUIRE(FleetFixture::Verdict(FleetFixture::Post(1, "w", ticket)) == "ran");

  SECTION("by a host without a configuration") {
    it.hosts.clear();
    it.fleet.store()->SetDown(true);
    it.StartHost(1);
    const HttpClientResult repeated = FleetFixture::Post(1, "w", ticket);
    INFO(repeated.status << " " << repeated.body);
    CHECK(FleetFixture::Verdict(repeated) == "unknown");
  }
  SECTION("since its service was removed") {
    it.AwaitVersion(it.Change(
        [](FleetConfig& config) { config.services[0].id = ServiceId("x"); }));
    const HttpClientResult repeated = FleetFixture::Post(1, "w", ticket);
    INFO(repeated.status << " " << repeated.body);
    CHECK(FleetFixture::Verdict(repeated) == "unknown");
  }
}

}  // namespace toucanknot
