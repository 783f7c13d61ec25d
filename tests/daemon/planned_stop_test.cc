// A planned stop of a toucanknotd host: an upload that ends late is answered by
// a server, or refused and never runs.

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "tests/daemon/fleet_fixture.h"

namespace toucanknot {
namespace {

namespace asio = boost::asio;

constexpr Duration kDrainLimit{1'500};

void SleepUntil(Instant at) {
  std::this_thread::sleep_for(
      std::chrono::milliseconds(std::max<int64_t>((at - SteadyNow()).ms(), 0)));
}

// Sends the end of its body at `end_at`.
struct Upload {
  std::string id;
  std::string method;
  std::string ticket;
  Instant end_at;
  std::string reply = {};

  void Play() {
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    boost::system::error_code ec;
    const Endpoint to = FleetFixture::Callers(1);
    socket.connect({asio::ip::make_address(to.ip), to.port}, ec);
    std::string head = method + " /v1/services/jobs/job/" + id +
                       " HTTP/1.1\r\nHost: x\r\nWork-Id: " + id + "\r\n" +
                       std::string(kDeadlineHeader) +
                       ": 1500\r\nContent-Length: 8\r\n";
    if (!ticket.empty())
      head += std::string(kTicketHeader) + ": " + ticket + "\r\n";
    asio::write(socket, asio::buffer(head + "\r\nhalf"), ec);
    SleepUntil(end_at);
    asio::write(socket, asio::buffer("half", 4), ec);
    asio::read(socket, asio::dynamic_buffer(reply), ec);
  }
};

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
  std::vector<Upload> uploads;
  for (const int end_ms :
       {0, 50, 200, 800, 1'400, 1'480, 1'520, 1'560, 1'590, 1'595, 2'500}) {
    const std::string id = std::to_string(end_ms);
    const Instant end_at = origin + Duration(end_ms);
    uploads.push_back({"once" + id, "POST", FleetFixture::Ticket(1), end_at});
    uploads.push_back({"safe" + id, "GET", "", end_at});
  }
  std::vector<std::thread> threads;
  for (Upload& upload : uploads)
    threads.emplace_back([&upload] { upload.Play(); });
  SleepUntil(origin);
  it.hosts[1]->BeginStop();
  it.hosts[1]->WaitStopped();
  it.hosts.erase(1);
  for (std::thread& thread : threads)
    thread.join();
  for (const Upload& upload : uploads) {
    INFO(upload.id << ": " << upload.reply);
    const bool ran = upload.reply.starts_with("HTTP/1.1 200") &&
                     upload.reply.find(": ran\r\n") != std::string::npos;
    // A body with a ticket that comes too late gets 504, since an earlier copy
    // may have run.
    const bool refused =
        upload.reply.starts_with("HTTP/1.1 503") ||
        (!upload.ticket.empty() && upload.reply.starts_with("HTTP/1.1 504"));
    CHECK((ran || refused));
    // The ledger has no runs of GET requests.
    if (!upload.ticket.empty())
      CHECK(it.fleet.ledger().RunsOf(upload.id) == (ran ? 1 : 0));
  }
  for (int i = 0; i < 4; ++i)
    CHECK(uploads[i].reply.starts_with("HTTP/1.1 200"));
}

}  // namespace toucanknot
