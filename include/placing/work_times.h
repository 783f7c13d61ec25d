#ifndef INCLUDE_PLACING_WORK_TIMES_H_
#define INCLUDE_PLACING_WORK_TIMES_H_

#include "include/base/clock.h"

namespace toucanknot {

// How long requests of one route take at an idle backend server of usual
// speed, learned from answers: where their object was handled lately (warm)
// and where it was not. Times in milliseconds.
class WorkTimes {
 public:
  // `target` is the route's target latency, from which the first guess is
  // made; `sticky` whether it matters what a server handled lately.
  WorkTimes(Duration target, bool sticky);

  double warm() const { return sticky_ ? warm_ : cold_; }
  double cold() const { return cold_; }
  bool sticky() const { return sticky_; }
  // The usual one: the mean over all answers.
  double mean() const { return mean_; }
  // Whether they come from answers rather than from the first guess.
  bool known() const { return mean_count_ >= kEnoughAnswers; }

  // An answer came after `took` from a server that was not full when the
  // request was sent. `warm` says that the object was handled there lately,
  // by what this host knows.
  void Learn(double took, bool warm);
  // Whether `took` looks like the time of a warm object.
  bool LooksWarm(double took) const { return took < (warm_ + cold_) / 2; }

 private:
  static constexpr int kEnoughAnswers = 5;
  // The weight of one answer, after the first ones.
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
