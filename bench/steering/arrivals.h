#ifndef BENCH_STEERING_ARRIVALS_H_
#define BENCH_STEERING_ARRIVALS_H_

#include <cstdint>
#include <vector>

#include "bench/steering/deployment.h"
#include "bench/steering/scenario.h"

namespace toucanknot::bench {

// One request of a caller and its arrival time.
struct Arrival {
  int64_t at_us = 0;
  size_t service = 0;
  size_t region = 0;
  // The service time at a warm backend server.
  int64_t work_us = 0;
};

// A SplitMix64 random number generator.
class Rng {
 public:
  explicit Rng(uint64_t seed) : state_(seed) {}
  uint64_t Next();
  size_t Below(size_t n) { return static_cast<size_t>(Next() % n); }
  // Uniformly distributed in [0, 1).
  double Uniform();
  // Exponentially distributed.
  double Exponential(double mean);

 private:
  uint64_t state_;
};

// Generates all requests of a run, sorted by time: Poisson arrivals in each
// region with exponential service times. All policies get the same requests.
std::vector<Arrival> MakeArrivals(const Deployment& deployment,
                                  const Scenario& scenario,
                                  uint64_t seed);

// The number of slots of a service in all regions.
int SlotsOf(const Deployment& deployment, size_t service);

}  // namespace toucanknot::bench

#endif  // BENCH_STEERING_ARRIVALS_H_
