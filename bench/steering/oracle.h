#ifndef BENCH_STEERING_ORACLE_H_
#define BENCH_STEERING_ORACLE_H_

#include <cstdint>
#include <deque>
#include <vector>

#include "bench/steering/arrivals.h"
#include "bench/steering/deployment.h"
#include "bench/steering/event_queue.h"
#include "bench/steering/measures.h"
#include "bench/steering/scenario.h"

namespace toucanknot::bench {

// The theoretical upper bound: one queue per service with immediate knowledge
// of every slot in every region. Only the round trip between a caller's region
// and another region's slot takes time. It uses the fastest free slot of the
// own region, one of another region if waiting would take longer than the round
// trip, and drops requests past their deadline.
class Oracle {
 public:
  Oracle(const Deployment& deployment, const Scenario& scenario, uint64_t seed);

  Measures Run();

 private:
  struct Slot {
    size_t region = 0;
    size_t zone = 0;
    double slowness = 1;
    bool fails = false;
    bool cold = false;
    bool alive = true;
    bool busy = false;
    // Incremented when the running request is lost.
    int incarnation = 0;
    int64_t warm_from_us = 0;
  };
  struct Waiting {
    Arrival arrival;
    int64_t deadline_us = 0;
  };
  struct Queue {
    std::vector<Slot> slots;
    std::deque<Waiting> waiting;
  };

  void MakeSlots(size_t service);
  void StartNextArrival();
  void StartWaiting(size_t service);
  // The expected wait for a slot of the region behind `ahead` other requests.
  double WaitUs(size_t service, size_t region, size_t ahead) const;
  Slot* BestSlot(Queue& queue, size_t region);
  void Start(size_t service, const Waiting& request, Slot& slot);
  double Slowness(const Slot& slot) const;
  void SetFault(bool active);

  const Deployment& deployment_;
  const Scenario scenario_;
  EventQueue events_;
  std::vector<Arrival> arrivals_;
  size_t next_ = 0;
  std::vector<Queue> queues_;
  std::vector<double> capacity_;
  Measures measures_;
};

}  // namespace toucanknot::bench

#endif  // BENCH_STEERING_ORACLE_H_
