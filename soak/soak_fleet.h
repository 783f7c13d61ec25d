#ifndef SOAK_SOAK_FLEET_H_
#define SOAK_SOAK_FLEET_H_

#include <boost/asio/awaitable.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "include/base/enum_names.h"
#include "include/entry/entry_wire.h"
#include "include/routing/route_config.h"
#include "soak/crash_limit.h"
#include "soak/fault_history.h"
#include "soak/fault_proxy.h"
#include "soak/fleet_settings.h"
#include "soak/host_process.h"
#include "soak/invariant_checker.h"
#include "soak/server_process.h"
#include "soak/soak_server.h"
#include "src/http/worker_pool.h"
#include "tests/platform/store_standin.h"

namespace toucanknot::soak {

// What is injected: the faults of the seed's plan, or nothing but one kind of
// faulty responses, by all servers throughout.
enum class Profile {
  kMixed,
  kCalm,
  // kLateCopies and kRunThenRefuse at once.
  kRefusals,
  kLateCopies,
  kBrokenCopies,
  kRunThenRefuse,
  // Planned stops of one host after the other.
  kStops,
};
inline constexpr EnumNames<Profile, 7> kProfileNames{
    {"mixed", "calm", "refusals", "late-copies", "broken-copies",
     "run-then-refuse", "stops"}};

struct SoakOptions {
  // The real program, and a folder for settings files and logs.
  std::string program;
  std::string folder;
  uint64_t seed = 1;
  Duration length{60'000};
  int hosts = 5;
  int servers = 10;
  int callers = 40;
  Profile profile = Profile::kMixed;
  // Whether each backend server is a process of its own.
  bool server_processes = false;
  // Each host listens on this port and the next four, at an address of its own.
  uint16_t first_port = 26'000;
};

// The fleet of a soak: hosts as child processes, and in this process the store,
// the backend servers and a proxy on each link. Checks the invariants that show
// at host processes and at servers. Used on the loop of `workers` only, which
// must be stopped before this object is destroyed.
class SoakFleet {
 public:
  // From the start of the processes to the first fault.
  static constexpr Duration kWarmUpTime{4'000};

  // Time limits of the invariants.

  // After this a draining server receives no more requests.
  static constexpr Duration kDrainLimit = soak::kDrainLimit;
  // After this an evacuated zone receives no more requests.
  static constexpr Duration kEvacuationLimit{5'000};
  // After this a new configuration is in force.
  static constexpr Duration kConfigLimit{2'500};
  // After this a host has exited upon SIGTERM.
  static constexpr Duration kGracePeriod = soak::kGracePeriod;
  // After this a host has noticed that a caller disconnected.
  static constexpr Duration kDisconnectNoticeLimit{500};
  // After this a server's limit, or its pause, is in force.
  static constexpr Duration kLimitNotice{3'000};
  static constexpr Duration kPauseNotice{500};
  // The window of a limit, and what it allows: this many times the limit, plus
  // some requests.
  static constexpr Duration kLimitWindow{4'000};
  static constexpr double kLimitRatio = 1.5;
  static constexpr int kLimitSlack = 5;
  // Requests that may reach a server from one host in its pause.
  static constexpr int kMaxSentInPause = 2;

  struct Host {
    HostId id;
    ZoneId zone;
    RegionId region;
    Endpoint caller_endpoint;
    Endpoint directory_endpoint;
    std::unique_ptr<FaultProxy> store_link;
    std::unique_ptr<FaultProxy> caller_link;
    std::unique_ptr<HostProcess> process;
    // Set from a signal that ends the process until its next start.
    bool stop_requested = false;
    bool paused = false;
    // When SIGTERM was sent, if it was since the last start.
    std::optional<Instant> stopped_at;
    // Number of starts so far.
    int start_count = 0;
    // The newest configuration version that it was seen to use since its start.
    uint64_t seen_version = 0;
  };

  struct Server {
    std::unique_ptr<BackendServer> server;
    // The same object, depending on where the server runs; else null.
    SoakServer* local = nullptr;
    ServerProcess* process = nullptr;
    int generation = 0;
    std::optional<Instant> draining_since;
    // A fault or a replacement of it is in progress.
    bool fault_in_progress = false;
    // Since when it names its limit; arrivals since then from hosts without a
    // fault.
    std::optional<Instant> limited_since;
    std::deque<Instant> limited_arrivals;
    // The hosts that it asked for a pause, when it did, and what reached it
    // from them later than kPauseNotice after that.
    std::map<std::string, Instant> paused_hosts;
    std::map<std::string, int> sent_in_pause;
    Instant paused_until;
  };

  SoakFleet(SoakOptions options,
            WorkerPool& workers,
            const EntryWire& names,
            InvariantChecker& checker,
            const InvariantChecker::Budget& budget);

  // Writes the first configuration and the servers' entries to the store, and
  // starts the hosts.
  void Start();
  // Watches the host processes until `stop` is set: reports one that exited
  // unasked, and starts it again.
  boost::asio::awaitable<void> Supervise(const bool& stop);
  // Hands what the server processes have recorded to the checker.
  void ReadLedgers();
  // Starts a host's process.
  void StartHost(Host& host);
  // Sends SIGTERM and returns after the process has exited. Kills one that
  // exceeds the grace period, and reports it unless a fault affected it.
  boost::asio::awaitable<void> StopHost(Host& host);
  // Stops all hosts at the same time.
  boost::asio::awaitable<void> StopAll();
  // Sends SIGKILL and waits for the exit.
  boost::asio::awaitable<void> KillHost(Host& host);

  // Whether all of the host has been free of faults for long enough that time
  // bounds hold for it.
  bool InTouch(const std::string& host, Instant now) const;

  const EntryWire& names() const { return names_; }
  InvariantChecker& checker() { return checker_; }
  boost::asio::io_context& loop() { return workers_.loop(0); }

  // Changes of the store as servers and operators make them.
  void WriteServerEntry(const Server& server);
  void RemoveServerEntry(const Server& server);
  void RemoveServerEntry(const ServerId& id);
  void ChangeConfig();
  // Makes the store what its writers last made it, after it came back from an
  // older copy. Entries that have left since are removed.
  void WriteStoreAgain();
  // Returns false if any zone is evacuated already.
  bool BeginEvacuation(const ZoneId& zone);
  void EndEvacuation(const ZoneId& zone);

  std::vector<Host>& hosts() { return hosts_; }
  std::vector<Server>& servers() { return servers_; }
  const std::map<ZoneId, RegionId>& zones() const { return zones_; }
  platform::StoreStandin& store() { return store_; }
  FaultHistory& fault_history() { return fault_history_; }
  // The host with this address for callers; null if there is none.
  Host* FindHost(const Endpoint& endpoint);
  // The configuration version that was written last, and when.
  uint64_t version() const { return *config_.version.ToUint64(); }
  Instant version_written_at() const { return version_written_at_; }
  int64_t max_resident_bytes() const { return max_resident_bytes_; }

 private:
  void AddHost(int i);
  void AddServer(int i);
  void WriteConfig();
  void OnArrival(const std::string& server, const std::string& id, Instant now);
  Server MakeLocalServer(size_t i, const ServerEntry& entry);
  Server MakeServerProcess(size_t i, ServerEntry entry);
  // Check an arrival against the limit of the server and its pauses.
  void CheckLimit(Server& server, const std::string& host, Instant now);
  void CheckPause(Server& server, const std::string& host, Instant now);
  // Crashes the server, which comes back later; false if another fault of it is
  // in progress.
  bool CrashBriefly(Server& server);
  boost::asio::awaitable<void> RestartLater(Server& server);

  // Sends SIGTERM; returns false if the host is stopping or has exited already.
  bool RequestStop(Host& host);
  // Waits for the process to exit, `limit` at most; returns whether it has.
  boost::asio::awaitable<bool> WaitForExit(Host& host, Duration limit);

  const SoakOptions options_;
  WorkerPool& workers_;
  const EntryWire& names_;
  InvariantChecker& checker_;
  const InvariantChecker::Budget budget_;
  platform::StoreStandin store_;
  FaultHistory fault_history_;
  std::map<ZoneId, RegionId> zones_;
  std::vector<Host> hosts_;
  std::vector<Server> servers_;
  RouteConfig config_;
  // Of the servers' entries; higher with each write, as with heartbeats.
  uint64_t last_sequence_ = 0;
  // The servers that have an entry, unless the store has lost it.
  std::set<ServerId> entered_;
  Instant version_written_at_;
  std::map<ZoneId, Instant> evacuated_;
  int64_t max_resident_bytes_ = 0;
  CrashLimit crashes_;
};

}  // namespace toucanknot::soak

#endif  // SOAK_SOAK_FLEET_H_
