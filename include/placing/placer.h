#ifndef INCLUDE_PLACING_PLACER_H_
#define INCLUDE_PLACING_PLACER_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "include/base/clock.h"
#include "include/base/enum_names.h"
#include "include/base/ids.h"
#include "include/placing/demand.h"
#include "include/placing/fair_queue.h"
#include "include/placing/fleet_demand.h"
#include "include/placing/machine_speed.h"
#include "include/placing/object_affinity_cache.h"
#include "include/placing/peer_loads.h"
#include "include/placing/queue_policy.h"
#include "include/placing/rate_owners.h"
#include "include/placing/server_limits.h"
#include "include/placing/server_load.h"
#include "include/placing/server_notice.h"
#include "include/placing/server_registry.h"
#include "include/placing/service_view.h"
#include "include/placing/work_times.h"
#include "include/placing/zone_distances.h"
#include "include/routing/route_config.h"

namespace toucanknot {

// Why the placer refuses a request. A refused request has not run.
enum class PlacementRefusal {
  kNone,
  // No backend server of the service accepts requests.
  kNoServer,
  // It could not be answered before its deadline.
  kTooLate,
  // It could not be answered before the host stops.
  kStopping,
};

inline constexpr EnumNames<PlacementRefusal, 4> kPlacementRefusalNames{
    {"none", "no-server", "too-late", "stopping"}};

// A request as the placer sees it.
struct PlacementRequest {
  // Unique at this host.
  uint64_t id = 0;
  // Valid as long as the configuration held by the owner; read in Offer() only.
  const Route* route = nullptr;
  ServiceId service;
  // Hash of the object that the request is about; 0 when it names none.
  uint64_t object = 0;
  // A response by `target` has full value, one after `deadline` none.
  Instant target = Instant::Never();
  Instant deadline = Instant::Never();
  // Backend servers to which it must not be sent again.
  std::vector<ServerId> avoid;
  // Whether its caller was refused before and has come back.
  bool returned = false;
  // Take the place of the route's, if set.
  std::optional<int> priority;
  std::optional<std::vector<RegionId>> allowed_regions;
  // WorkspaceKey() of its workspace; 0 if it has none.
  uint32_t workspace = 0;
};

enum class PlacementStep { kSend, kWait, kRefuse };

inline constexpr EnumNames<PlacementStep, 3> kPlacementStepNames{
    {"send", "wait", "refuse"}};

// What to do with a request now.
struct Placement {
  uint64_t request_id = 0;
  PlacementStep step = PlacementStep::kWait;
  ServerId server;
  PlacementRefusal refusal = PlacementRefusal::kNone;
  // For a refusal: when the caller should retry.
  Duration retry_after;
  // The figures behind the decision, for the log: requests at the server, the
  // expected time to the response in ms, whether the server has the object
  // cached, and how many requests wait at this host.
  double busy = 0;
  double expected_ms = 0;
  bool warm = false;
  int queued = 0;
  // How long ago the server's entry last changed.
  Duration entry_age;
  // Fraction of the service's slots in use.
  double utilization = 0;
  // Number of other hosts with a fresh load sheet, and of all other hosts.
  int fresh_peers = 0;
  int other_hosts = 0;
};

// How an attempt at a backend server ended.
enum class ServerAttemptEnd {
  // A complete response that reports no failure of the server.
  kAnswered,
  // A complete response that reports a failure of the server.
  kFailed,
  // The server stated that it did not run the request.
  kRefused,
  // The address now belongs to another server.
  kMisdirected,
  // No connection could be opened; nothing was sent.
  kNotConnected,
  // The connection broke, or the response was not valid.
  kBroken,
  kTimedOut,
  // Cancelled by this host because the caller disconnected.
  kCancelled,
};

inline constexpr EnumNames<ServerAttemptEnd, 8> kServerAttemptEndNames{
    {"answered", "failed", "refused", "misdirected", "not-connected", "broken",
     "timed-out", "cancelled"}};

struct PlacedAttemptResult {
  uint64_t request_id = 0;
  ServerId server;
  ServerAttemptEnd end = ServerAttemptEnd::kAnswered;
  Duration took;
  // How long a new connection to the server took to open; zero if none was
  // opened.
  Duration connect_took;
  // Load figures reported by the server; valid only if `reported`.
  bool reported = false;
  int running = 0;
  int waiting = 0;
  // How long work takes on the server's machine at the moment, relative to
  // usual, if the server says so.
  std::optional<double> work_ratio;
  // What the server stated; none if it sent no response of its own.
  std::optional<ServerNotice> notice;
};

// Chooses a backend server for each request of one host, or queues the request,
// or refuses it. Prefers the server with the shortest expected response time:
// near, not full, with the request's object cached. QueuePolicy has the rules
// for requests that find no free slot. Does no I/O and is deterministic: the
// same calls give the same decisions. Not thread-safe.
class Placer {
 public:
  struct Options {
    static constexpr double kZoneRtt = 2;
    static constexpr double kRegionRtt = 40;

    HostId host;
    ZoneId zone;
    RegionId region;
    std::map<ZoneId, RegionId> regions;
    // As in FleetHost.
    double capacity = 1;
    // Round-trip time to servers of other zones in the region and of other
    // regions, in ms, until it is known from connections.
    double zone_rtt = kZoneRtt;
    double region_rtt = kRegionRtt;
    // Whether ServerPace limits servers that started or failed recently.
    bool pace_servers = true;
  };

  // `now` is the start time of the host.
  Placer(Options options, const ServerRegistry& registry, Instant now);

  // Decides on a new request, or on the next attempt for one.
  Placement Offer(const PlacementRequest& request, Instant now);
  // Removes a queued request.
  void Withdraw(uint64_t request_id);
  // Records how an attempt ended.
  void Finish(const PlacedAttemptResult& result, Instant now);
  // Returns decisions on queued requests. Call after Finish(), after changes of
  // the registry, and every kAdvanceEvery while anything waits.
  std::vector<Placement> Advance(Instant now);
  size_t waiting() const { return queue_.size(); }
  // Mean service time of the route's requests; zero while it is unknown.
  Duration MeanTime(const std::string& route_name) const;
  // Whether within kCrowdedMemory some service was found to be nearly out of
  // slots.
  bool crowded(Instant now) const { return now < crowded_until_; }

  // Handles a load sheet of another host.
  void OnPeerLoadSheet(const LoadSheet& sheet, Instant now) {
    peers_.OnLoadSheet(sheet, now);
    fleet_demand_.OnLoadSheet(sheet, now);
  }
  // Handles the limits of servers in a load sheet or notice of another host.
  void OnPeerLimits(const LoadSheet& sheet, Instant now);
  // The limits that servers named to this host, for the other hosts.
  std::vector<LoadSheet::Limit> OwnLimits(Instant now) const;
  // Whether servers changed their limits since the last call.
  bool TakeLimitNews() { return limits_.TakeNews(); }
  // The limit that the server names, in requests a second from all hosts.
  std::optional<double> LimitOf(const ServerId& server) const;
  // This host's requests in flight, by server.
  std::vector<LoadSheet::Row> OwnServerLoads() const;
  // The demand of this host's own callers, by service.
  std::vector<LoadSheet::Demand> OwnDemands(Instant now) const;

  // Drops the figures of a server that restarted or is gone.
  void ForgetServer(const ServerId& server);
  // Expires old load sheets and updates the demand. Call several times a
  // second.
  void Tick(Instant now);
  // Applies a new version of the configuration.
  void OnConfig(const RouteConfigPtr& config) { config_ = config; }
  // Sets the number of hosts in the fleet, including this one.
  void SetHostCount(int n) { host_count_ = n; }
  // Sets the hosts that the store lists.
  void SetHosts(const std::vector<FleetHost>& hosts) {
    rate_owners_.SetHosts(hosts);
    fleet_demand_.SetHosts(hosts);
  }

  static constexpr Duration kAdvanceEvery{20};
  static constexpr Duration kCrowdedMemory{1'000};

  // Load figures of all servers of `service`, as JSON.
  std::string Explain(const ServiceId& service, Instant now) const;
  // What Offer() would decide now. Changes nothing but caches.
  Placement Preview(const PlacementRequest& request, Instant now);
  // That decision and the figures of all candidates, as JSON. Changes nothing
  // but caches.
  std::string ExplainRequest(const PlacementRequest& request, Instant now);

 private:
  struct Service;
  struct QueuedRequest {
    PlacementRequest request;
    int priority = 0;
    uint64_t order = 0;
    // Its start in the FairQueue of its service and priority.
    int64_t fair_start = 0;
    std::string route_name;
    std::vector<RegionId> allowed_regions;
  };
  struct ActiveAttempt {
    // Figures of the server's incarnation to which the request was sent.
    std::shared_ptr<ServerLoad> load;
    ServiceId service;
    ZoneId zone;
    // The server's ServerRunKey().
    uint32_t run_key = 0;
    std::string route_name;
    bool was_warm = false;
    bool was_full = false;
    double slowness = 1;
    // What the server's machine last reported before the request was sent, and
    // the factor expected from it.
    std::optional<MachineSpeed::Report> machine_speed;
    double speed_factor = 1;
    Instant sent_at;
  };
  // A server that a request may be sent to, with the estimates for it.
  struct Candidate {
    const ServiceView::Server* server = nullptr;
    // Position in the object's preference order, counting only servers that can
    // take the request; capped at the number of servers that keep the object.
    int rank = 0;
    // Tie-breaker between equal costs.
    int order = 0;
    double cost = 0;
    double expected_ms = 0;
    double busy = 0;
    // Estimated wait there, and factors of the work: slowness learned from
    // responses, and the machine's speed.
    double wait_ms = 0;
    double slowness = 1;
    double speed_factor = 1;
    bool warm = false;
    bool cold = false;
    bool full = false;
  };
  // The result of choosing a server for a request.
  struct Choice {
    // `best.server` is null when no server can take the request now.
    Candidate best;
    // Whether any server accepts requests at all.
    bool any = false;
    // If there is none: when the first of the servers whose rate is limited
    // accepts another one, and their rates together.
    Instant paced_until = Instant::Never();
    double paced_rate = 0;
    // Fraction of the service's slots in use.
    double utilization = 0;
    bool crowded() const;
    bool nearly_crowded() const;
  };

  Choice Choose(const QueuedRequest& waiting, Instant now);
  // The servers that may take the request, with their ranks. While the service
  // is crowded, only those that keep the object or have it cached.
  std::vector<Candidate> Candidates(const QueuedRequest& waiting,
                                    double& utilization,
                                    Instant now);
  // Fills in the estimates for one server.
  void EstimateCost(const QueuedRequest& waiting,
                    const WorkTimes& times,
                    Candidate& c,
                    Instant now) const;
  // The most requests that a server gets.
  static double MostAtServer(const ServiceView::Server& server);
  bool MayTake(const QueuedRequest& waiting,
               const ServiceView::Server& server,
               Instant now) const;
  // The time until the first pause ends of servers that could take the request
  // otherwise; 0 if there is none.
  Duration ShortestPause(const QueuedRequest& waiting, Instant now) const;
  // Whether the server started recently, is near and has had no request from
  // this host yet.
  bool NeedsTrial(const ServiceView::Server& server, Instant now) const;
  // Whether the server started or failed recently and must not get another
  // request of this host yet.
  bool IsPaced(const Service& service,
               const ServiceView::Server& server,
               Instant now) const;
  // Calls `look` with the queue entry that Offer() would make for `request`,
  // and undoes what building it and choosing for it changes.
  void Look(const PlacementRequest& request,
            const std::function<void(const QueuedRequest&)>& look,
            Instant now);
  // Builds the queue entry for `request`.
  QueuedRequest MakeQueuedRequest(const PlacementRequest& request);
  // Whether a request waits although the chosen server could take it, since it
  // is `late`, slots are scarce and others can still be in time.
  static bool YieldsSlot(const Choice& choice, bool late);
  // A decision, and what it changes beyond the placement itself.
  struct Judgement {
    Placement placement;
    // No server had room for the request.
    bool found_no_room = false;
    // A request of a returned caller was refused without being queued.
    bool refused_returned = false;
  };
  // Decides on a request with `ahead` more urgent ones queued for its service.
  // Changes nothing.
  Judgement Judge(const QueuedRequest& waiting,
                  const Choice& choice,
                  int ahead,
                  Instant now) const;
  // As Judge(), and applies the decision.
  Placement Decide(const QueuedRequest& waiting, int ahead, Instant now);
  Placement Send(const QueuedRequest& waiting,
                 const Choice& choice,
                 Instant now);
  Placement Refuse(const QueuedRequest& waiting,
                   PlacementRefusal refusal,
                   Duration wait,
                   const Choice& choice) const;
  // The placement of a request at the chosen server.
  Placement ToServer(const QueuedRequest& waiting,
                     const Choice& choice,
                     Instant now) const;
  // Service time in ms at a server that has the object cached; 0 as long as it
  // is only guessed: if guesses refused requests or held them back, a new route
  // would never get the samples that correct its guess.
  double KnownServiceMs(const QueuedRequest& waiting) const;
  // Whether a response can no longer arrive within the target.
  bool IsLate(const QueuedRequest& waiting, Instant now) const;
  QueueRank RankOf(const QueuedRequest& waiting, Instant now) const;
  // Number of more urgent requests queued for the same service.
  int QueuedAhead(const QueuedRequest& waiting, Instant now) const;
  // Estimated time in ms that a request would wait here behind `ahead` others.
  double QueueWait(const QueuedRequest& waiting, int ahead) const;
  // Estimated time in ms until a server whose rate is limited accepts a request
  // behind `ahead` others; 0 unless all servers are of that kind.
  static double PacedWait(const Choice& choice, int ahead, Instant now);
  std::shared_ptr<ServerLoad> LoadOf(const ServerRegistry::Server& server);
  WorkTimes& TimesOf(const Route& route);
  // Requests of all hosts at a server.
  double Busy(const ServerLoad& load, Instant now) const;
  // Requests a second that this host may send to the server, if that is
  // limited: while it is cold, and while it names a limit.
  std::optional<double> MaxRate(const ServiceId& service,
                                const ServiceView::Server& server,
                                Instant now) const;
  // Requests a second that this host may send to a cold server.
  double ColdRate(const ServiceId& service,
                  const ServiceView::Server& server) const;
  // This host's share of the limit that the server names.
  double LimitShare(const ServiceView::Server& server,
                    double limit,
                    Instant now) const;

  const Options options_;
  const ServerRegistry& registry_;
  const Instant started_at_;
  RouteConfigPtr config_;
  int host_count_ = 1;
  // Makes hosts draw different samples of servers.
  const uint64_t sample_seed_;
  FleetDemand fleet_demand_;
  RateOwners rate_owners_;
  ServerLimits limits_;
  uint64_t next_order_ = 0;
  std::map<ServerId, std::shared_ptr<ServerLoad>> loads_;
  PeerLoads peers_;
  std::map<std::string, WorkTimes> times_;
  std::map<uint64_t, ActiveAttempt> active_attempts_;
  std::list<QueuedRequest> queue_;
  struct Service {
    std::unique_ptr<ServiceView> view;
    // Version of the registry from which the view was built.
    uint64_t version = 0;
    Demand demand;
    MachineSpeed machine_speed;
    // Its ServiceKey().
    uint32_t key = 0;
    // Attempts in flight.
    int in_flight = 0;
    // Fraction of the slots at servers whose pace is limited.
    double paced_part = 0;
    ReturnedServed returned_served;
    // By priority.
    std::map<int, FairQueue> fair_queues;
    // Until `scarce_until`, requests less urgent than the priority `scarce_for`
    // leave room at full servers, since a request of that priority found none.
    int scarce_for = 0;
    Instant scarce_until;
  };
  FairQueue& FairQueueOf(const QueuedRequest& waiting) {
    return services_[waiting.request.service].fair_queues[waiting.priority];
  }
  // Returns the service with a view that matches the current registry.
  Service& ServiceOf(const ServiceId& id);
  // The share of the demand from the callers of the zone or region that its own
  // servers take, for requests that run `service_ms`: all of it, unless that
  // fills them more than the servers elsewhere, and more than MaxLocalFill().
  double LocalShare(const Service& service,
                    ServiceView::Nearness within,
                    double service_ms,
                    Instant now) const;
  // Round-trip time in ms to servers of `zone` at that distance.
  double RttMs(const ZoneId& zone, ServiceView::Nearness nearness) const;
  // The preferred servers for a request, best first: those that keep its
  // object, in this region or elsewhere; or, without an object, a sample of the
  // nearest ones that can carry the demand.
  ServiceView::Order OrderFor(Service& service,
                              const QueuedRequest& waiting,
                              Instant now) const;

  Instant crowded_until_;
  std::map<ServiceId, Service> services_;
  ObjectAffinityCache affinity_cache_;
  ZoneDistances distances_;
};

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_PLACER_H_
