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

// A small fleet in one process: the deployment's entry hosts, stand-ins of the
// platform and of its backend servers, and callers, on loopback. While load
// runs, a backend server is drained, a default is changed, one host is stopped
// gracefully and one is killed.
class DemoRun {
 public:
  struct Options {
    std::string deployment = "haufiku";
    // Where fleet-DEPLOYMENT.json lies.
    std::string examples = "examples";
    Duration duration{16'000};
    // Of each service's slots, in use on average.
    double load = 0.5;
    uint64_t seed = 1;
  };

  DemoRun(Options options, std::ostream& out);
  ~DemoRun();

  // Runs it all and prints progress, a table and, as the last line, one JSON
  // object. True when nothing was lost, doubled, wrong, cut or falsely
  // refused, by the stand-ins' count.
  bool Run();

 private:
  struct Drain {
    int64_t config_ms = -1;
    int64_t drain_ms = -1;
  };

  void StartHosts();
  void StartLoad();
  // Samples the regions' headroom for `d`.
  void Watch(Duration d);
  // Changes the configuration as an operator would; waits until it is in force
  // on all hosts that run. Returns the milliseconds; -1 if that did not come.
  int64_t ChangeConfig(const std::string& reason,
                       const std::function<void(FleetConfig&)>& edit);
  void DrainServer();
  void StopHost();
  void KillHost();
  bool Report();
  void PrintTable(const boost::json::object& figures);

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
  // The most slots in use at once in each region.
  std::map<RegionId, int> peak_running_;
};

}  // namespace toucanknot

#endif  // SRC_DEMO_DEMO_RUN_H_
