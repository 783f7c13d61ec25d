#ifndef SRC_DEMO_DEMO_RUN_H_
#define SRC_DEMO_DEMO_RUN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "include/daemon/host_daemon.h"
#include "src/load/load_run.h"
#include "src/standin/standin_fleet.h"

namespace toucanknot {

// Runs a small fleet in one process on loopback: the deployment's entry hosts,
// stand-ins for the platform and its backend servers, and callers. Under load,
// a backend server is drained, a default is changed, one host is stopped
// gracefully and one is killed.
class DemoRun {
 public:
  struct Options {
    std::string deployment = "haufiku";
    // Directory that contains fleet-DEPLOYMENT.json.
    std::string examples = "examples";
    Duration duration{16'000};
    // Mean fraction of each service's slots in use.
    double load = 0.5;
    uint64_t seed = 1;
  };

  DemoRun(Options options, std::ostream& out);
  ~DemoRun();

  // Runs the demonstration and prints progress, a table and, as the last line,
  // one JSON object. Returns true when, by the count of the stand-in servers,
  // no work was lost, run more than once or falsely reported as not run, no
  // response was wrong or truncated, the configuration change became active
  // everywhere and the host stopped cleanly.
  bool Run();

 private:
  struct Drain {
    int64_t config_ms = -1;
    int64_t drain_ms = -1;
  };

  void StartHosts();
  void StartLoad();
  // Samples the slots in use in each region for `d`.
  void SampleLoad(Duration d);
  // Changes the configuration as an operator would and waits until it is active
  // on all running hosts. Returns the time that took, in milliseconds; -1 on
  // timeout.
  int64_t ChangeConfig(const std::string& reason,
                       const std::function<void(FleetConfig&)>& edit);
  void DrainServer();
  void StopHost();
  void KillHost();
  bool Report();
  void PrintTable(const boost::json::object& summary);

  const Options options_;
  std::ostream& out_;
  const std::string config_text_;
  std::unique_ptr<StandinFleet> fleet_;
  std::map<HostId, std::unique_ptr<HostDaemon>> hosts_;
  std::unique_ptr<LoadRun> load_;
  int64_t config_ms_ = -1;
  int64_t drain_ms_ = -1;
  int64_t stop_ms_ = -1;
  bool stop_clean_ = false;
  // The maximum number of slots in use at the same time in each region.
  std::map<RegionId, int> peak_slots_in_use_;
};

}  // namespace toucanknot

#endif  // SRC_DEMO_DEMO_RUN_H_
