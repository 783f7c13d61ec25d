#include "include/placing/work_times.h"

#include <algorithm>

namespace toucanknot {
namespace {

// Initial estimates as fractions of the route's target latency, which operators
// set between the cold and the warm time.
constexpr double kColdGuess = 1.4;
constexpr double kWarmGuess = 0.6;
// A sample is capped at this multiple of the current mean, so that one stuck
// response does not spoil the estimate.
constexpr double kMaxSampleToMean = 3;

}  // namespace

WorkTimes::WorkTimes(Duration target, bool sticky)
    : sticky_(sticky),
      warm_(static_cast<double>(target.ms()) * kWarmGuess),
      cold_(static_cast<double>(target.ms()) * kColdGuess),
      mean_(cold_) {}

void WorkTimes::Blend(double& mean, int& count, double sample) {
  ++count;
  sample = std::min(sample, mean * kMaxSampleToMean);
  mean += (sample - mean) * std::max(kWeight, 1.0 / (count + 1));
}

void WorkTimes::AddSample(double took, bool warm) {
  Blend(mean_, mean_count_, took);
  if (sticky_ && (warm || LooksWarm(took)))
    Blend(warm_, warm_count_, took);
  else
    Blend(cold_, cold_count_, took);
  warm_ = std::min(warm_, cold_);
}

}  // namespace toucanknot
