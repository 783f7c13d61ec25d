#ifndef SRC_DAEMON_PROBER_H_
#define SRC_DAEMON_PROBER_H_

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>

#include "include/health/server_health.h"
#include "include/steering/dispatcher.h"
#include "src/daemon/host_tables.h"
#include "src/daemon/sender.h"

namespace toucanknot {

// Asks the backend servers of the own region for their health and load, each
// once per probe interval, spread over it.
class Prober {
 public:
  // What one probe found. `load` is absent when there was no readable report.
  using Found = std::function<void(const ServiceEntry& entry,
                                   const ServerProbe& probe,
                                   const std::optional<LoadReport>& load)>;

  Prober(WorkerPool& workers,
         Sender& sender,
         const HostTables& tables,
         Found found);

  // Begins; goes on until the workers stop.
  void Start(ZoneId own_zone);

 private:
  boost::asio::awaitable<void> Loop(ZoneId own_zone);
  boost::asio::awaitable<void> Probe(ServiceEntryPtr entry, ServerId server);

  WorkerPool& workers_;
  Sender& sender_;
  const HostTables& tables_;
  const Found found_;
};

// Reads a backend server's health report, a JSON object with the optional
// members "healthy", "leaving", "running", "waiting" and "age_ms". Nothing when
// it is no such object.
std::optional<LoadReport> ParseLoadReport(const ServerId& server,
                                          const std::string& body);

}  // namespace toucanknot

#endif  // SRC_DAEMON_PROBER_H_
