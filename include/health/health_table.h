#ifndef INCLUDE_HEALTH_HEALTH_TABLE_H_
#define INCLUDE_HEALTH_HEALTH_TABLE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <boost/unordered/unordered_flat_map.hpp>

#include "include/base/clock.h"
#include "include/base/enum_names.h"
#include "include/base/ids.h"
#include "include/config/tunables.h"
#include "include/health/server_health.h"
#include "include/health/server_life_cycle.h"

namespace toucanknot {

// One host's view of the health of the backend servers of one service. Takes in
// the host's own responses and probes, peers' views, the host list and
// operators' exceptions, and gives the share of work that each server may get.
// Own responses weigh most; a report can make a server suspect, but only this
// host's own trials bring an ejected server back. No more than
// Tunables::max_ejected_share of the servers that are not leaving is ejected at
// once, whatever the signals are.
class HealthTable {
 public:
  // Called on every change of a server's state.
  using OnChange = std::function<
      void(const ServerId& server, ServerState from, ServerState to)>;

  explicit HealthTable(const Tunables& tunables);

  void set_on_change(OnChange on_change) { on_change_ = std::move(on_change); }
  void SetTunables(const Tunables& tunables);
  // Sets the service's servers. Those of the first call start warm, those added
  // later start cold.
  void SetServers(const std::vector<ServerId>& servers, Instant now);

  // Events. Those about unknown servers are ignored.
  void OnResponse(const ServerResponseSample& response, Instant now);
  void OnProbe(const ServerProbe& probe, Instant now);
  void OnPeerView(const ServerView& view, Instant now);
  // The host list, or an exception (drain), states whether a server is leaving.
  // `age` is how long ago that was observed.
  void OnLeaving(const ServerId& server,
                 LeavingSource source,
                 bool leaving,
                 Duration age,
                 Instant now);
  // Applies the changes that depend on time alone. Call it several times a
  // second.
  void Advance(Instant now);

  // The share of its normal work that `server` may get, from 0 (no new work) to
  // 1; 0 for an unknown server.
  double Weight(const ServerId& server, Instant now) const;
  ServerState StateOf(const ServerId& server) const;
  // Whether an ejected server is due for one trial request, which should be an
  // idempotent one.
  bool TrialDue(const ServerId& server, Instant now) const;
  // Marks the trial as running. OnResponse() for the attempt ends it.
  void BeginTrial(const ServerId& server, Instant now);

  // The views to send to peers: servers that this host ejected or knows to be
  // leaving.
  std::vector<ServerView> OwnView(Instant now) const;
  int ejected() const;
  // Every server's state and the figures behind it with their ages, as JSON.
  std::string Explain(Instant now) const;

 private:
  ServerHealth* Find(const ServerId& server);
  const ServerHealth* Find(const ServerId& server) const;
  // Applies a leaving signal, if there is one, and `action`. An ejection that
  // max_ejected_share does not allow only makes the server suspect.
  void ApplyAction(ServerHealth* server, HealthAction action, Instant now);
  void Apply(ServerHealth* server, ServerSignal signal, Instant now);
  bool MayEjectMore() const;
  // The median of the mean response times in milliseconds; 0 when too few
  // servers have one.
  double MedianResponseTime() const;

  HealthOptions options_;
  double max_ejected_share_;
  std::vector<ServerHealth> servers_;
  boost::unordered_flat_map<ServerId, size_t, std::hash<ServerId>> index_;
  bool first_servers_ = true;
  OnChange on_change_;
};

}  // namespace toucanknot

#endif  // INCLUDE_HEALTH_HEALTH_TABLE_H_
