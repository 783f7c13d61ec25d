// Repeats of a run-once request at a host that has to ask the ticket's owner.

#include "tests/daemon/fleet_fixture.h"

namespace toucanknot {

TEST_CASE(
    "a rejected owner query does not prove that the request did not run") {
  constexpr size_t kMaxHead = 16 << 10;
  FleetFixture it;
  it.StartAll();
  HttpClientRequest request;
  request.method = "POST";
  request.target = "/v1/services/jobs/job/w";
  request.body = "body";
  // The largest head with which the request runs. The query's head is larger by
  // the token of forwarding, and the owner rejects it.
  HttpClientResult first;
  for (size_t filler = kMaxHead; first.status != 200 && filler > kMaxHead / 2;
       filler -= 16) {
    request.fields = {{"Work-Id", "w"},
                      {kDeadlineHeader, "3000"},
                      {kTicketHeader, FleetFixture::Ticket(1)},
                      {"Filler", std::string(filler, 'f')}};
    first = FleetFixture::Send(1, request);
  }
  REQUIRE(first.status == 200);
  const HttpClientResult repeated = FleetFixture::Send(2, request);
  INFO(repeated.status << " " << repeated.body);
  CHECK(FleetFixture::Verdict(repeated) != "not-run");
  CHECK(repeated.Field(kTicketHeader).empty());
}

}  // namespace toucanknot
