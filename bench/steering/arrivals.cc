#include "bench/steering/arrivals.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace toucanknot::bench {
namespace {

double LoadAt(const Scenario& scenario, int64_t us) {
  const bool burst = scenario.fault == Fault::kBurst &&
                     us >= int64_t{1000} * kFaultStartMs &&
                     us < int64_t{1000} * (kFaultStartMs + kBurstMs);
  return burst ? kBurstLoad : scenario.load;
}

}  // namespace

uint64_t Rng::Next() {
  uint64_t z = (state_ += 0x9e3779b97f4a7c15);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
  z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
  return z ^ (z >> 31);
}

double Rng::Uniform() {
  return static_cast<double>(Next() >> 11) * 0x1.0p-53;
}

double Rng::Exponential(double mean) {
  return -mean * std::log1p(-Uniform());
}

int SlotsOf(const Deployment& deployment, size_t service) {
  int slots = 0;
  for (const BackendServer& it : deployment.config->services[service].servers)
    slots += it.slots;
  return slots;
}

std::vector<Arrival> MakeArrivals(const Deployment& deployment,
                                  const Scenario& scenario,
                                  uint64_t seed) {
  std::vector<Arrival> arrivals;
  const size_t regions = deployment.config->regions.size();
  for (size_t service = 0; service < deployment.traffic.size(); ++service) {
    const double mean_us = deployment.traffic[service].mean_ms * 1000;
    const double region_slots =
        static_cast<double>(SlotsOf(deployment, service)) /
        static_cast<double>(regions);
    for (size_t region = 0; region < regions; ++region) {
      Rng rng(seed * 1'000'003 + service * 101 + region);
      double us = 0;
      while (us < kRunMs * 1000) {
        const double load = LoadAt(scenario, static_cast<int64_t>(us));
        us += rng.Exponential(mean_us / region_slots / load);
        const double work = rng.Exponential(mean_us);
        arrivals.push_back({.at_us = static_cast<int64_t>(us),
                            .service = service,
                            .region = region,
                            .work_us = static_cast<int64_t>(work)});
      }
    }
  }
  std::sort(arrivals.begin(), arrivals.end(),
            [](const Arrival& a, const Arrival& b) {
              return std::tie(a.at_us, a.service, a.region, a.work_us) <
                     std::tie(b.at_us, b.service, b.region, b.work_us);
            });
  return arrivals;
}

}  // namespace toucanknot::bench
