#include "include/daemon/host_daemon.h"

#include "tests/daemon/fleet_fixture.h"

namespace toucanknot {

TEST_CASE("a run-once request runs once even if repeated at other hosts") {
  FleetFixture it;
  it.StartAll();
  const std::string ticket = FleetFixture::Ticket(1);
  const HttpClientResult first = FleetFixture::Post(1, "w1", ticket);
  REQUIRE(FleetFixture::Verdict(first) == "ran");
  for (const int n : {1, 2, 3}) {
    const HttpClientResult again = FleetFixture::Post(n, "w1", ticket);
    CHECK(FleetFixture::Verdict(again) == "ran");
    CHECK(again.body == first.body);
  }
  CHECK(it.fleet.ledger().RunsOf("w1") == 1);
  const HttpClientResult other = FleetFixture::Post(1, "w1", ticket, "changed");
  CHECK(other.status == 422);
  CHECK(it.fleet.ledger().RunsOf("w1") == 1);
}

TEST_CASE("a ticket first used at another host is voided at its owner") {
  FleetFixture it;
  it.StartAll();
  const std::string ticket = FleetFixture::Ticket(1);
  const HttpClientResult elsewhere = FleetFixture::Post(2, "w2", ticket);
  CHECK(FleetFixture::Verdict(elsewhere) == "not-run");
  CHECK(FleetFixture::Verdict(FleetFixture::Post(1, "w2", ticket)) ==
        "not-run");
  CHECK(it.fleet.ledger().RunsOf("w2") == 0);
  const std::string new_ticket = elsewhere.Field(kTicketHeader);
  CHECK(FleetFixture::Verdict(FleetFixture::Post(2, "w2", new_ticket)) ==
        "ran");
  CHECK(it.fleet.ledger().RunsOf("w2") == 1);
}

TEST_CASE(
    "a missing or forged ticket or a forged forwarding token runs nothing") {
  FleetFixture it;
  it.StartAll();
  const HttpClientResult none = FleetFixture::Post(1, "w3", "");
  CHECK(none.status == 428);
  CHECK(FleetFixture::Verdict(none) == "not-run");
  std::string forged = FleetFixture::Ticket(1);
  forged.back() = forged.back() == '0' ? '1' : '0';
  CHECK(FleetFixture::Post(1, "w3", forged).status == 400);
  HttpClientRequest request;
  request.target = "/v1/services/jobs/x";
  request.fields = {{kForwardingHeader, "serve;in-region;h2;1;0;0;1;00"}};
  CHECK(FleetFixture::Send(1, request).status == 403);
  CHECK(it.fleet.ledger().CountDistinct() == 0);
}

TEST_CASE("the tickets of a gracefully stopped host keep a definite outcome") {
  FleetFixture it;
  it.StartAll();
  const std::string used = FleetFixture::Ticket(1);
  const std::string unused = FleetFixture::Ticket(1);
  REQUIRE(FleetFixture::Verdict(FleetFixture::Post(1, "w4", used)) == "ran");
  it.hosts[1]->BeginStop();
  REQUIRE(it.hosts[1]->WaitStopped());
  it.hosts.erase(1);
  CHECK(FleetFixture::Verdict(FleetFixture::Post(2, "w4", used)) == "ran");
  CHECK(FleetFixture::Verdict(FleetFixture::Post(3, "w5", unused)) ==
        "not-run");
  CHECK(it.fleet.ledger().RunsOf("w4") == 1);
  CHECK(it.fleet.ledger().RunsOf("w5") == 0);
  const std::string lookup =
      FleetFixture::Get(2, "/v1/lookup?service=jobs").body;
  CHECK(lookup.find("\"h1\"") == std::string::npos);
}

TEST_CASE("a ticket of a killed owner has an unknown outcome and never runs") {
  FleetFixture it;
  it.StartAll();
  const std::string ticket = FleetFixture::Ticket(1);
  it.hosts.erase(1);
  CHECK(FleetFixture::Verdict(FleetFixture::Post(2, "w6", ticket)) ==
        "unknown");
  CHECK(it.fleet.ledger().RunsOf("w6") == 0);
  it.StartHost(1);
  it.AwaitVersion(1);
  CHECK(FleetFixture::Verdict(FleetFixture::Post(1, "w6", ticket)) ==
        "unknown");
  CHECK(it.fleet.ledger().RunsOf("w6") == 0);
}

TEST_CASE(
    "a host started while the store is down gets its config from a seed") {
  FleetFixture it;
  it.StartHost(1);
  it.AwaitVersion(1);
  it.fleet.store()->SetDown(true);
  it.StartHost(2, {1});
  it.AwaitVersion(1);
  CHECK(it.hosts[2]->ConfigVersion() == 1);
}

TEST_CASE(
    "an active configuration does not revert when the store is restored") {
  FleetFixture it;
  it.StartAll();
  const auto snapshot = it.fleet.store()->TakeSnapshot();
  const uint64_t version = it.Change([](FleetConfig& config) {
    config.defaults.lookup_lifetime = Duration(1'234);
  });
  it.AwaitVersion(version);
  it.fleet.store()->Restore(snapshot);
  it.StartHost(2);
  FleetFixture::WaitUntil(
      [&] { return it.hosts[2]->ConfigVersion() >= version; });
  for (const auto& [n, host] : it.hosts)
    CHECK(host->ConfigVersion() == version);
}

TEST_CASE("a drained backend server gets no new requests") {
  FleetFixture it;
  it.StartAll();
  const uint64_t version = it.Change([](FleetConfig& config) {
    ConfigException drain;
    drain.id = "drain-s1";
    drain.scope.server = ServerId("s1");
    drain.reason = "test";
    drain.author = "test";
    drain.values = {{"drain", "true"}};
    config.exceptions.push_back(std::move(drain));
  });
  it.AwaitVersion(version);
  const Instant before = it.fleet.Find(ServerId("s1"))->last_arrival();
  for (int i = 0; i < 60; ++i)
    CHECK(FleetFixture::Get(1 + i % 3, "/v1/services/jobs/x").status == 200);
  CHECK(it.fleet.Find(ServerId("s1"))->last_arrival() == before);
}

TEST_CASE("a request that crashes servers crashes at most two of them") {
  FleetFixture it;
  it.StartAll();
  HttpClientRequest killer;
  killer.target = "/v1/services/jobs/killer";
  killer.fields = {{"Crash-Server", "1"}, {kDeadlineHeader, "4000"}};
  for (int i = 0; i < 6; ++i)
    FleetFixture::Send(1 + i % 3, killer);
  int crashes = 0;
  for (const auto& [id, server] : it.fleet.servers())
    crashes += server->crashes();
  CHECK(crashes >= 1);
  CHECK(crashes <= 2);
  CHECK(FleetFixture::Get(1, "/v1/services/jobs/innocent").status == 200);
}

}  // namespace toucanknot
