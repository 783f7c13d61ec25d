#ifndef SRC_STEERING_SERVER_TABLE_H_
#define SRC_STEERING_SERVER_TABLE_H_

#include <functional>
#include <vector>

#include "include/base/clock.h"
#include "include/base/ids.h"
#include "include/steering/dispatcher.h"
#include "src/steering/fleet_view.h"

namespace toucanknot {

// What one host knows of the load of its region's backend servers: its own
// requests, exactly; those of its peers, by what they told; and the servers'
// own reports. Servers are named by their index in the region's list.
class ServerTable {
 public:
  // The part of a server's slots that may be used, 0 to 1.
  using UsableFn = std::function<double(const ServerId&, Instant)>;

  struct PeerCount {
    HostId host;
    int requests = 0;
    // When the figure was true.
    Instant at;
    // The host no longer lives: its requests may still run.
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
    // Mean time of an answer; 0 before the first.
    double mean_ms = 0;
  };

  explicit ServerTable(UsableFn usable) : usable_(std::move(usable)) {}

  // Takes over the servers of a new configuration; figures of servers that
  // stay are kept.
  void SetServers(const std::vector<FleetView::Server>& servers);

  size_t size() const { return states_.size(); }
  const State& at(size_t server) const { return states_[server]; }
  // The index of `id`, or size() when there is none.
  size_t Find(const ServerId& id) const;

  void Started(size_t server) { ++states_[server].own; }
  void Ended(size_t server, const AttemptResult& result);

  void OnReport(const LoadReport& report, Instant now);
  void OnPeerLoad(const PeerLoad& load, Instant now);
  // Hosts that live no longer keep their figures for a while.
  void SetLive(const std::vector<HostId>& live, Instant now);

  // Whether the server is out but for a trial request.
  bool IsTrial(size_t server, Instant now) const;
  // Slots that new work may use, with nothing in flight.
  int Slots(size_t server, Instant now) const;
  // Slots(), less the own requests and those of the peers.
  int Free(size_t server, Instant now) const;
  // The peers' requests that are known and not too old.
  int PeersInFlight(size_t server, Instant now) const;
  // Mean time of an answer over all servers, in milliseconds.
  double mean_ms() const { return mean_ms_; }

 private:
  bool Counts(const PeerCount& peer, const State& state, Instant now) const;

  UsableFn usable_;
  std::vector<State> states_;
  double mean_ms_ = 0;
};

}  // namespace toucanknot

#endif  // SRC_STEERING_SERVER_TABLE_H_
