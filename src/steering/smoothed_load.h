#ifndef SRC_STEERING_SMOOTHED_LOAD_H_
#define SRC_STEERING_SMOOTHED_LOAD_H_

#include <cmath>

#include "include/base/clock.h"

namespace toucanknot {

// An exponential moving average, with a time constant of one second, of a value
// that changes in steps.
class SmoothedLoad {
 public:
  // The quantity has been `value` since the previous call.
  void Update(double value, Instant now) {
    const auto ms = static_cast<double>((now - at_).ms());
    const double weight = 1 - std::exp(-ms / kTimeConstantMs);
    mean_ += weight * (value - mean_);
    at_ = now;
  }
  double mean() const { return mean_; }

 private:
  static constexpr double kTimeConstantMs = 1'000;

  double mean_ = 0;
  Instant at_;
};

}  // namespace toucanknot

#endif  // SRC_STEERING_SMOOTHED_LOAD_H_
