#ifndef BENCH_STEERING_ARRIVALS_H_
#define BENCH_STEERING_ARRIVALS_H_

#include <cstdint>
#include <vector>

#include "bench/steering/deployment.h"
#include "bench/steering/scenario.h"

namespace toucanknot::bench {

// One request of a caller.
struct Arrival {
  int64_t at_us = 0;
  size_t service = 0;
  size_t region = 0;
  // How long a warm backend server works on it.
  int64_t work_us = 0;
};

// SplitMix64.
class Rng {
 public:
  explicit Rng(uint64_t seed) : state_(seed) {}
  uint64_t Next();
  size_t Below(size_t n) { return static_cast<size_t>(Next() % n); }
  // From 0 to below 1.
  double Uniform();
  // Exponentially distributed.
  double Exponential(double mean);

 private:
  uint64_t state_;
};

// All requests of a run by time: Poisson arrivals in each region, with
// exponential work. Every way of steering gets the same ones.
std::vector<Arrival> MakeArrivals(const Deployment& deployment,
                                  const Scenario& scenario,
                                  uint64_t seed);

// Slots of a service, of all regions.
int SlotsOf(const Deployment& deployment, size_t service);

}  // namespace toucanknot::bench

#endif  // BENCH_STEERING_ARRIVALS_H_
