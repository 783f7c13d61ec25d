#ifndef SRC_STANDIN_STANDIN_FLEET_H_
#define SRC_STANDIN_STANDIN_FLEET_H_

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <string>

#include "include/config/fleet_config.h"
#include "src/standin/backend_server.h"
#include "src/standin/memory_store.h"
#include "src/standin/platform_server.h"
#include "src/standin/work_ledger.h"

namespace toucanknot {

// Stand-ins for the environment of one fleet: the platform's store and host
// list, and every backend server of the configuration.
class StandinFleet {
 public:
  // `config_text` is written to the store as the first configuration.
  StandinFleet(int workers, const std::string& config_text);
  ~StandinFleet();

  // Serves the store at `store` and every backend server at its address.
  void Start(const Endpoint& store);
  // Listens for requests that inject faults and query the ledger:
  //   POST /v1/faults  {"server": ID or "*", "service_ms", "leaving",
  //                     "misleading", "failing", "silent", "crash_ms"}
  //   POST /v1/store   {"down", "slow_ms", "lose_answers"}
  //   GET  /v1/ledger [?work=ID]
  Endpoint StartControl(const Endpoint& control);

  const FleetConfigPtr& config() const { return config_; }
  const std::shared_ptr<MemoryStore>& store() const { return store_; }
  WorkLedger& ledger() { return *ledger_; }
  // Null when there is no such server.
  StandinBackendServer* Find(const ServerId& id);
  const std::map<ServerId, std::shared_ptr<StandinBackendServer>>& servers()
      const {
    return servers_;
  }
  // Sets the platform's host list: all hosts and servers of the configuration,
  // with the ids in `leaving` marked as leaving.
  void SetHostList(const std::vector<std::string>& leaving);

 private:
  boost::asio::awaitable<HttpResponse> HandleControl(HttpRequest request);
  HttpResponse HandleFaults(const HttpRequest& request);
  HttpResponse HandleStoreFaults(const HttpRequest& request);
  HttpResponse HandleLedger(const HttpRequest& request);

  const FleetConfigPtr config_;
  const std::shared_ptr<MemoryStore> store_;
  const std::shared_ptr<WorkLedger> ledger_;
  WorkerPool workers_;
  std::map<ServerId, std::shared_ptr<StandinBackendServer>> servers_;
  std::unique_ptr<PlatformServer> platform_;
  std::unique_ptr<HttpServer> control_;
};

}  // namespace toucanknot

#endif  // SRC_STANDIN_STANDIN_FLEET_H_
