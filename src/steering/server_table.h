#ifndef SRC_STEERING_SERVER_TABLE_H_
#define SRC_STEERING_SERVER_TABLE_H_

#include <functional>
#include <vector>

#include "include/base/clock.h"
#include "include/base/ids.h"
#include "include/steering/dispatcher.h"
#include "src/steering/fleet_view.h"

namespace toucanknot {

// What one host knows about the load of its region's backend servers: its own
// requests in flight, those that its peers reported, and the servers' own load
// reports. Servers are identified by their index in the region's list.
class ServerTable {
 public:
  // The share of a server's slots that may be used, from 0 to 1.
  using UsableFn = std::function<double(const ServerId&, Instant)>;

  struct PeerCount {
    HostId host;
    int requests = 0;
    // The time that the figure refers to.
    Instant at;
    // The host is no longer live; its requests may still run.
    bool orphaned = false;
  };
  struct State {
    FleetView::Server info;
    int own = 0;
    std::vector<PeerCount> peers;
    int reported = 0;
    Instant reported_at{-Duration::Max().ms()};
    bool leaving = false;
    Instant leaving_at;
    // Mean response time; 0 before the first response.
    double mean_ms = 0;
  };

  explicit ServerTable(UsableFn usable) : usable_(std::move(usable)) {}

  // Sets the servers of a new configuration; the state of servers that remain
  // is kept.
  void SetServers(const std::vector<FleetView::Server>& servers);

  size_t size() const { return states_.size(); }
  const State& at(size_t server) const { return states_[server]; }
  // The index of `id`, or size() when there is none.
  size_t Find(const ServerId& id) const;

  void OnStarted(size_t server) { ++states_[server].own; }
  void OnEnded(size_t server, const AttemptResult& result);

  void OnReport(const LoadReport& report, Instant now);
  void OnPeerLoad(const PeerLoad& load, Instant now);
  // Requests of hosts that are no longer live count for a limited time.
  void SetLive(const std::vector<HostId>& live, Instant now);

  // Whether the server may get trial requests only.
  bool IsTrial(size_t server, Instant now) const;
  // Slots that may be used, regardless of requests in flight.
  int UsableSlots(size_t server, Instant now) const;
  // UsableSlots() minus the requests in flight from this host and its peers.
  int FreeSlots(size_t server, Instant now) const;
  // The peers' requests in flight, without reports that are too old.
  int PeersInFlight(size_t server, Instant now) const;
  // Mean response time over all servers, in milliseconds.
  double mean_ms() const { return mean_ms_; }

 private:
  bool IsCounted(const PeerCount& peer, const State& state, Instant now) const;

  UsableFn usable_;
  std::vector<State> states_;
  double mean_ms_ = 0;
};

}  // namespace toucanknot

#endif  // SRC_STEERING_SERVER_TABLE_H_
