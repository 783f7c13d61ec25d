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

// Probes the health and load of the backend servers in this host's region. Each
// server is probed once per probe interval; the probes are spaced evenly.
class Prober {
 public:
  // Receives the result of one probe. `load` is empty when the server sent no
  // valid report.
  using ResultFn = std::function<void(const ServiceEntry& entry,
                                      const ServerProbe& probe,
                                      const std::optional<LoadReport>& load)>;

  Prober(WorkerPool& workers,
         Sender& sender,
         const HostTables& tables,
         ResultFn on_result);

  // Starts probing, which continues until the workers stop.
  void Start(ZoneId own_zone);

 private:
  boost::asio::awaitable<void> Loop(ZoneId own_zone);
  boost::asio::awaitable<void> Probe(ServiceEntryPtr entry, ServerId server);

  WorkerPool& workers_;
  Sender& sender_;
  const HostTables& tables_;
  const ResultFn on_result_;
};

// Parses a backend server's health report, a JSON object with the optional
// members "healthy", "leaving", "running", "waiting" and "age_ms". Empty when
// `body` is not a JSON object.
std::optional<LoadReport> ParseLoadReport(const ServerId& server,
                                          const std::string& body);

// The result of a probe that ended with `result`, whose body `load` was parsed
// from. Not healthy if the body is the start of a report that broke off.
ServerProbe ToServerProbe(const ServerId& server,
                          const ExchangeResult& result,
                          const std::optional<LoadReport>& load);

}  // namespace toucanknot

#endif  // SRC_DAEMON_PROBER_H_
