#ifndef SRC_DAEMON_FLEET_LINK_H_
#define SRC_DAEMON_FLEET_LINK_H_

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "include/config/config_candidate.h"
#include "include/daemon/host_settings.h"
#include "include/membership/fleet_agent.h"
#include "include/peer/peer_transport.h"
#include "include/store/store.h"
#include "src/http/worker_pool.h"

namespace toucanknot {

// Connects a host to its fleet: runs a FleetAgent, sends its messages over the
// peer protocol, performs its store reads, and receives the configuration from
// either. The agent's lock is held while a configuration is applied, so the
// hooks must not call back into this object.
class FleetLink {
 public:
  struct Hooks {
    // A configuration was received; returns false when the host rejects it.
    std::function<bool(const ConfigCandidate& candidate,
                       const std::string& from)>
        on_config;
    // The platform's host list was read.
    std::function<void(const std::vector<PlatformHost>& hosts)> on_hosts;
    // The set of serving hosts has changed.
    std::function<void()> on_view_changed;
    // Receives every message of another host, after the agent.
    std::function<void(const PeerSender& from, const PeerMessage& message)>
        on_message;
  };

  FleetLink(WorkerPool& workers,
            const HostSettings& settings,
            const PeerSender& self,
            std::shared_ptr<const FleetKeys> keys,
            std::shared_ptr<Store> store,
            Hooks hooks);
  ~FleetLink();

  // Binds the peer address and starts the loop. Throws
  // boost::system::system_error when the address cannot be bound.
  void Start();

  // Updates the hosts of the fleet from the active configuration.
  void SetConfig(const FleetConfigPtr& config);
  // Closes the connections to other hosts and waits for completion. Must not be
  // called from a worker.
  void Disconnect();
  // Waits for store calls in progress; their hooks are still called.
  void WaitForStoreCalls();
  // Announces to the fleet that this host is leaving.
  void AnnounceLeaving();
  // Announces to the fleet that this host has stopped.
  void AnnounceStopped();

  void Send(const OutgoingMessage& out) { transport_.Send(out); }

  // Hosts that callers near this host may use, best first.
  std::vector<EntryCandidate> EntryCandidates() const;
  // The serving hosts of the zones of this host's region.
  std::vector<HostId> LiveHostsInRegion() const;
  // All other hosts of the roster.
  std::vector<HostId> OtherHosts() const;
  // Regions with at least one serving host, in this host's view.
  std::vector<RegionId> LiveRegions() const;

  // Statistics for /status and /metrics.
  struct Stats {
    uint64_t store_calls = 0;
    bool reader = false;
    bool store_up = false;
    PeerTransportStats transport;
  };
  Stats stats() const;

 private:
  using Coroutine = boost::asio::awaitable<void>;

  Coroutine Loop();
  // Performs the sends and reads that the agent requested.
  void Execute(FleetActions actions);
  void OnMessage(const PeerSender& from, const PeerMessage& message);
  bool AcceptRoot(const ConfigStamp& stamp, const std::string& root_text);
  void RequestConfigFromSeeds(Instant now);
  // These three run on a store thread.
  void WatchRoot(WatchRequest request);
  void ReadHostList();
  void ReadStorePart(const std::string& name);
  template <typename Fn>
  auto WithAgent(Fn fn) const;

  WorkerPool& workers_;
  const ZoneId zone_;
  const std::vector<Endpoint> seeds_;
  const std::shared_ptr<Store> store_;
  const Hooks hooks_;
  mutable std::mutex mutex_;
  std::unique_ptr<FleetAgent> agent_;
  // Set by SetConfig(), consumed by the loop.
  RosterPtr next_roster_;
  std::mutex roster_mutex_;
  uint64_t last_view_version_ = 0;
  Instant next_seed_request_;
  // The candidate whose parts are being fetched, and the names of the parts.
  std::optional<ConfigCandidate> pending_candidate_;
  std::vector<std::string> pending_parts_;
  PeerTransport transport_;
  boost::asio::thread_pool store_threads_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_FLEET_LINK_H_
