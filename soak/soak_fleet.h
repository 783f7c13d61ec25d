#ifndef SOAK_SOAK_FLEET_H_
#define SOAK_SOAK_FLEET_H_

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "include/entry/entry_wire.h"
#include "include/routing/route_config.h"
#include "soak/fault_proxy.h"
#include "soak/fault_times.h"
#include "soak/host_process.h"
#include "soak/invariant_checker.h"
#include "soak/soak_server.h"
#include "src/http/worker_pool.h"
#include "tests/platform/store_standin.h"

namespace toucanknot::soak {

struct SoakOptions {
  // The real program, and a folder for settings files and logs.
  std::string program;
  std::string folder;
  uint64_t seed = 1;
  Duration length{60'000};
  int hosts = 5;
  int servers = 10;
  int callers = 40;
  // Ports of the hosts, each at an address of its own: this one and the next
  // four.
  uint16_t first_port = 26'000;
};

// The fleet of a soak: hosts as processes, and in this process the store, the
// backend servers and a proxy on each link. Checks what can be seen of hosts
// and servers. Used on the loop of `workers` only, which must be stopped before
// this object goes.
class SoakFleet {
 public:
  // The bounds of the promises: a server that leaves gets nothing later than
  // this, an evacuated zone, a configuration is in force, a host has ended, a
  // caller that left is noticed.
  static constexpr Duration kDrain{2'500};
  static constexpr Duration kEvacuate{5'000};
  static constexpr Duration kConfigApply{2'500};
  static constexpr Duration kGrace{6'000};
  static constexpr Duration kNoticed{500};

  struct Host {
    HostId id;
    ZoneId zone;
    RegionId region;
    Endpoint callers;
    Endpoint directory;
    std::unique_ptr<FaultProxy> store_link;
    std::unique_ptr<FaultProxy> caller_link;
    std::unique_ptr<HostProcess> process;
    // Set while a signal is under way that ends it.
    bool to_end = false;
    bool paused = false;
    // The last SIGTERM.
    std::optional<Instant> stopped_at;
    // Counts its starts.
    int life = 0;
    // The newest version that it has shown to be in force, in this life.
    uint64_t seen_version = 0;
  };

  struct Server {
    std::unique_ptr<SoakServer> server;
    int generation = 0;
    std::optional<Instant> leaving_since;
    // A fault or a replacement is under way.
    bool busy = false;
  };

  SoakFleet(SoakOptions options,
            WorkerPool& workers,
            const EntryWire& names,
            InvariantChecker& ledger,
            const InvariantChecker::Budget& budget);

  // Writes the first configuration and the servers, and starts the hosts.
  void Start();
  // Watches the processes until `stop` is set.
  boost::asio::awaitable<void> Supervise(const bool& stop);
  // Starts a host's process.
  void StartHost(Host& host);
  // Ends a host as an operator would; returns when it is gone.
  boost::asio::awaitable<void> StopHost(Host& host);
  boost::asio::awaitable<void> StopAll();
  // Ends it without a word.
  boost::asio::awaitable<void> KillHost(Host& host);

  // What servers and operators write into the store.
  void WriteEntry(const Server& server);
  void RemoveEntry(const Server& server);
  void ChangeConfig();
  // Returns false when some zone is evacuated already.
  bool BeginEvacuation(const ZoneId& zone);
  void EndEvacuation(const ZoneId& zone);

  std::vector<Host>& hosts() { return hosts_; }
  std::vector<Server>& servers() { return servers_; }
  const std::map<ZoneId, RegionId>& zones() const { return zones_; }
  platform::StoreStandin& store() { return store_; }
  FaultTimes& times() { return times_; }
  // Null when no host listens there.
  Host* FindHost(const Endpoint& callers);
  // The version that was written last, and when the store took it.
  uint64_t version() const { return config_.version; }
  Instant version_at() const { return version_at_; }
  int64_t most_resident_bytes() const { return most_resident_bytes_; }

 private:
  void AddHost(int i);
  void AddServer(int i);
  std::string SettingsOf(const Host& host) const;
  void WriteConfig();
  void OnArrival(const std::string& server, const std::string& id);

  // Sends SIGTERM; returns false to a host that ends or has ended already.
  bool BeginStop(Host& host);
  // Waits until the process is gone, `limit` at most; returns whether it is.
  boost::asio::awaitable<bool> WaitGone(Host& host, Duration limit);

  const SoakOptions options_;
  WorkerPool& workers_;
  const EntryWire& names_;
  InvariantChecker& ledger_;
  const InvariantChecker::Budget budget_;
  platform::StoreStandin store_;
  FaultTimes times_;
  std::map<ZoneId, RegionId> zones_;
  std::vector<Host> hosts_;
  std::vector<Server> servers_;
  RouteConfig config_;
  Instant version_at_;
  std::map<ZoneId, Instant> evacuated_;
  int64_t most_resident_bytes_ = 0;
};

// The path of the route that exists only in one version.
std::string VersionPath(uint64_t version);

}  // namespace toucanknot::soak

#endif  // SOAK_SOAK_FLEET_H_
