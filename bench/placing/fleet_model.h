#ifndef BENCH_PLACING_FLEET_MODEL_H_
#define BENCH_PLACING_FLEET_MODEL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "include/placing/placer.h"

namespace toucanknot {

// One kind of request in the model.
struct ModelRoute {
  std::string name;
  // Requests a second from each region.
  double rate = 0;
  // Number of objects in each region, requested with equal probability.
  int objects = 0;
  // Work when the object is not cached, and the fraction of it when it is.
  double work_ms = 0;
  double warm_part = 0.3;
  Duration target;
  Duration timeout;
  int priority = 0;
};

// Servers of a region that start during a run, with nothing cached.
struct ModelStart {
  Duration at;
  size_t region = 0;
  // The first of them, and their number.
  int first = 0;
  int count = 1;
  // Whether they ran before, under the same ids, and restart.
  bool restart = false;
  // Work takes `slow_by` times as long there for `slow_for` after the start.
  double slow_by = 1;
  Duration slow_for;
};

// Parameters of a run.
struct ModelSetup {
  std::vector<ModelRoute> routes;
  // Number of backend servers in each region.
  std::vector<int> servers;
  int hosts_per_region = 2;
  // Relative number of callers of each host of a region; equal when empty.
  std::vector<double> host_weights;
  int slots = 4;
  // Maximum queue length of a server.
  int queue = 12;
  // Number of objects that a server keeps cached.
  size_t cached_objects = 26;
  Duration length{30'000};
  // From then on a fraction of the servers takes `slow_by` times as long.
  Duration slow_from{0};
  double slow_part = 0;
  double slow_by = 1;
  // The time of work on each machine varies about its usual value: the standard
  // deviation of its logarithm, and for how long a value persists. 0: it does
  // not vary.
  double speed_spread = 0;
  Duration speed_persists{300};
  // Whether servers report the speed of their machines.
  bool speed_reported = false;
  // All rates are multiplied by `burst_by` during the burst.
  Duration burst_from{0};
  Duration burst_to{0};
  double burst_by = 1;
  // From then on a fraction of one region's servers accepts no new requests.
  Duration leave_from{0};
  size_t leave_region = 0;
  double leave_part = 0;
  std::vector<ModelStart> starts;
  // Network latency between regions in one direction.
  Duration between_regions{20};
  // Whether hosts learn the distances from the time that connections take.
  bool distances_known = true;
  // Whether hosts recognize callers that return after a refusal.
  bool returns_known = true;
  // Fraction of the load sheets between hosts that is lost.
  double sheet_loss = 0;
  uint64_t seed = 1;
  // Sends each request to a random server instead of asking the placer, and
  // never refuses or queues.
  bool naive = false;
};

// Two kinds of request like those of a job tracker: 880 ms and 1,160 ms of
// work, 0.3 of it with the object cached; one region of three has few servers.
// At a load of 1.45, warm requests fill 64 % of the slots.
ModelSetup TrackerSetup(double load);

// Results that callers got on one route.
struct ModelResult {
  int asked = 0;
  int in_target = 0;
  int late = 0;
  // Refused without running, on the retry too.
  int refused = 0;
  // Timed out, or given up by a server.
  int failed = 0;
  // The longest time to a refusal, in ms.
  int64_t slowest_refusal_ms = 0;

  double InTarget() const {
    return asked > 0 ? static_cast<double>(in_target) / asked : 1;
  }
  double Served() const {
    return asked > 0 ? static_cast<double>(in_target + late) / asked : 1;
  }
};

struct ModelOutcome {
  std::map<std::string, ModelResult> routes;
  // Requests sent to a server that did not have the object cached.
  int fetches = 0;
  int sends = 0;
  // Maximum number of requests at one server.
  int max_at_server = 0;
  // Responses within the target and requests, by the callers' region.
  std::vector<ModelResult> regions;
  // Of the requests that arrived in the 12 s after the first start of a server.
  ModelResult after_start;
  // The mean number of requests at servers that started less than 3 s ago.
  double mean_at_started = 0;
  // Largest fraction of a region's requests that moved to another region
  // between consecutive spans of two seconds, not counting the first six
  // seconds.
  double max_shift = 0;

  ModelResult Total() const;
};

// Simulates a fleet of hosts that use the real placer, backend servers that are
// faster for objects they handled recently, and callers that retry once after a
// refusal. Deterministic: the same setup gives the same outcome.
class FleetModel {
 public:
  explicit FleetModel(ModelSetup setup);
  ~FleetModel();

  ModelOutcome Run();

 private:
  struct Server;
  struct Host;
  struct Request;
  using RequestPtr = std::shared_ptr<Request>;

  struct Event {
    int64_t at = 0;
    uint64_t order = 0;
    std::function<void()> run;

    bool operator>(const Event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void ScheduleAt(int64_t ms, std::function<void()> run);
  void ScheduleArrival(size_t region, const Route& route, const ModelRoute& m);
  void Offer(const RequestPtr& request);
  void Apply(const RequestPtr& request, const Placement& placement);
  void Send(const RequestPtr& request, const ServerId& id);
  void StartRun(Server& server, const RequestPtr& request);
  void EndRun(Server& server, const RequestPtr& request, int64_t took);
  void Finish(const RequestPtr& request,
              ServerAttemptEnd end,
              const Server& server);
  void OnRefused(const RequestPtr& request, Duration retry_after);
  void Advance(Host& host);
  void Tick();
  void StartLeaving();
  void StartServers(const ModelStart& start);
  bool IsAfterStart(const Request& request) const;
  void MeasureStarted();
  // Moves the speeds of all machines on by one step.
  void ChangeSpeeds();
  // Network latency from a host to a server in one direction, in ms.
  int64_t Latency(const Host& host, const Server& server) const;
  void CountRegion(const Request& request, size_t ran_in);
  Instant Now() const { return Instant(now_); }

  const ModelSetup setup_;
  std::mt19937_64 random_;
  // Apart from random_, so that speeds change nothing else.
  std::mt19937_64 speed_random_;
  int64_t now_ = kStart;
  uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  RouteConfigPtr config_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::map<ServerId, Server*> by_id_;
  std::vector<std::unique_ptr<Host>> hosts_;
  uint64_t last_request_id_ = 0;
  int64_t first_start_ = INT64_MAX / 2;
  int64_t started_samples_ = 0;
  int64_t started_requests_ = 0;
  ModelOutcome outcome_;
  // By region of the caller: how many requests ran in each region in the
  // current span and in the previous one.
  std::vector<std::vector<int>> ran_in_;
  std::vector<std::vector<int>> ran_in_previous_;

  // Arbitrary, but positive.
  static constexpr int64_t kStart = 1'000'000;
};

}  // namespace toucanknot

#endif  // BENCH_PLACING_FLEET_MODEL_H_
