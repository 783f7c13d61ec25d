#ifndef INCLUDE_PLACING_WORK_TIMES_H_
#define INCLUDE_PLACING_WORK_TIMES_H_

#include "include/base/clock.h"

namespace toucanknot {

// Service times of one route on an idle backend server of typical speed,
// learned from responses: for objects that the server handled recently (warm)
// and for others (cold). Times in milliseconds.
class WorkTimes {
 public:
  // `target` is the route's target latency, from which the initial estimates
  // are made; `sticky` says whether it matters which objects a server handled
  // recently.
  WorkTimes(Duration target, bool sticky);

  double warm() const { return sticky_ ? warm_ : cold_; }
  double cold() const { return cold_; }
  bool sticky() const { return sticky_; }
  // Mean over all responses.
  double mean() const { return mean_; }
  // Whether the estimates come from responses rather than from the initial
  // guess.
  bool known() const { return mean_count_ >= kMinSamples; }

  // Adds the time of a response from a server that was not full when the
  // request was sent. `warm` says whether the server handled the object
  // recently, as far as this host knows.
  void AddSample(double took, bool warm);
  // Whether `took` is typical of a warm object.
  bool LooksWarm(double took) const { return took < (warm_ + cold_) / 2; }

 private:
  static constexpr int kMinSamples = 5;
  // Weight of one response, after the first ones.
  static constexpr double kWeight = 0.05;

  static void Blend(double& mean, int& count, double sample);

  bool sticky_;
  double warm_;
  double cold_;
  double mean_;
  int warm_count_ = 0;
  int cold_count_ = 0;
  int mean_count_ = 0;
};

}  // namespace toucanknot

#endif  // INCLUDE_PLACING_WORK_TIMES_H_
