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

// Joins a host to its fleet: runs a FleetAgent, carries its messages over the
// inner protocol and its reads to the store, and learns the configuration from
// either. The agent's lock is held while a configuration is brought into
// force, so the hooks must not call back into this object.
class FleetLink {
 public:
  struct Hooks {
    // A configuration; returns false when the host refuses it.
    std::function<bool(const ConfigCandidate& offer, const std::string& from)>
        on_config;
    // The platform's host list.
    std::function<void(const std::vector<PlatformHost>& hosts)> on_hosts;
    // Which hosts serve has changed.
    std::function<void()> on_view;
    // Messages that are not the agent's.
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

  // Listens and begins. Throws boost::system::system_error when the address
  // cannot be had.
  void Start();

  // The hosts of a configuration that is in force now.
  void SetConfig(const FleetConfigPtr& config);
  // Closes the connections to other hosts and waits until that is done. Not to
  // be called from a worker.
  void Disconnect();
  // Waits for calls to the store that have begun; their hooks are still called.
  void FinishStoreCalls();
  // This host leaves; it has stopped.
  void Leave();
  void Stopped();

  void Send(const OutgoingMessage& out) { transport_.Send(out); }

  // Hosts that callers near this host may use, the best first.
  std::vector<EntryCandidate> Candidates() const;
  // The serving hosts of the zones of this host's region.
  std::vector<HostId> LiveInRegion() const;
  // Every other host that is not known to be gone.
  std::vector<HostId> Others() const;
  // Regions with a serving host, by what is known here.
  std::vector<RegionId> LiveRegions() const;

  // Figures for /status and /metrics.
  struct Figures {
    uint64_t store_calls = 0;
    bool reader = false;
    bool store_up = false;
    PeerTransportStats transport;
  };
  Figures figures() const;

 private:
  using Coroutine = boost::asio::awaitable<void>;

  Coroutine Loop();
  // Carries out what the agent asks for.
  void Carry(FleetActions actions);
  void OnMessage(const PeerSender& from, const PeerMessage& message);
  bool Accept(const ConfigStamp& stamp, const std::string& root_text);
  void AskSeeds(Instant now);
  // Called on a store thread.
  void Watch(WatchRequest request);
  void ListHosts();
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
  // Set by SetConfig(), taken by the loop.
  RosterPtr next_roster_;
  std::mutex roster_mutex_;
  uint64_t seen_view_ = 0;
  Instant next_seed_ask_;
  // The root value whose parts are being fetched.
  std::optional<ConfigCandidate> awaited_;
  std::vector<std::string> awaited_parts_;
  PeerTransport transport_;
  boost::asio::thread_pool store_threads_;
};

}  // namespace toucanknot

#endif  // SRC_DAEMON_FLEET_LINK_H_
