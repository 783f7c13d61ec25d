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
  // Objects of each region, asked for equally often.
  int objects = 0;
  // Work where the object is not at hand, and the part of it where it is.
  double work_ms = 0;
  double warm_part = 0.3;
  Duration target;
  Duration timeout;
  int priority = 0;
};

// What is played.
struct ModelSetup {
  std::vector<ModelRoute> routes;
  // Backend servers of each region.
  std::vector<int> servers;
  int hosts_per_region = 2;
  // Callers that come to each host of a region, relative to the others; all the
  // same when it is empty.
  std::vector<double> host_weights;
  int slots = 4;
  // Requests that wait at a server at most.
  int queue = 12;
  // Objects that a server has at hand.
  size_t keeps = 26;
  Duration length{30'000};
  // From then on a part of the servers takes `slow_by` times as long.
  Duration slow_from{0};
  double slow_part = 0;
  double slow_by = 1;
  // All rates are multiplied in a part of the time.
  Duration burst_from{0};
  Duration burst_to{0};
  double burst_by = 1;
  // From then on a part of one region's servers takes nothing new.
  Duration leave_from{0};
  size_t leave_region = 0;
  double leave_part = 0;
  // The part of the sheets between hosts that is lost.
  double sheet_loss = 0;
  uint64_t seed = 1;
  // Takes the server with the fewest requests of the own host instead of
  // asking the placer, and never refuses or waits.
  bool naive = false;
};

// Two kinds of request like those of a job tracker: 880 ms and 1,160 ms of
// work, 0.3 of it with the object at hand; one region of three has few servers.
// At a load of 1.45 the work of warm requests fills 64 % of the slots.
ModelSetup TrackerSetup(double load);

// What callers got of one route.
struct ModelResult {
  int asked = 0;
  int in_target = 0;
  int late = 0;
  // Refused as not run, also when the caller came back.
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
  // Sends for which the object was not at hand.
  int fetches = 0;
  int sends = 0;
  // The most requests at one server.
  int most_at_server = 0;
  // Answers within the target and requests, by the callers' region.
  std::vector<ModelResult> regions;
  // The greatest part of a region's requests that ran in another region from
  // one span of two seconds to the next, once traffic had run for six.
  double most_shift = 0;

  ModelResult Total() const;
};

// A fleet of hosts with the shipped placer, backend servers that are faster
// with objects that they handled lately, and callers that come back once after
// a refusal, in simulated time. The same setup gives the same outcome.
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

  void At(int64_t ms, std::function<void()> run);
  void ScheduleArrival(size_t region, const Route& route, const ModelRoute& m);
  void Offer(const RequestPtr& request);
  void Act(const RequestPtr& request, const Placement& placement);
  void Send(const RequestPtr& request, const ServerId& id);
  void Begin(Server& server, const RequestPtr& request);
  void EndRun(Server& server, const RequestPtr& request, int64_t took);
  void Finish(const RequestPtr& request,
              ServerAttemptEnd end,
              const Server& server);
  void Refused(const RequestPtr& request, Duration retry_after);
  void Advance(Host& host);
  void Tick();
  void Leave();
  void CountRegion(const Request& request, size_t ran_in);
  Instant Now() const { return Instant(now_); }

  const ModelSetup setup_;
  std::mt19937_64 random_;
  int64_t now_ = kStart;
  uint64_t order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  RouteConfigPtr config_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::map<ServerId, Server*> by_id_;
  std::vector<std::unique_ptr<Host>> hosts_;
  uint64_t next_item_ = 0;
  ModelOutcome outcome_;
  // By region: requests of the span that ran in each region, and of the span
  // before.
  std::vector<std::vector<int>> ran_;
  std::vector<std::vector<int>> ran_before_;

  // Any positive time: the clock's origin is arbitrary.
  static constexpr int64_t kStart = 1'000'000;
};

}  // namespace toucanknot

#endif  // BENCH_PLACING_FLEET_MODEL_H_
