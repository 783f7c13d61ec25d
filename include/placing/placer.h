#ifndef INCLUDE_PLACING_PLACER_H_
#define INCLUDE_PLACING_PLACER_H_

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "include/base/clock.h"
#include "include/base/enum_names.h"
#include "include/base/ids.h"
#include "include/placing/cold_owners.h"
#include "include/placing/demand.h"
#include "include/placing/fleet_demand.h"
#include "include/placing/object_affinity_cache.h"
#include "include/placing/peer_loads.h"
#include "include/placing/server_load.h"
#include "include/placing/server_registry.h"
#include "include/placing/service_view.h"
#include "include/placing/work_times.h"
#include "include/routing/route_config.h"

namespace toucanknot {

// Why the placer refuses a request. It has not run.
enum class PlacementRefusal {
  kNone,
  // No backend server of the service takes requests.
  kNoServer,
  // It would not be answered before its deadline.
  kTooLate,
};

inline constexpr EnumNames<PlacementRefusal, 3> kPlacementRefusalNames{
    {"none", "no-server", "too-late"}};

// A request as the placer sees it.
struct PlacementRequest {
  // Unique at this host.
  uint64_t id = 0;
  // Lives as long as the configuration that the owner holds; read in Offer()
  // only.
  const Route* route = nullptr;
  ServiceId service;
  // Hash of what the request is about; 0 when it does not say.
  uint64_t object = 0;
  // An answer until `target` is worth the most, one after `deadline` nothing.
  Instant target = Instant::Never();
  Instant deadline = Instant::Never();
  // Backend servers that it has been sent to before.
  std::vector<ServerId> avoid;
};

enum class PlacementStep { kSend, kWait, kRefuse };

inline constexpr EnumNames<PlacementStep, 3> kPlacementStepNames{
    {"send", "wait", "refuse"}};

// What to do with a request now.
struct Placement {
  uint64_t item = 0;
  PlacementStep step = PlacementStep::kWait;
  ServerId server;
  PlacementRefusal refusal = PlacementRefusal::kNone;
  // For a refusal: when the caller should come back.
  Duration retry_after;
  // The figures behind the decision, for the log: requests at the server, the
  // expected time to the answer in ms, whether the object is warm there, and
  // how many requests wait at this host.
  double busy = 0;
  double expected_ms = 0;
  bool warm = false;
  int queued = 0;
  // How long ago the server's entry last changed.
  Duration entry_age;
  // The part of the service's slots in use.
  double filled = 0;
  // Other hosts whose requests are counted in it, and all others.
  int heard = 0;
  int others = 0;
};

// How an attempt at a backend server ended.
enum class ServerAttemptEnd {
  // A whole answer of its own.
  kAnswered,
  // A whole answer that reports a failure of the server.
  kFailed,
  // It stated that it did not run the request.
  kRefused,
  // The address belongs to another server by now.
  kMisdirected,
  // No connection; nothing was sent.
  kNotConnected,
  // The connection broke, or the answer was none.
  kBroken,
  kTimedOut,
  // Given up by this host, for a caller that left.
  kCancelled,
};

inline constexpr EnumNames<ServerAttemptEnd, 8> kServerAttemptEndNames{
    {"answered", "failed", "refused", "misdirected", "not-connected", "broken",
     "timed-out", "cancelled"}};

struct SendResult {
  uint64_t item = 0;
  ServerId server;
  ServerAttemptEnd end = ServerAttemptEnd::kAnswered;
  Duration took;
  // The server's own figures; `reported` says whether it gave any.
  bool reported = false;
  int running = 0;
  int waiting = 0;
};

// Chooses a backend server for each request of one host, or lets it wait, or
// refuses it. Prefers the server that answers soonest: near, not full, with
// the request's object at hand. Requests that wait are sent in the order of
// what is still worth most: first those that can still meet their target, the
// more urgent ones before the others. Does no I/O: the same calls give the
// same decisions. Not thread-safe.
class Placer {
 public:
  struct Options {
    HostId host;
    ZoneId zone;
    RegionId region;
    std::map<ZoneId, RegionId> regions;
    // As in FleetHost.
    double capacity = 1;
    // Time to a server and back, in ms.
    double zone_rtt = 2;
    double region_rtt = 40;
  };

  // `now` is when the host began.
  Placer(Options options, const ServerRegistry& registry, Instant now);

  // Decides on a new request, or on the next attempt of one.
  Placement Offer(const PlacementRequest& item, Instant now);
  // Takes a waiting request back.
  void Withdraw(uint64_t item);
  // An attempt ended.
  void Finish(const SendResult& result, Instant now);
  // Decisions on requests that waited. Call after Finish(), after changes of
  // the registry, and every kAdvanceEvery while anything waits.
  std::vector<Placement> Advance(Instant now);
  size_t waiting() const { return queue_.size(); }
  // Whether the slots of some service were short when it was last looked at,
  // within kCrowdedMemory.
  bool crowded(Instant now) const { return now < crowded_until_; }

  // Another host told of its requests.
  void OnPeerSheet(const LoadSheet& sheet, Instant now) {
    peers_.OnSheet(sheet, now);
    fleet_demand_.OnSheet(sheet, now);
  }
  // This host's own requests at servers.
  std::vector<LoadSheet::Row> OwnRows() const;
  // What this host's own callers ask for.
  std::vector<LoadSheet::Demand> OwnDemands(Instant now) const;

  // Another life of a server began, or it is gone.
  void Forget(const ServerId& server);
  // Call several times a second.
  void Tick(Instant now);
  // A new version is in force.
  void OnConfig(const RouteConfigPtr& config) { config_ = config; }
  // How many hosts there are.
  void SetHostCount(int n) { host_count_ = n; }
  // The hosts that the store lists.
  void SetHosts(const std::vector<FleetHost>& hosts) {
    cold_owners_.SetHosts(hosts);
    fleet_demand_.SetHosts(hosts);
  }

  static constexpr Duration kAdvanceEvery{20};
  static constexpr Duration kCrowdedMemory{1'000};

  // The figures of all servers of `service`, as JSON.
  std::string Explain(const ServiceId& service, Instant now) const;
  // Where `item` would go now, and the figures of the servers that were
  // weighed, as JSON. Sends nothing.
  std::string ExplainItem(const PlacementRequest& item, Instant now);

 private:
  struct Waiting {
    PlacementRequest item;
    int priority = 0;
    uint64_t order = 0;
    std::string route_name;
    std::vector<RegionId> allowed_regions;
  };
  struct Flight {
    // Of the server's life that the request went to.
    std::shared_ptr<ServerLoad> load;
    ServiceId service;
    std::string route_name;
    bool was_warm = false;
    bool was_full = false;
    double slowness = 1;
  };
  // A server that a request may go to, and what is to be expected there.
  struct Candidate {
    const ServiceView::Server* server = nullptr;
    // How many servers come before it where the object is kept, up to the
    // number of those.
    int rank = 0;
    // Decides between equal costs.
    int order = 0;
    double cost = 0;
    double expected_ms = 0;
    double busy = 0;
    bool warm = false;
    bool cold = false;
    bool full = false;
  };
  // What was found for a request.
  struct Choice {
    // Its server is null when none may take it now.
    Candidate best;
    // Whether some server takes requests at all.
    bool any = false;
    // The part of the service's slots in use.
    double filled = 0;
    bool crowded() const;
  };

  Choice Choose(const Waiting& waiting, Instant now);
  // The servers that may take it, with their ranks. While the service is
  // crowded, only those where the object is kept or at hand.
  std::vector<Candidate> Candidates(const Waiting& waiting,
                                    double& filled,
                                    Instant now);
  // Fills in what is to be expected at one server.
  void Assess(const Waiting& waiting,
              const WorkTimes& times,
              Candidate& c,
              Instant now);
  bool MayTake(const Waiting& waiting,
               const ServiceView::Server& server,
               Instant now) const;
  // Whether the server has joined lately and had no request of this host yet.
  bool IsToBeTried(const ServiceView::Server& server, Instant now) const;
  // `item` as it is decided on and waits.
  Waiting MakeWaiting(const PlacementRequest& item);
  Placement Decide(const Waiting& waiting, bool queued, Instant now);
  Placement Send(const Waiting& waiting, const Choice& choice, Instant now);
  Placement Refuse(const Waiting& waiting,
                   PlacementRefusal refusal,
                   Duration wait,
                   const Choice& choice);
  // How long a request would wait here behind the more urgent ones, in ms.
  double QueueWait(const Waiting& waiting, double service_ms) const;
  std::shared_ptr<ServerLoad> LoadOf(const ServerId& id);
  WorkTimes& TimesOf(const Route& route);
  // Requests at a server, of all hosts.
  double Busy(const ServerLoad& load, Instant now) const;
  // Requests a second that this host may send to a cold server.
  double ColdRate(const ServiceId& service,
                  const ServiceView::Server& server) const;

  const Options options_;
  const ServerRegistry& registry_;
  const Instant started_at_;
  RouteConfigPtr config_;
  int host_count_ = 1;
  // Hosts draw different samples of servers.
  const uint64_t sample_seed_;
  FleetDemand fleet_demand_;
  ColdOwners cold_owners_;
  uint64_t next_order_ = 0;
  std::map<ServerId, std::shared_ptr<ServerLoad>> loads_;
  PeerLoads peers_;
  std::map<std::string, WorkTimes> times_;
  std::map<uint64_t, Flight> flights_;
  std::list<Waiting> queue_;
  struct Service {
    std::unique_ptr<ServiceView> view;
    // The registry's when the view was made.
    uint64_t version = 0;
    Demand demand;
    // Its ServiceKey().
    uint32_t key = 0;
    // Attempts in flight.
    int in_flight = 0;
  };
  // With a view of the registry as it is.
  Service& ServiceOf(const ServiceId& id);
  // The share of what the callers of the zone or region ask for that its
  // servers are to bear: all of it, unless that fills them more than others.
  double KeptShare(const Service& service,
                   ServiceView::Nearness within,
                   Instant now) const;
  // The servers for a request, the best ones first: where its object is kept,
  // in this region or elsewhere, or some of the nearest ones that can bear what
  // is asked for.
  ServiceView::Order OrderFor(Service& service,
                              const Waiting& waiting,
                              Instant now) const;

  Instant crowded_until_;
  std::map<ServiceId, Service> services_;
  ObjectAffinityCache fetched_;
};

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_PLACER_H_
