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

// The physical limit: one queue for each service that knows every slot of
// every region at once and without a message. Only the way from a caller's
// region to another region's slot and back takes time. It takes the fastest
// free slot of the own region, another region's where waiting takes longer than
// the way, and drops what is late.
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
    // Goes up when what runs is lost.
    int life = 0;
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
  void Take(size_t service);
  // How long a request waits for a slot of its region behind `ahead` others.
  double WaitUs(size_t service, size_t region, size_t ahead) const;
  Slot* BestSlot(Queue& queue, size_t region);
  void Start(size_t service, const Waiting& request, Slot& slot);
  double Slowness(const Slot& slot) const;
  void Lose(bool lost);

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
