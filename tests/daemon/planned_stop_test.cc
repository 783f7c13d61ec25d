// A planned stop of a toucanknotd host: an upload that ends late is answered by
// a server, or refused and never runs.

#include "tests/daemon/fleet_fixture.h"
#include "tests/http/late_upload.h"

namespace toucanknot {
namespace {

constexpr Duration kDrainLimit{1'500};

LateUpload Upload(const std::string& id,
                  const std::string& method,
                  const std::string& ticket,
                  Instant end_at) {
  std::string head = method + " /v1/services/jobs/job/" + id +
                     " HTTP/1.1\r\nHost: x\r\nWork-Id: " + id + "\r\n" +
                     std::string(kDeadlineHeader) + ": 1500\r\n";
  if (!ticket.empty())
    head += std::string(kTicketHeader) + ": " + ticket + "\r\n";
  return {id, head, Instant(), end_at};
}

}  // namespace

TEST_CASE("a stop of toucanknotd cuts no upload that ends late") {
  FleetFixture it;
  for (const auto& [id, server] : it.fleet.servers()) {
    BackendFaults faults;
    faults.service_time = Duration(100);
    server->SetFaults(faults);
  }
  it.StartAll();
  it.AwaitVersion(it.Change([](FleetConfig& config) {
    config.defaults.deadline = kDrainLimit;
    config.defaults.max_deadline = kDrainLimit;
    config.defaults.drain_limit = kDrainLimit;
  }));
  const Instant origin = SteadyNow() + Duration(500);
  std::vector<LateUpload> uploads;
  for (const int end_ms :
       {0, 50, 200, 800, 1'400, 1'480, 1'520, 1'560, 1'590, 1'595, 2'500}) {
    const std::string id = std::to_string(end_ms);
    const Instant end_at = origin + Duration(end_ms);
    uploads.push_back(
        Upload("once" + id, "POST", FleetFixture::Ticket(1), end_at));
    uploads.push_back(Upload("safe" + id, "GET", "", end_at));
  }
  std::vector<std::thread> threads;
  threads.reserve(uploads.size());
  for (LateUpload& upload : uploads)
    threads.emplace_back([&upload] { upload.Play(FleetFixture::Callers(1)); });
  SleepUntil(origin);
  it.hosts[1]->BeginStop();
  it.hosts[1]->WaitStopped();
  it.hosts.erase(1);
  for (std::thread& thread : threads)
    thread.join();
  for (const LateUpload& upload : uploads) {
    INFO(upload.id << ": " << upload.reply);
    const bool ran = upload.reply.starts_with("HTTP/1.1 200") &&
                     upload.reply.find(": ran\r\n") != std::string::npos;
    // A body with a ticket that comes too late gets 504, since an earlier copy
    // may have run.
    const bool refused = upload.reply.starts_with("HTTP/1.1 503") ||
                         (upload.id.starts_with("once") &&
                          upload.reply.starts_with("HTTP/1.1 504"));
    CHECK((ran || refused));
    // The ledger has no runs of GET requests.
    if (upload.id.starts_with("once"))
      CHECK(it.fleet.ledger().RunsOf(upload.id) == (ran ? 1 : 0));
  }
  for (int i = 0; i < 4; ++i)
    CHECK(uploads[i].reply.starts_with("HTTP/1.1 200"));
}

}  // namespace toucanknot
